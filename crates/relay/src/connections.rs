//! Connections to upstreams that are kept for the next call.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::UpstreamId;

use crate::answer::AnswerHead;
use crate::socket::Connection;

/// Time for which a connection is kept when the upstream does not say how long it keeps it.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);

/// Taken off the idle time that an upstream states, so that it does not close a connection just
/// as it is used.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Connections kept for one upstream.
const MAX_KEPT: usize = 16;

/// Idle connections, by upstream and incarnation.
#[derive(Debug, Default)]
pub(crate) struct KeptConnections(Mutex<HashMap<UpstreamId, Vec<Kept>>>);

#[derive(Debug)]
struct Kept {
    connection: Connection,
    incarnation: u64,
    until: Instant,
}

impl KeptConnections {
    /// Takes a connection on which nothing unexpected has arrived.
    pub(crate) fn take(&self, upstream: &UpstreamId, incarnation: u64) -> Option<Connection> {
        let now = Instant::now();
        let mut kept = self.lock();
        let connections = kept.get_mut(upstream)?;
        connections.retain(|it| it.incarnation == incarnation && now < it.until);
        while let Some(it) = connections.pop() {
            if it.connection.is_quiet() {
                return Some(it.connection);
            }
        }
        None
    }

    /// Keeps a connection after the answer with `head` has been read from it.
    pub(crate) fn keep(
        &self,
        upstream: &UpstreamId,
        incarnation: u64,
        connection: Connection,
        head: &AnswerHead,
    ) {
        if !head.keeps_alive() || !connection.is_quiet() {
            return;
        }
        let until = Instant::now() + idle_time(head);
        let mut kept = self.lock();
        let connections = kept.entry(upstream.clone()).or_default();
        if connections.len() < MAX_KEPT {
            connections.push(Kept { connection, incarnation, until });
        }
    }

    /// Closes the connections to upstreams that are not `wanted`, and those kept for too long.
    pub(crate) fn retain(&self, wanted: impl Fn(&UpstreamId) -> bool) {
        let now = Instant::now();
        self.lock().retain(|upstream, connections| {
            connections.retain(|it| now < it.until);
            wanted(upstream) && !connections.is_empty()
        });
    }

    /// Connections that are kept at present.
    pub(crate) fn count(&self) -> usize {
        self.lock().values().map(Vec::len).sum()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<UpstreamId, Vec<Kept>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Time for which a connection may be kept after an answer with `head`.
fn idle_time(head: &AnswerHead) -> Duration {
    let stated = head.header("keep-alive").and_then(|it| {
        let parameters = it.split(',').map(str::trim);
        parameters.filter_map(|it| it.strip_prefix("timeout=")).find_map(|it| it.parse().ok())
    });
    stated.map_or(DEFAULT_IDLE, |it| Duration::from_secs(it).saturating_sub(IDLE_MARGIN))
}
