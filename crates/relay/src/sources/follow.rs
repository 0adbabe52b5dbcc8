//! Threads that follow the change feeds of sources.

use std::collections::HashSet;
use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::StoreEra;
use cranberryvalve_core::StorePosition;
use slog::info;
use slog::warn;

use super::Changes;
use super::DirectoryFeed;
use super::Feed;
use super::FeedError;
use super::RoutingTableFeed;
use super::Row;
use super::RowChange;
use super::Snapshot;
use super::directory::Directory;
use super::directory::Origin;
use crate::state::Relay;

/// Maximum duration of a long poll. It is shorter than the time for which sources retain their
/// history. Dead connections are detected earlier, by keepalive probes.
const MAX_POLL_WAIT: Duration = Duration::from_secs(10);

/// Delay after changes before the next poll, to batch further changes: most come in bursts, and
/// each call has a cost.
const BATCH_DELAY: Duration = Duration::from_millis(250);

/// Retry delay after the first failure of a source.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum retry delay while a source fails.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Starts a thread that follows a source of routing tables.
///
/// # Errors
///
/// Returns an error if the thread cannot be spawned.
pub fn follow_tables(relay: &Arc<Relay>, feed: Arc<dyn RoutingTableFeed>) -> io::Result<()> {
    let relay = relay.clone();
    thread::Builder::new().name("tables".to_owned()).spawn(move || {
        let mut follower = Follower::new(relay.clone(), feed.clone());
        loop {
            for row in follower.poll(MAX_POLL_WAIT).into_rows() {
                relay.apply_row(&*feed, &row, feed.name());
            }
        }
    })?;
    Ok(())
}

/// Starts a thread that follows a source of upstreams.
///
/// # Errors
///
/// Returns an error if the thread cannot be spawned.
pub fn follow_directory(relay: &Arc<Relay>, feed: Arc<dyn DirectoryFeed>) -> io::Result<()> {
    let relay = relay.clone();
    thread::Builder::new().name("directory".to_owned()).spawn(move || {
        let mut updater = DirectoryUpdater {
            directory: Directory::default(),
            malformed_keys: HashSet::new(),
            relay: relay.clone(),
            feed: feed.clone(),
        };
        let mut follower = Follower::new(relay, feed);
        loop {
            let expires_at = updater.directory.expires_at();
            let wait =
                expires_at.map_or(MAX_POLL_WAIT, |it| it.saturating_duration_since(Instant::now()));
            // The batch delay must not postpone the removal of expired entries.
            follower.delays_next_poll &= expires_at.is_none();
            let update = follower.poll(wait.min(MAX_POLL_WAIT));
            updater.apply(update, follower.recovered_at, follower.consecutive_failures == 0);
        }
    })?;
    Ok(())
}

struct DirectoryUpdater {
    directory: Directory,
    /// Keys of rows that could not be decoded; each is logged only once.
    malformed_keys: HashSet<Arc<str>>,
    relay: Arc<Relay>,
    feed: Arc<dyn DirectoryFeed>,
}

impl DirectoryUpdater {
    fn apply(
        &mut self,
        update: FeedUpdate,
        recovered_at: Option<Instant>,
        is_source_healthy: bool,
    ) {
        let now = Instant::now();
        if let Some(at) = recovered_at {
            self.directory.source_recovered(at);
        }
        let mut is_changed = !matches!(&update, FeedUpdate::Unchanged);
        match update {
            FeedUpdate::Unchanged => {}
            FeedUpdate::Snapshot { snapshot, is_restored } => {
                if is_restored {
                    self.directory.source_restored(now);
                }
                let present_keys: Vec<Arc<str>> =
                    snapshot.rows.iter().map(|it| it.key.clone()).collect();
                self.directory.retain(now, &present_keys);
                snapshot.rows.into_iter().for_each(|it| self.upsert(now, &it, Origin::Snapshot));
            }
            FeedUpdate::Changes(changes) => {
                is_changed = !changes.changes.is_empty();
                for change in changes.changes {
                    match change {
                        RowChange::Put(row) => self.upsert(now, &row, Origin::Change),
                        RowChange::Removed(key) => self.directory.remove(now, &key),
                    }
                }
            }
        }
        // During another outage of the source, missing entries cannot reappear, so none are
        // dropped.
        is_changed |= is_source_healthy && self.directory.expire(now);
        if is_changed {
            let records = self.directory.records();
            info!(self.relay.log, "directory changed"; "upstreams" => records.len(),
                "leaving" => records.iter().filter(|it| it.is_leaving).count());
            metrics::gauge!("cranberryvalve_upstreams").set(records.len() as f64);
            self.relay.replace_directory(records);
        }
    }

    fn upsert(&mut self, now: Instant, row: &Row, origin: Origin) {
        match self.feed.decode(row) {
            Ok(record) => {
                self.malformed_keys.remove(&row.key);
                self.directory.insert(now, row.key.clone(), record, origin);
            }
            Err(message) => {
                if self.malformed_keys.insert(row.key.clone()) {
                    warn!(self.relay.log, "upstream left out"; "upstream" => &*row.key,
                        "error" => message);
                }
                self.directory.remove(now, &row.key);
            }
        }
    }
}

