//! Each VM's copy of the configuration, whose version never decreases.
//!
//! Each VM polls the head row and receives the announcements of its peers. It activates a document
//! if and only if its version is higher than the active one, no matter where it came from.
//!
//! The store may be restored from a copy that lacks the latest versions. A VM that uses a later
//! version than the head row writes its own one again. If another document was confirmed under the
//! same version meanwhile, that one is used.
//!
//! A VM that has had no contact with the store or a peer for [`STALE_AFTER`] is
//! [`Freshness::Stale`]: it must not accept new work, since a newer configuration may be active
//! elsewhere.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::ConfigDocument;
use cranberryvalve_core::ConfigVersion;
use cranberryvalve_core::Digest;
use cranberryvalve_core::VmId;

use crate::era::UNRESTORED;
use crate::plan::Head;
use crate::store::Condition;

/// Time without contact with the store or a peer after which the configuration is stale.
pub const STALE_AFTER: Duration = Duration::from_secs(5);

/// Time from the moment at which a VM sees a new era of the store until the VMs that reach the store
/// have written a lost configuration again: two of their polls, which are two seconds apart.
pub const RESTORE_TIME: Duration = Duration::from_secs(5);

/// Delay before a document that has not arrived is requested again.
const FETCH_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Whether the configuration is recent enough to be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// No configuration has been received yet.
    Missing,
    /// There is a configuration, and there was contact with the store or a peer within
    /// [`STALE_AFTER`].
    Current,
    /// There was no contact with the store or a peer within [`STALE_AFTER`].
    Stale,
}

/// Input event of a [`Replica`].
#[derive(Debug, Clone, PartialEq)]
pub enum ReplicaEvent {
    /// The store returned the head row.
    StoreHead {
        /// Content of the row. `None` if no configuration has been accepted yet.
        head: Option<Head>,
        /// The row has not been written since.
        unchanged: Condition,
    },
    /// A peer that the adapter trusts announced its active version.
    PeerHead {
        /// Name of the peer.
        from: VmId,
        /// Version active at the peer; 0 if it has none.
        version: ConfigVersion,
    },
    /// A document was received from the store or from a peer.
    Document(Arc<ConfigDocument>),
}

/// Source to fetch a document from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FetchFrom {
    /// The object store, by the document's digest.
    Store(Digest),
    /// A peer whose version is at least this one.
    Peer(VmId, ConfigVersion),
}

/// Action that the adapter must carry out for a [`Replica`].
#[derive(Debug, Clone, PartialEq)]
pub enum ReplicaAction {
    /// Fetch a document from this source.
    Fetch(FetchFrom),
    /// Activate the document and announce it to the peers.
    Activate(Arc<ConfigDocument>),
    /// Carry out a [`Restoration`](crate::plan::Restoration) with this document and condition.
    Restore {
        /// Active document, which the store has lost.
        document: Arc<ConfigDocument>,
        /// Condition for the write of the head row.
        condition: Condition,
    },
}

/// This VM's copy of the configuration.
///
/// ```
/// use std::sync::Arc;
/// use std::time::Instant;
///
/// use cranberryvalve_coordination::replica::Replica;
/// use cranberryvalve_coordination::replica::ReplicaAction;
/// use cranberryvalve_coordination::replica::ReplicaEvent;
/// use cranberryvalve_core::ConfigDocument;
///
/// let now = Instant::now();
/// let mut replica = Replica::new(now);
/// let newer = Arc::new(ConfigDocument { version: 2, ..ConfigDocument::initial() });
/// let older = Arc::new(ConfigDocument { version: 1, ..ConfigDocument::initial() });
/// let actions = replica.handle(now, ReplicaEvent::Document(newer.clone()));
/// assert_eq!(actions, [ReplicaAction::Activate(newer)]);
/// assert!(replica.handle(now, ReplicaEvent::Document(older)).is_empty());
/// assert_eq!(replica.version(), 2);
/// ```
#[derive(Debug, Clone)]
pub struct Replica {
    active: Option<Arc<ConfigDocument>>,
    digest: Digest,
    /// Document of the active version that the store has instead of the active one.
    replacement: Option<Digest>,
    last_contact_at: Option<Instant>,
    created_at: Instant,
    pending_fetch: Option<PendingFetch>,
}

