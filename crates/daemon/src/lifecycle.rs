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
use slog::warn;

use crate::node::Node;
use crate::settings::Settings;

/// Time for the first byte of a request on a connection that was accepted before the end of the drain
/// time.
const LAST_REQUEST_TIME: Duration = Duration::from_millis(500);

/// Time at the end of a stop for the responses to requests that are ended.
pub(crate) const RESPONSE_TIME: Duration = Duration::from_secs(2);

/// Number of steps in which this time is waited for. A pause of the process counts as one step.
const LAST_STEPS: u32 = 20;

/// The steps that are left at the end of a stop.
struct LastSteps(u32);

impl LastSteps {
    /// Calls `wait` with the length of a step until it returns `true` or no step is left. Returns
    /// whether it did.
    fn wait_until(&mut self, mut wait: impl FnMut(Duration) -> bool) -> bool {
        while self.0 > 0 {
            self.0 -= 1;
            if wait(RESPONSE_TIME / LAST_STEPS) {
                return true;
            }
        }
        false
    }
}

/// Times of a stop.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StopTimes {
    drained_at: Instant,
    /// Time at which the requests in flight are ended.
    requests_end_at: Instant,
}

impl StopTimes {
    pub(crate) fn new(now: Instant, settings: &Settings) -> Self {
        let requests_end_at = now + settings.stop.saturating_sub(RESPONSE_TIME);
        Self { drained_at: now + settings.drain, requests_end_at }
    }

    /// Returns whether a request is taken whose answer may need `answer_limit`.
    pub(crate) fn has_time_for(&self, now: Instant, answer_limit: Duration) -> bool {
        now < self.drained_at || now + answer_limit <= self.requests_end_at
    }
}

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

/// Stops without interrupting a request that ends within the time limit of the stop.
///
/// The VM immediately reports that it is not ready, so that the load balancer sends callers to
/// other VMs; requests that still arrive are served. Once the drain time has passed, no connection is
/// accepted; the process stops once no thread serves one. Requests that take longer than the time
/// limit get an answer by what their attempts have shown.
pub(crate) fn stop_gracefully(node: &Node, caller_server: &CallerServer) {
    info!(node.log, "draining"; "live_requests" => node.dispatcher.live_requests());
    let times = node.start_draining();
    caller_server.disable_keep_alive();
    thread::sleep(node.settings.drain);
    caller_server.close();
    caller_server.wait_for_end(Instant::now() + LAST_REQUEST_TIME);
    caller_server.end_waits();
    let mut last_steps = LastSteps(LAST_STEPS);
    if !caller_server.wait_for_end(times.requests_end_at) {
        end_requests(node, caller_server, &mut last_steps);
    }
    finish_releases(node, &mut last_steps);
    node.links.close();
}

/// Ends the requests in flight and waits until they are answered, for a limited time.
fn end_requests(node: &Node, caller_server: &CallerServer, last_steps: &mut LastSteps) {
    warn!(node.log, "ending requests"; "requests" => caller_server.active_requests(),
        "live_requests" => node.dispatcher.live_requests());
    caller_server.end_input();
    node.dispatcher.end_requests();
    if !last_steps.wait_until(|step| caller_server.wait_for_end(Instant::now() + step)) {
        warn!(node.log, "requests are cut"; "requests" => caller_server.active_requests());
    }
}

/// Waits until the keys of calls that were not run are free, for a limited time.
fn finish_releases(node: &Node, last_steps: &mut LastSteps) {
    let is_finished = || node.releases().unfinished() == 0;
    let wait = |step| {
        thread::sleep(step);
        is_finished()
    };
    if !is_finished() && !last_steps.wait_until(wait) {
        warn!(node.log, "keys stay claimed"; "releases" => node.releases().unfinished());
    }
}