/// Result of one poll of a source.
enum FeedUpdate {
    Unchanged,
    Snapshot {
        snapshot: Snapshot,
        /// Whether the source was restored from a copy since the last update.
        is_restored: bool,
    },
    Changes(Changes),
}

impl FeedUpdate {
    /// Returns `true` if there is a snapshot or at least one change.
    const fn is_change(&self) -> bool {
        match self {
            Self::Unchanged => false,
            Self::Snapshot { .. } => true,
            Self::Changes(changes) => !changes.changes.is_empty(),
        }
    }

    /// Returns all added and changed rows.
    fn into_rows(self) -> Vec<Row> {
        match self {
            Self::Unchanged => Vec::new(),
            Self::Snapshot { snapshot, .. } => snapshot.rows,
            Self::Changes(changes) => {
                let puts = changes.changes.into_iter().filter_map(|it| match it {
                    RowChange::Put(row) => Some(row),
                    RowChange::Removed(_) => None,
                });
                puts.collect()
            }
        }
    }
}

/// Position in the feed of a source and the state of the connection to it.
struct Follower<F: ?Sized> {
    relay: Arc<Relay>,
    feed: Arc<F>,
    position: Option<StorePosition>,
    /// Era of the last update; `None` before the first one.
    era: Option<StoreEra>,
    consecutive_failures: u32,
    recovered_at: Option<Instant>,
    /// Whether the next poll is delayed to batch changes.
    delays_next_poll: bool,
}

impl<F: Feed + ?Sized> Follower<F> {
    fn new(relay: Arc<Relay>, feed: Arc<F>) -> Self {
        Self {
            relay,
            feed,
            position: None,
            era: None,
            consecutive_failures: 0,
            recovered_at: None,
            delays_next_poll: false,
        }
    }

    /// Polls the source. Blocks for at most `wait`, plus the retry or batch delay.
    fn poll(&mut self, wait: Duration) -> FeedUpdate {
        if std::mem::take(&mut self.delays_next_poll) {
            thread::sleep(BATCH_DELAY);
        }
        // Another source of the same store may have noticed a restoration first.
        let is_outdated = self.position.is_some_and(|it| it.era < self.relay.store_era());
        let result = match self.position.filter(|_| !is_outdated) {
            None => self.feed.snapshot().map(|snapshot| {
                let is_restored = self.era.is_some_and(|it| it != snapshot.position.era);
                (snapshot.position, FeedUpdate::Snapshot { snapshot, is_restored })
            }),
            Some(position) => {
                let changes = self.feed.changes(position, wait);
                changes.map(|it| (it.position, FeedUpdate::Changes(it)))
            }
        };
        match result {
            Ok((position, update)) => {
                self.count_call("well");
                self.relay.record_source_response(self.feed.name());
                self.position = Some(position);
                self.record_era(position.era);
                self.handle_success();
                self.delays_next_poll = update.is_change();
                update
            }
            Err(FeedError::HistoryExpired) => {
                self.count_call("history_gone");
                info!(self.relay.log, "feed lost its history"; "source" => self.feed.name());
                self.position = None;
                FeedUpdate::Unchanged
            }
            Err(FeedError::Restored(era)) => {
                self.count_call("restored");
                info!(self.relay.log, "feed belongs to an earlier era"; "source" => self.feed.name(),
                    "era" => era);
                self.position = None;
                FeedUpdate::Unchanged
            }
            Err(FeedError::Failed(error)) => {
                self.count_call("unreachable");
                self.handle_failure(&error);
                FeedUpdate::Unchanged
            }
        }
    }

    fn count_call(&self, result: &'static str) {
        let source = self.feed.name();
        metrics::counter!(
            "cranberryvalve_source_calls_total", "source" => source, "result" => result
        )
        .increment(1);
    }

    /// Logs a change of the source's era, and notifies the relay.
    fn record_era(&mut self, era: StoreEra) {
        let previous = self.era.replace(era);
        if previous.is_some_and(|it| it != era) {
            info!(self.relay.log, "source was restored from a copy";
                "source" => self.feed.name(), "era" => era, "previous_era" => previous);
            metrics::counter!("cranberryvalve_source_restorations_total",
                "source" => self.feed.name())
            .increment(1);
            self.relay.record_store_era(era);
        }
    }

    fn handle_success(&mut self) {
        if self.consecutive_failures > 0 {
            info!(self.relay.log, "source is back"; "source" => self.feed.name(),
                "failures" => self.consecutive_failures);
            self.consecutive_failures = 0;
            self.recovered_at = Some(Instant::now());
        }
    }

    fn handle_failure(&mut self, error: &str) {
        self.consecutive_failures += 1;
        // The next call reads a snapshot, which returns at once, so that the end of the outage is
        // detected early.
        self.position = None;
        if self.consecutive_failures == 1 {
            warn!(self.relay.log, "source lost"; "source" => self.feed.name(), "error" => error);
        }
        let delay = MIN_RETRY_DELAY * 2_u32.saturating_pow(self.consecutive_failures.min(8) - 1);
        thread::sleep(delay.min(MAX_RETRY_DELAY));
    }
}