#[derive(Debug, Clone)]
struct PendingFetch {
    version: ConfigVersion,
    requested_at: Instant,
}

impl Replica {
    /// Creates a replica without a configuration.
    pub fn new(now: Instant) -> Self {
        Self {
            active: None,
            digest: Digest::of(b""),
            replacement: None,
            last_contact_at: None,
            created_at: now,
            pending_fetch: None,
        }
    }

    /// Returns the active document, or `None` if there is none yet.
    pub const fn document(&self) -> Option<&Arc<ConfigDocument>> {
        self.active.as_ref()
    }

    /// Returns the active version; 0 if there is none yet.
    pub fn version(&self) -> ConfigVersion {
        self.active.as_ref().map_or(0, |it| it.version)
    }

    /// Returns the digest of the active document, or of the empty string if there is none yet.
    pub const fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Returns whether the configuration is recent enough to be used.
    pub fn freshness(&self, now: Instant) -> Freshness {
        let last_contact_at = self.last_contact_at.unwrap_or(self.created_at);
        if now.saturating_duration_since(last_contact_at) >= STALE_AFTER {
            Freshness::Stale
        } else if self.active.is_some() {
            Freshness::Current
        } else {
            Freshness::Missing
        }
    }

    /// Processes an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Instant, event: ReplicaEvent) -> Vec<ReplicaAction> {
        match event {
            ReplicaEvent::StoreHead { head, unchanged } => {
                self.last_contact_at = Some(now);
                self.on_store_head(now, head, unchanged)
            }
            ReplicaEvent::PeerHead { from, version } => {
                self.last_contact_at = Some(now);
                self.fetch(now, version, FetchFrom::Peer(from, version))
            }
            ReplicaEvent::Document(document) => self.on_document(document),
        }
    }

    fn on_store_head(
        &mut self,
        now: Instant,
        head: Option<Head>,
        unchanged: Condition,
    ) -> Vec<ReplicaAction> {
        let stored_version = head.as_ref().map_or(0, |it| it.version);
        let lost = self.active.clone().filter(|it| it.version > stored_version);
        if let Some(document) = lost.filter(|_| unchanged.era != UNRESTORED) {
            return vec![ReplicaAction::Restore { document, condition: unchanged }];
        }
        let Some(head) = head else { return Vec::new() };
        if head.version == self.version() && head.digest != self.digest {
            self.replacement = Some(head.digest.clone());
            return vec![ReplicaAction::Fetch(FetchFrom::Store(head.digest))];
        }
        self.fetch(now, head.version, FetchFrom::Store(head.digest))
    }

    fn fetch(
        &mut self,
        now: Instant,
        version: ConfigVersion,
        from: FetchFrom,
    ) -> Vec<ReplicaAction> {
        if version <= self.version() {
            return Vec::new();
        }
        let is_requested = self.pending_fetch.as_ref().is_some_and(|it| {
            it.version >= version
                && now.saturating_duration_since(it.requested_at) < FETCH_RETRY_INTERVAL
        });
        if is_requested {
            return Vec::new();
        }
        self.pending_fetch = Some(PendingFetch { version, requested_at: now });
        vec![ReplicaAction::Fetch(from)]
    }

    fn on_document(&mut self, document: Arc<ConfigDocument>) -> Vec<ReplicaAction> {
        if document.version < self.version() {
            return Vec::new();
        }
        let digest = Digest::of(&document.to_bytes());
        if document.version == self.version() && self.replacement.as_ref() != Some(&digest) {
            return Vec::new();
        }
        self.replacement = None;
        self.digest = digest;
        self.active = Some(document.clone());
        self.pending_fetch = None;
        vec![ReplicaAction::Activate(document)]
    }
}
