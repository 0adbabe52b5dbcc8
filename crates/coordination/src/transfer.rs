//! Transfer of a large versioned value from one VM to another, in parts that the receiver requests.
//!
//! A receiver requests one part at a time from one peer, so that a transfer never queues more than
//! one part on a link, and other messages pass between the parts. A part that does not arrive is
//! requested again, from another peer if there is one, and the parts that arrived before are kept:
//! peers that hold the same version encode it alike. The request names the version that the
//! receiver has, so that a sender that still has it sends the difference only.
//!
//! ```
//! use std::net::SocketAddr;
//! use std::time::Instant;
//!
//! use cranberryvalve_coordination::peer::PeerAddress;
//! use cranberryvalve_coordination::transfer::Fetch;
//! use cranberryvalve_coordination::transfer::FetchStep;
//! use cranberryvalve_coordination::transfer::TransferId;
//! use cranberryvalve_coordination::transfer::part_of;
//!
//! let address = SocketAddr::from(([10, 0, 0, 2], 7340));
//! let peer = PeerAddress { vm: "vm-2".into(), address, failure_domain: "a".into() };
//! let now = Instant::now();
//! let mut fetch = Fetch::default();
//! let (receiver, request) = fetch.on_announced(now, &peer, 7).expect("version 7 is newer");
//! assert_eq!((receiver, request.offset), (peer.clone(), 0));
//!
//! let id = TransferId { version: 7, base: None, checksum: 1 };
//! let part = part_of(id, b"routes", 0).expect("the offset is within the value");
//! let step = fetch.on_part(now, &peer, &part);
//! assert_eq!(step, FetchStep::Complete { id, bytes: b"routes".to_vec() });
//! ```

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::ConfigVersion;
use cranberryvalve_core::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::peer::PeerAddress;

/// Maximum size of a part, in bytes: a twentieth of a second on a link of 10 Mbit/s.
pub const PART_BYTES: usize = 64 * 1024;

/// Maximum size of a value, in bytes, as for a message between VMs.
const MAX_VALUE_BYTES: usize = 16 * 1024 * 1024;

/// Time after which a part that has not arrived is requested again: that of ten parts on a link of
/// 10 Mbit/s, which several receivers share.
pub const PART_TIMEOUT: Duration = Duration::from_millis(600);

/// Time for which an announcement counts: several intervals between heartbeats.
const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_secs(4);

/// Identifies an encoded value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct TransferId {
    /// Version of the value.
    pub version: ConfigVersion,
    /// Version that the value is a difference to; `None` for the whole value.
    pub base: Option<ConfigVersion>,
    /// Checksum of all bytes.
    pub checksum: u64,
}

/// Request for the next part of a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PartRequest {
    /// Minimum version of the value.
    pub version: ConfigVersion,
    /// Version that the receiver has; `None` if it wants the whole value.
    pub base: Option<ConfigVersion>,
    /// Transfer to continue; `None` for the first part.
    pub id: Option<TransferId>,
    /// Number of bytes that the receiver has.
    pub offset: u32,
}

/// Part of an encoded value.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Part {
    /// Value that the part belongs to.
    pub id: TransferId,
    /// Size of the whole encoded value, in bytes.
    pub total_bytes: u32,
    /// Position of the part in the value, in bytes.
    pub offset: u32,
    /// Content of the part.
    pub bytes: Vec<u8>,
}

/// Returns the part of `value` at `offset`, or `None` if the value ends before it.
pub fn part_of(id: TransferId, value: &[u8], offset: u32) -> Option<Part> {
    let total_bytes = u32::try_from(value.len()).ok()?;
    let rest = value.get(offset as usize..).filter(|it| !it.is_empty())?;
    let bytes = rest[..rest.len().min(PART_BYTES)].to_vec();
    Some(Part { id, total_bytes, offset, bytes })
}

/// What to do after a part arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FetchStep {
    /// The part was not expected, or the transfer continues with a later part.
    Ignored,
    /// Send this request to the peer.
    Request(PeerAddress, PartRequest),
    /// All parts have arrived.
    Complete {
        /// The value's identity.
        id: TransferId,
        /// The encoded value.
        bytes: Vec<u8>,
    },
}

/// Fetches the newest version of a value that peers announce.
#[derive(Debug, Default)]
pub struct Fetch {
    /// Version that this VM has; 0 if it has none.
    version: ConfigVersion,
    /// Whether the next transfer is one of the whole value, since a difference did not apply.
    wants_whole: bool,
    /// Latest version whose whole value could not be used; 0 if there is none.
    unusable_version: ConfigVersion,
    announcements: BTreeMap<VmId, Announcement>,
    pending: Option<Pending>,
}

#[derive(Debug)]
struct Announcement {
    peer: PeerAddress,
    version: ConfigVersion,
    announced_at: Instant,
    /// When a part was last requested from the peer without success.
    failed_at: Option<Instant>,
}

#[derive(Debug)]
struct Pending {
    peer: PeerAddress,
    requested_at: Instant,
    /// Value that the received bytes belong to; `None` before the first part.
    id: Option<TransferId>,
    received: Vec<u8>,
}

