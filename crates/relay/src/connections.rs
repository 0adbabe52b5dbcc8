//! Connections to upstreams that are kept for the next call.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::UpstreamId;

use crate::response::AnswerHead;
use crate::socket::Connection;

/// Time for which a connection is kept when the upstream does not say how long it keeps it.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Taken off the idle time that an upstream states, so that it does not close a connection just
/// as it is used.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Connections kept for one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 16;

/// Idle connections, by upstream and incarnation.
#[derive(Debug, Default)]
pub(crate) struct IdleConnections(Mutex<HashMap<UpstreamId, Vec<IdleConnection>>>);

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    incarnation: u64,
    expires_at: Instant,
}

impl IdleConnections {
    /// Takes a connection on which nothing unexpected has arrived.
    pub(crate) fn take(&self, upstream: &UpstreamId, incarnation: u64) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.lock();
        let connections = idle.get_mut(upstream)?;
        connections.retain(|it| it.incarnation == incarnation && now < it.expires_at);
        while let Some(it) = connections.pop() {
            if it.connection.is_idle() {
                return Some(it.connection);
            }
        }
        None
    }

    /// Keeps a connection after the answer with `head` has been read from it.
    pub(crate) fn put(
        &self,
        upstream: &UpstreamId,
        incarnation: u64,
        connection: Connection,
        head: &AnswerHead,
    ) {
        if !head.keeps_alive() || !connection.is_idle() {
            return;
        }
        let expires_at = Instant::now() + idle_timeout(head);
        let mut idle = self.lock();
        let connections = idle.entry(upstream.clone()).or_default();
        if connections.len() < MAX_IDLE_PER_UPSTREAM {
            connections.push(IdleConnection { connection, incarnation, expires_at });
        }
    }

    /// Closes the connections to upstreams that are not `wanted`, and those kept for too long.
    pub(crate) fn retain(&self, is_in_use: impl Fn(&UpstreamId) -> bool) {
        let now = Instant::now();
        self.lock().retain(|upstream, connections| {
            connections.retain(|it| now < it.expires_at);
            is_in_use(upstream) && !connections.is_empty()
        });
    }

    /// Connections that are kept at present.
    pub(crate) fn count(&self) -> usize {
        self.lock().values().map(Vec::len).sum()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<UpstreamId, Vec<IdleConnection>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Time for which a connection may be kept after an answer with `head`.
fn idle_timeout(head: &AnswerHead) -> Duration {
    let timeout = head.header("keep-alive").and_then(|it| {
        let parameters = it.split(',').map(str::trim);
        parameters.filter_map(|it| it.strip_prefix("timeout=")).find_map(|it| it.parse().ok())
    });
    timeout.map_or(DEFAULT_IDLE_TIMEOUT, |it| Duration::from_secs(it).saturating_sub(IDLE_MARGIN))
}
