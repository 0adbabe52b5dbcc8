//! Which software version began a stream, so that the stream continues only there.
//!
//! Upstreams of several software versions may serve a pool side by side, and what two versions
//! generate does not fit together. A VM that begins a stream records its origin, and sends it to a few
//! coordinators of the stream ([`coordinators_of`]) before the
//! first event leaves. A caller that takes the stream up at another VM names the request that began
//! it, and the coordinators tell the origin.
//!
//! While one version serves, coordinators need not know the origins. A VM then sends those of streams
//! that run for a while to two VMs that keep copies ([`copy_holders_of`]). Once a further version
//! appears, these tell the coordinators, as the VM itself may stand still or be gone by then.
//!
//! While several versions serve, one VM of each failure domain also records the origins in the store
//! ([`OriginRow`]), for the case that all VMs are lost at once.
//!
//! Coordinators change as VMs leave and join. A VM that stops therefore sends all origins that it
//! keeps to the coordinators among the remaining VMs ([`OriginLog::recent`]).

mod row;

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::PoolId;
use cranberryvalve_core::SoftwareVersion;
use cranberryvalve_core::UNKNOWN_VERSION;
use cranberryvalve_core::VmId;
use cranberryvalve_core::stable_hash;
use serde::Deserialize;
use serde::Serialize;

pub use self::row::MAX_ROW_STREAMS;
pub use self::row::OriginRow;
pub use self::row::ROW_INTERVAL;
pub use self::row::row_key;
use crate::home::coordinators_of;
use crate::peer::PeerAddress;

/// Time after which a stream that has begun is over: several times the longest time that callers
/// wait for a response.
pub const STREAM_LIFETIME: Duration = Duration::from_secs(60);

/// Number of VMs that keep the origin of a stream besides the one that began it.
pub const ORIGIN_COORDINATORS: usize = 3;

/// Number of VMs that keep copies of the origins of the streams of a VM.
const COPY_HOLDERS: usize = 2;

/// Maximum number of streams whose origins a VM keeps. Among 340 VMs that begin 2,700 streams a
/// second, each gets 1,900 in [`STREAM_LIFETIME`].
const MAX_STREAMS: usize = 16_384;

/// Identifies a stream: a hash of the identifier of the request that began it.
pub type StreamKey = u64;

/// Returns the key of the stream that the request with this identifier began.
pub fn stream_key(request_id: &str) -> StreamKey {
    stable_hash(("stream", request_id))
}

/// What generated the first event of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Pool of the upstream.
    pub pool: PoolId,
    /// Version of the upstream's software.
    pub software_version: SoftwareVersion,
}

impl StreamOrigin {
    /// Returns the origin of a stream that `pool` began, at a software version that is not certain. A VM
    /// of an earlier build finds no upstream of that version, and refuses to continue the stream.
    pub fn uncertain(pool: PoolId) -> Self {
        Self { pool, software_version: UNKNOWN_VERSION.into() }
    }

    /// Returns `true` if the software version is certain.
    pub fn is_certain(&self) -> bool {
        &*self.software_version != UNKNOWN_VERSION
    }
}

/// The origins of streams that a VM began or coordinates, for [`STREAM_LIFETIME`].
///
/// ```
/// use std::time::Instant;
///
/// use cranberryvalve_coordination::origins::OriginLog;
/// use cranberryvalve_coordination::origins::StreamOrigin;
/// use cranberryvalve_coordination::origins::stream_key;
///
/// let now = Instant::now();
/// let origin = StreamOrigin { pool: "engines".into(), software_version: "v2".into() };
/// let mut log = OriginLog::default();
/// log.record(now, stream_key("request-1"), origin.clone());
/// assert_eq!(log.origin(now, stream_key("request-1")), Some(&origin));
/// assert_eq!(log.origin(now, stream_key("request-2")), None);
/// ```
#[derive(Debug, Default)]
pub struct OriginLog {
    entries: HashMap<StreamKey, Entry>,
    /// Keys in the order in which they were recorded, oldest first. A key that was recorded again is
    /// listed again.
    order: VecDeque<(Instant, StreamKey)>,
}

#[derive(Debug)]
struct Entry {
    origin: StreamOrigin,
    recorded_at: Instant,
}

impl OriginLog {
    /// Records the origin of a stream. One that continues has the origin that it had, and one whose
    /// origin is not certain keeps that: messages may overtake each other.
    pub fn record(&mut self, now: Instant, stream: StreamKey, origin: StreamOrigin) {
        self.drop_expired(now);
        let is_doubted = self.origin(now, stream).is_some_and(|it| !it.is_certain());
        if is_doubted && origin.is_certain() {
            return;
        }
        self.entries.insert(stream, Entry { origin, recorded_at: now });
        self.order.push_back((now, stream));
    }

    /// Returns the origin of a stream, or `None` if it is not known.
    pub fn origin(&self, now: Instant, stream: StreamKey) -> Option<&StreamOrigin> {
        self.entries.get(&stream).filter(|it| is_recent(now, it.recorded_at)).map(|it| &it.origin)
    }

    /// Returns the streams that `pool` began.
    pub fn streams_of(&self, now: Instant, pool: &str) -> Vec<(StreamKey, StreamOrigin)> {
        let mut streams = self.recent(now);
        streams.retain(|(_, origin)| &*origin.pool == pool);
        streams
    }

    /// Returns all streams whose origins are known.
    pub fn recent(&self, now: Instant) -> Vec<(StreamKey, StreamOrigin)> {
        let recent = self.entries.iter().filter(|(_, it)| is_recent(now, it.recorded_at));
        recent.map(|(stream, it)| (*stream, it.origin.clone())).collect()
    }

    fn drop_expired(&mut self, now: Instant) {
        while let Some(&(recorded_at, stream)) = self.order.front()
            && (self.order.len() >= MAX_STREAMS || !is_recent(now, recorded_at))
        {
            self.order.pop_front();
            if self.entries.get(&stream).is_some_and(|it| it.recorded_at == recorded_at) {
                self.entries.remove(&stream);
            }
        }
    }
}

/// Returns those of `others` that keep copies of the origins of the streams of `vm`, in different
/// failure domains as far as there are enough.
pub fn copy_holders_of<'a>(vm: &VmId, others: &'a [PeerAddress]) -> Vec<&'a PeerAddress> {
    coordinators_of(stable_hash(("origin copies", vm)), others, COPY_HOLDERS)
}

/// Returns the streams that each of `vms` coordinates, for those that coordinate any.
pub fn streams_by_coordinator<'a>(
    streams: &[(StreamKey, StreamOrigin)],
    vms: &'a [PeerAddress],
) -> Vec<(&'a PeerAddress, Vec<(StreamKey, StreamOrigin)>)> {
    let mut by_coordinator: HashMap<&VmId, (&PeerAddress, Vec<_>)> = HashMap::new();
    for (stream, origin) in streams {
        for coordinator in coordinators_of(*stream, vms, ORIGIN_COORDINATORS) {
            let entry = by_coordinator.entry(&coordinator.vm).or_insert((coordinator, Vec::new()));
            entry.1.push((*stream, origin.clone()));
        }
    }
    by_coordinator.into_values().collect()
}

fn is_recent(now: Instant, at: Instant) -> bool {
    now.saturating_duration_since(at) < STREAM_LIFETIME
}
