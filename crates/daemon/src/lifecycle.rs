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

/// Time for the first byte of a request on a connection that was accepted before the end of the drain
/// time.
const LAST_REQUEST_TIME: Duration = Duration::from_millis(500);

/// Interval at which requests that the process waits for are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(60);

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
/// other VMs; requests that still arrive are served. Once the drain time has passed, no connection is
/// accepted; the process stops once no thread serves one, however long that takes.
pub(crate) fn stop_gracefully(node: &Node, caller_server: &CallerServer) {
    info!(node.log, "draining"; "live_requests" => node.dispatcher.live_requests());
    node.start_draining();
    caller_server.disable_keep_alive();
    thread::sleep(node.settings.drain);
    caller_server.close();
    caller_server.wait_for_end(Instant::now() + LAST_REQUEST_TIME);
    caller_server.end_waits();
    while !caller_server.wait_for_end(Instant::now() + LOG_INTERVAL) {
        info!(node.log, "waiting for requests"; "requests" => caller_server.active_requests());
    }
    node.links.close();
}
