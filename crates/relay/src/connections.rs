//! Idle upstream connections that are kept for reuse.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::UpstreamId;

use crate::response::ResponseHead;
use crate::socket::Connection;
use crate::socket::KEEPALIVE_TIMEOUT;
use crate::socket::LossDetection;

/// Idle timeout when the upstream does not announce one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Subtracted from the idle timeout that an upstream announces, so that the upstream does not close
/// a connection just as it is reused.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Longest idle timeout of an upstream that is made use of. Few connections are idle for longer, and the
/// sum of a time and this one stays within its type.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Maximum number of idle connections per upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 16;

/// Idle connections by upstream.
#[derive(Debug, Default)]
pub(crate) struct IdleConnections(Mutex<HashMap<UpstreamId, Vec<IdleConnection>>>);

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    incarnation: u64,
    expires_at: Instant,
}

impl IdleConnections {
    /// Takes an idle connection that is still open and has no unexpected input, with this loss detection.
    /// Returns `None` if there is none for this incarnation of the upstream.
    pub(crate) fn take(
        &self,
        upstream: &UpstreamId,
        incarnation: u64,
        loss_detection: LossDetection,
    ) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.lock();
        let connections = idle.get_mut(upstream)?;
        connections.retain(|it| it.incarnation == incarnation && now < it.expires_at);
        while let Some(index) = best_index(connections, loss_detection) {
            let mut connection = connections.remove(index).connection;
            if connection.is_idle() && connection.set_loss_detection(loss_detection).is_ok() {
                return Some(connection);
            }
        }
        None
    }

    /// Stores a connection for reuse after a response with `head`, if the response allows that.
    pub(crate) fn put(
        &self,
        upstream: &UpstreamId,
        incarnation: u64,
        connection: Connection,
        head: &ResponseHead,
    ) {
        if !head.keeps_alive() || !connection.is_idle() {
            return;
        }
        let max_idle_time = match connection.loss_detection() {
            LossDetection::System => MAX_IDLE_TIMEOUT,
            // Nothing notices its loss while it is idle.
            LossDetection::Deadline => KEEPALIVE_TIMEOUT,
        };
        let expires_at = Instant::now() + idle_timeout(head).min(max_idle_time);
        let mut idle = self.lock();
        let connections = idle.entry(upstream.clone()).or_default();
        if connections.len() < MAX_IDLE_PER_UPSTREAM {
            connections.push(IdleConnection { connection, incarnation, expires_at });
        }
    }

    /// Closes connections to upstreams for which `is_in_use` returns `false`, and those past their
    /// idle timeout.
    pub(crate) fn retain(&self, is_in_use: impl Fn(&UpstreamId) -> bool) {
        let now = Instant::now();
        self.lock().retain(|upstream, connections| {
            connections.retain(|it| now < it.expires_at);
            is_in_use(upstream) && !connections.is_empty()
        });
    }

    /// Closes the connections to an upstream.
    pub(crate) fn close(&self, upstream: &UpstreamId) {
        self.lock().remove(upstream);
    }

    /// Returns the number of idle connections.
    pub(crate) fn count(&self) -> usize {
        self.lock().values().map(Vec::len).sum()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<UpstreamId, Vec<IdleConnection>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the index of the latest connection that has this loss detection, or else of one that may be
/// given it. The system may be about to consider a connection lost that it watches.
fn best_index(connections: &[IdleConnection], loss_detection: LossDetection) -> Option<usize> {
    let with = |wanted| connections.iter().rposition(|it| it.connection.loss_detection() == wanted);
    match loss_detection {
        LossDetection::System => {
            with(LossDetection::System).or_else(|| with(LossDetection::Deadline))
        }
        LossDetection::Deadline => with(LossDetection::Deadline),
    }
}

/// Returns the idle timeout that a response announces in its `Keep-Alive` header, less
/// [`IDLE_MARGIN`], or [`DEFAULT_IDLE_TIMEOUT`] if it announces none; [`MAX_IDLE_TIMEOUT`] at most.
fn idle_timeout(head: &ResponseHead) -> Duration {
    let timeout = head.header("keep-alive").and_then(|it| {
        let parameters = it.split(',').map(str::trim);
        parameters.filter_map(|it| it.strip_prefix("timeout=")).find_map(|it| it.parse().ok())
    });
    timeout.map_or(DEFAULT_IDLE_TIMEOUT, |it| {
        Duration::from_secs(it).min(MAX_IDLE_TIMEOUT).saturating_sub(IDLE_MARGIN)
    })
}
