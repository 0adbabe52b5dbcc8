//! An accepted configuration in force on every VM, never reverting.
//!
//! Each VM polls the head row and hears its peers' announcements. It puts a document in force when
//! its version is higher than the present one, wherever it came from, and never otherwise.
//!
//! A VM that has heard neither the store nor a peer for [`STALE_AFTER`] is [`Freshness::Stale`]:
//! it must not take new work, since a newer configuration may be in force elsewhere.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::ConfigDocument;
use cranberryvalve_core::ConfigVersion;
use cranberryvalve_core::Digest;
use cranberryvalve_core::VmId;

use crate::plan::Head;

/// Time without word from store or peers after which the configuration is not trusted.
pub const STALE_AFTER: Duration = Duration::from_secs(5);

/// Time after which a document is asked for again.
const FETCH_RETRY: Duration = Duration::from_millis(500);

/// Whether the configuration may be acted on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// No configuration has been received yet.
    Missing,
    /// It is in force, as far as store or peers know.
    Current,
    /// Neither store nor peers have been heard for too long.
    Stale,
}

/// Something that happened to the replica.
#[derive(Debug, Clone, PartialEq)]
pub enum ReplicaEvent {
    /// The store answered with its head; none when nothing was accepted yet.
    StoreHead(Option<Head>),
    /// A peer that may be believed announced the version it has.
    PeerHead {
        /// Peer.
        from: VmId,
        /// Its version; 0 when it has none.
        version: ConfigVersion,
    },
    /// A document arrived from the store or from a peer.
    Document(Arc<ConfigDocument>),
}

/// Where to fetch a document from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FetchFrom {
    /// The object store, by the document's digest.
    Store(Digest),
    /// A peer that has at least this version.
    Peer(VmId, ConfigVersion),
}

/// Something that the adapter must do.
#[derive(Debug, Clone, PartialEq)]
pub enum ReplicaAction {
    /// Fetch a document.
    Fetch(FetchFrom),
    /// Put a document in force, and announce it to the peers.
    PutInForce(Arc<ConfigDocument>),
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
/// let newer = Arc::new(ConfigDocument { version: 2, ..ConfigDocument::genesis() });
/// let older = Arc::new(ConfigDocument { version: 1, ..ConfigDocument::genesis() });
/// let actions = replica.handle(now, ReplicaEvent::Document(newer.clone()));
/// assert_eq!(actions, [ReplicaAction::PutInForce(newer)]);
/// assert!(replica.handle(now, ReplicaEvent::Document(older)).is_empty());
/// assert_eq!(replica.version(), 2);
/// ```
#[derive(Debug)]
pub struct Replica {
    in_force: Option<Arc<ConfigDocument>>,
    digest: Digest,
    heard_at: Option<Instant>,
    created_at: Instant,
    fetching: Option<Fetching>,
}

#[derive(Debug)]
struct Fetching {
    version: ConfigVersion,
    asked_at: Instant,
}

impl Replica {
    /// Creates a replica without a configuration.
    pub fn new(now: Instant) -> Self {
        Self {
            in_force: None,
            digest: Digest::of(b""),
            heard_at: None,
            created_at: now,
            fetching: None,
        }
    }

    /// The document in force.
    pub const fn document(&self) -> Option<&Arc<ConfigDocument>> {
        self.in_force.as_ref()
    }

    /// Version in force; 0 when there is none.
    pub fn version(&self) -> ConfigVersion {
        self.in_force.as_ref().map_or(0, |it| it.version)
    }

    /// Digest of the document in force.
    pub const fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Whether the configuration may be acted on.
    pub fn freshness(&self, now: Instant) -> Freshness {
        let heard_at = self.heard_at.unwrap_or(self.created_at);
        if now.saturating_duration_since(heard_at) >= STALE_AFTER {
            Freshness::Stale
        } else if self.in_force.is_some() {
            Freshness::Current
        } else {
            Freshness::Missing
        }
    }

    /// Takes an event and returns what must be done.
    pub fn handle(&mut self, now: Instant, event: ReplicaEvent) -> Vec<ReplicaAction> {
        match event {
            ReplicaEvent::StoreHead(head) => {
                self.heard_at = Some(now);
                let Some(head) = head else { return Vec::new() };
                self.fetch(now, head.version, FetchFrom::Store(head.digest))
            }
            ReplicaEvent::PeerHead { from, version } => {
                self.heard_at = Some(now);
                self.fetch(now, version, FetchFrom::Peer(from, version))
            }
            ReplicaEvent::Document(document) => self.on_document(document),
        }
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
        let is_asked = self.fetching.as_ref().is_some_and(|it| {
            it.version >= version && now.saturating_duration_since(it.asked_at) < FETCH_RETRY
        });
        if is_asked {
            return Vec::new();
        }
        self.fetching = Some(Fetching { version, asked_at: now });
        vec![ReplicaAction::Fetch(from)]
    }

    fn on_document(&mut self, document: Arc<ConfigDocument>) -> Vec<ReplicaAction> {
        if document.version <= self.version() {
            return Vec::new();
        }
        self.digest = Digest::of(&document.to_bytes());
        self.in_force = Some(document.clone());
        self.fetching = None;
        vec![ReplicaAction::PutInForce(document)]
    }
}
