//! Evidence that an upstream has crashed, and may start again with another software version.

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_policy::scheduler::SchedulerEvent;
use cranberryvalve_policy::scheduler::UpstreamRecord;

use super::Exchange;
use crate::socket::Connection;
use crate::socket::Interest;
use crate::socket::wait;

/// Maximum time for a connection to an upstream whose host has just closed another one: a round trip
/// between regions.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which the connection must stay open. A process that ends closes its connections one after
/// the other, and may have accepted one meanwhile.
const PROBE_HOLD: Duration = Duration::from_millis(5);

impl Exchange<'_> {
    /// Checks an upstream that has just broken a response off. If it still takes connections, it has
    /// not crashed: none starts again within milliseconds.
    pub(super) fn check_start(&self, upstream: &UpstreamRecord) {
        if !self.is_stream || takes_connections(upstream) {
            return;
        }
        // It may as well be this VM that is cut off.
        self.relay.forwarding.record_unreachable(upstream);
        self.relay.dispatcher.handle(SchedulerEvent::StartDoubted {
            upstream: upstream.id.clone(),
            incarnation: upstream.incarnation,
        });
    }
}

fn takes_connections(upstream: &UpstreamRecord) -> bool {
    let deadline = Instant::now() + PROBE_TIMEOUT;
    let Ok(connection) = Connection::connect(upstream.address) else { return false };
    let interest = Interest { upstream: Some(&connection), ..Interest::default() };
    let writable = Interest { upstream_output: true, ..interest };
    let is_done = wait(writable, deadline).is_ok_and(|it| it.upstream);
    if !is_done || !matches!(connection.connect_error(), Ok(None)) {
        return false;
    }
    // The VM may have been suspended, and the upstream have started again meanwhile.
    let is_open = wait(interest, Instant::now() + PROBE_HOLD).is_ok_and(|it| it.timed_out);
    is_open && Instant::now() < deadline + PROBE_HOLD
}