impl Fetch {
    /// Records that this VM has a version, from wherever it got it. Ends a transfer of that version
    /// or of an earlier one.
    pub fn record_version(&mut self, version: ConfigVersion) {
        if version <= self.version {
            return;
        }
        self.version = version;
        self.wants_whole = false;
        self.announcements.retain(|_, it| it.version > version);
        // A difference to the earlier version can still be applied if it leads to a later one.
        let is_obsolete =
            |it: &Pending| it.id.is_none_or(|id| id.version <= version) || it.received.is_empty();
        if self.pending.as_ref().is_some_and(is_obsolete) {
            self.pending = None;
        }
    }

    /// Records that a peer has a version. Returns the request to send, if no part is awaited.
    pub fn on_announced(
        &mut self,
        now: Instant,
        peer: &PeerAddress,
        version: ConfigVersion,
    ) -> Option<(PeerAddress, PartRequest)> {
        if version <= self.version.max(self.unusable_version) {
            return None;
        }
        let known = self.announcements.get(&peer.vm);
        let failed_at = known.and_then(|it| it.failed_at);
        let announcement =
            Announcement { peer: peer.clone(), version, announced_at: now, failed_at };
        self.announcements.insert(peer.vm.clone(), announcement);
        self.on_tick(now)
    }

    /// Returns the next request if a part has not arrived in time, or if a newer version is
    /// announced and none is awaited.
    pub fn on_tick(&mut self, now: Instant) -> Option<(PeerAddress, PartRequest)> {
        if let Some(pending) = &self.pending {
            if now.saturating_duration_since(pending.requested_at) < PART_TIMEOUT {
                return None;
            }
            if let Some(announcement) = self.announcements.get_mut(&pending.peer.vm) {
                announcement.failed_at = Some(now);
            }
        }
        let peer = self.best_peer(now)?;
        let (id, received) =
            self.pending.take().map_or((None, Vec::new()), |it| (it.id, it.received));
        self.pending = Some(Pending { peer, requested_at: now, id, received });
        self.next_request()
    }

    /// Adds a part. A part of another value than the one under way replaces it if it is newer.
    pub fn on_part(&mut self, now: Instant, from: &PeerAddress, part: &Part) -> FetchStep {
        let has_base = part.id.base.is_none_or(|it| it <= self.version);
        if part.id.version <= self.version || !has_base {
            return FetchStep::Ignored;
        }
        let Some(pending) = &mut self.pending else { return FetchStep::Ignored };
        if pending.id != Some(part.id) {
            let is_newer = pending.id.is_none_or(|it| it.version <= part.id.version);
            if part.offset != 0 || !is_newer {
                return FetchStep::Ignored;
            }
            pending.id = Some(part.id);
            pending.received.clear();
        }
        let total_bytes = part.total_bytes as usize;
        if part.offset as usize != pending.received.len()
            || part.bytes.is_empty()
            || total_bytes > MAX_VALUE_BYTES
            || pending.received.len() + part.bytes.len() > total_bytes
        {
            return FetchStep::Ignored;
        }
        pending.received.extend_from_slice(&part.bytes);
        if pending.received.len() == total_bytes {
            let bytes = std::mem::take(&mut pending.received);
            self.pending = None;
            return FetchStep::Complete { id: part.id, bytes };
        }
        pending.peer = from.clone();
        pending.requested_at = now;
        self.next_request().map_or(FetchStep::Ignored, |(to, it)| FetchStep::Request(to, it))
    }

    /// Records that a complete value could not be used. Returns the request for the whole value if
    /// it was a difference; a whole value is not requested again.
    pub fn on_unusable(
        &mut self,
        now: Instant,
        id: TransferId,
    ) -> Option<(PeerAddress, PartRequest)> {
        self.pending = None;
        if id.base.is_some() {
            self.wants_whole = true;
        } else {
            self.unusable_version = self.unusable_version.max(id.version);
            self.announcements.retain(|_, it| it.version > id.version);
        }
        self.on_tick(now)
    }

    /// Ends the transfer and drops the announcements of versions up to `version`, which this VM gets
    /// from elsewhere. A peer that announces one again is asked for it.
    pub fn drop_announced(&mut self, version: ConfigVersion) {
        self.pending = None;
        self.announcements.retain(|_, it| it.version > version);
    }

    fn next_request(&self) -> Option<(PeerAddress, PartRequest)> {
        let pending = self.pending.as_ref()?;
        let base = (self.version > 0 && !self.wants_whole).then_some(self.version);
        let offset = u32::try_from(pending.received.len()).ok()?;
        let request = PartRequest { version: self.version + 1, base, id: pending.id, offset };
        Some((pending.peer.clone(), request))
    }

    /// Returns the peer to request from: one that has not failed since it announced, or else the
    /// one whose failure is the longest ago; among those, one with the highest version.
    fn best_peer(&mut self, now: Instant) -> Option<PeerAddress> {
        let is_recent = |it: &Announcement| {
            now.saturating_duration_since(it.announced_at) < ANNOUNCEMENT_LIFETIME
        };
        self.announcements.retain(|_, it| is_recent(it));
        let rank = |it: &&Announcement| (it.failed_at, std::cmp::Reverse(it.version));
        self.announcements.values().min_by_key(rank).map(|it| it.peer.clone())
    }
}
