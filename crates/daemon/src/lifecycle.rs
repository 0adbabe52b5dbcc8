//! Start and stop of the process.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_adapters::caller::CallerServer;
use eyre::Result;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use slog::info;

use crate::node::Node;

/// Pause between two looks at what is still in flight.
const INTERVAL: Duration = Duration::from_millis(20);

/// Time for which nothing may be in flight before the process stops.
const QUIET: Duration = Duration::from_millis(200);

/// Waits until the process is asked to stop.
pub(crate) fn wait_for_signal() -> Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    signals.forever().next();
    Ok(())
}

/// Stops without interrupting a request.
///
/// The VM is not ready from now on, so that the balancer sends callers elsewhere; those that still
/// come are served. It stops when the drain time is over and nothing is in flight, however long
/// that takes.
pub(crate) fn stop_gracefully(node: &Node, callers: &CallerServer) {
    info!(node.log, "draining"; "live_requests" => node.dispatcher.live_requests());
    node.start_draining();
    callers.end_keep_alive();
    thread::sleep(node.settings.drain);
    let mut quiet_since = Instant::now();
    while quiet_since.elapsed() < QUIET {
        if callers.busy() > 0 || node.dispatcher.live_requests() > 0 {
            quiet_since = Instant::now();
        }
        thread::sleep(INTERVAL);
    }
    callers.close();
    node.links.close();
}
