//! Stop signals and graceful shutdown of the process.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_adapters::caller::CallerServer;
use eyre::Result;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use slog::Logger;
use slog::info;

use crate::node::Node;

/// Interval between checks for requests in flight.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time without requests in flight after which the process stops.
const QUIET_PERIOD: Duration = Duration::from_millis(200);

/// Signals of the process, which do not end it from now on.
pub(crate) struct ProcessSignals(Signals);

impl ProcessSignals {
    /// Installs the handlers. Call it before the first request is accepted, which a signal would
    /// interrupt.
    pub(crate) fn install() -> Result<Self> {
        Ok(Self(Signals::new([SIGTERM, SIGINT, SIGHUP])?))
    }

    /// Waits for a stop signal (SIGTERM or SIGINT), which may have come already. SIGHUP stops nothing:
    /// settings are flags and environment variables, which only a restart changes.
    pub(crate) fn wait_for_stop(mut self, log: &Logger) {
        while self.0.forever().next() == Some(SIGHUP) {
            info!(log, "settings change with a restart only");
        }
    }
}

/// Stops without interrupting any request.
///
/// The VM immediately reports that it is not ready, so that the load balancer sends callers to
/// other VMs; requests that still arrive are served. The process stops once the drain time has
/// passed and no request is in flight, however long that takes.
pub(crate) fn stop_gracefully(node: &Node, caller_server: &CallerServer) {
    info!(node.log, "draining"; "live_requests" => node.dispatcher.live_requests());
    node.start_draining();
    caller_server.disable_keep_alive();
    thread::sleep(node.settings.drain);
    let mut idle_since = Instant::now();
    while idle_since.elapsed() < QUIET_PERIOD {
        if caller_server.active_requests() > 0 || node.dispatcher.live_requests() > 0 {
            idle_since = Instant::now();
        }
        thread::sleep(CHECK_INTERVAL);
    }
    caller_server.close();
    node.links.close();
}
