//! Upstreams that may have started again, before the directory shows it.
//!
//! An upstream may crash and start again under its name and address with another software version.
//! Nothing in its responses names the version, and its new entry comes up to a heartbeat later. Until
//! then the version of the entry is not certain, once there is evidence that the start it describes has
//! ended. While the source of the directory is lost, no entry comes, and the doubt lasts until some time
//! after its return.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::RequestId;
use cranberryvalve_core::SoftwareVersion;
use cranberryvalve_core::UNKNOWN_VERSION;
use cranberryvalve_core::UpstreamId;

use super::Scheduler;
use super::TrackedCall;
use super::UpstreamRecord;

/// Time after evidence of its end for which a start is in doubt. If it has ended, its entry is replaced
/// or removed within it: an entry goes after three heartbeats of 1.2 s, and a change of the directory
/// takes a second to reach all VMs.
const DOUBT_TIME: Duration = Duration::from_secs(5);

/// Whether the start that an entry of the directory describes may have ended.
#[derive(Debug, Default)]
pub(super) struct StartDoubt {
    until: Option<Instant>,
    /// Whether the doubt does not end, as the source of the directory is lost.
    is_held: bool,
}

impl StartDoubt {
    /// Records evidence that the start has ended.
    pub(super) fn record(&mut self, now: Instant) {
        self.until = Some(now + DOUBT_TIME);
    }

    pub(super) fn is_active(&self, now: Instant) -> bool {
        self.until.is_some_and(|it| now < it || self.is_held)
    }

    /// Forgets a doubt that has ended, and holds the others while the source of the directory is lost.
    fn on_source(&mut self, now: Instant, is_reached: bool) {
        if !self.is_active(now) {
            self.until = None;
        } else if self.is_held && is_reached {
            self.record(now);
        }
        self.is_held = !is_reached;
    }
}

/// The start of an upstream to which an attempt was sent, as the directory showed it.
#[derive(Debug)]
pub(super) struct SentStart {
    address: SocketAddr,
    incarnation: u64,
    software_version: SoftwareVersion,
    /// Whether the response has begun.
    has_responded: bool,
}

impl SentStart {
    pub(super) fn new(record: &UpstreamRecord) -> Self {
        Self {
            address: record.address,
            incarnation: record.incarnation,
            software_version: record.software_version.clone(),
            has_responded: false,
        }
    }

    /// Returns `true` if another start has taken over the address. A connection that is still open then
    /// may have been accepted by either.
    fn is_replaced_by(&self, record: &UpstreamRecord) -> bool {
        self.address == record.address && self.incarnation != record.incarnation
    }
}

impl TrackedCall {
    /// Records that a response has begun, of which the caller gets a part if it is a stream. No other
    /// software version can continue it.
    pub(super) fn record_stream_version(&mut self, is_in_doubt: bool) {
        let Some(sent) = self.sent_start.as_mut().filter(|_| self.call.route.kind.is_stream())
        else {
            return;
        };
        sent.has_responded = true;
        let version =
            if is_in_doubt { UNKNOWN_VERSION.into() } else { sent.software_version.clone() };
        self.call.software_version = Some(version);
    }

    /// Applies the present entry of the upstream that the current attempt was sent to.
    fn check_start(&mut self, record: &UpstreamRecord) {
        let Some(sent) = self.sent_start.as_mut().filter(|it| it.is_replaced_by(record)) else {
            return;
        };
        sent.software_version = UNKNOWN_VERSION.into();
        if sent.has_responded {
            self.call.software_version = Some(UNKNOWN_VERSION.into());
        }
    }
}

impl Scheduler {
    /// Returns the software version that a call must continue at, which is [`UNKNOWN_VERSION`] if it is
    /// not certain; `None` if any version may respond, or there is no such call.
    pub fn required_version(&self, id: RequestId) -> Option<&SoftwareVersion> {
        self.calls.get(&id)?.call.software_version.as_ref()
    }

    pub(super) fn on_start_doubted(&mut self, now: Instant, id: &UpstreamId, incarnation: u64) {
        let known = self.upstreams.get_mut(id);
        if let Some(known) = known.filter(|it| it.record.incarnation == incarnation) {
            known.start_doubt.record(now);
        }
    }

    /// Records whether this VM learns of changes of the directory.
    pub(super) fn on_directory_source(&mut self, now: Instant, is_reached: bool) {
        self.upstreams.values_mut().for_each(|it| it.start_doubt.on_source(now, is_reached));
    }

    /// Finds the attempts in flight whose upstream has started again meanwhile.
    pub(super) fn check_starts(&mut self) {
        for tracked in self.calls.values_mut() {
            let current = tracked.sent_to.as_ref().and_then(|it| self.upstreams.get(it));
            if let Some(current) = current {
                tracked.check_start(&current.record);
            }
        }
    }
}
