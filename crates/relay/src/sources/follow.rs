//! Threads that follow sources.

use std::collections::HashSet;
use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use slog::info;
use slog::warn;

use super::Changes;
use super::DirectoryFeed;
use super::Feed;
use super::FeedError;
use super::Row;
use super::RowChange;
use super::Snapshot;
use super::TableFeed;
use super::directory::Directory;
use crate::state::Relay;

/// Longest time for which a call waits for changes: within the time for which sources keep their
/// history. A connection that has gone silent is noticed earlier, by keepalive probes.
const WAIT: Duration = Duration::from_secs(10);

/// Pause after changes, in which more of them gather: most come in bursts, and each call costs.
const GATHER: Duration = Duration::from_millis(250);

/// Pause after the first failure of a source.
const MIN_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause between two tries while a source fails.
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// Starts to follow a source of routing tables.
///
/// # Errors
///
/// Fails when no thread can be had.
pub fn follow_tables(relay: &Arc<Relay>, feed: Arc<dyn TableFeed>) -> io::Result<()> {
    let relay = relay.clone();
    thread::Builder::new().name("tables".to_owned()).spawn(move || {
        let mut follower = Follower::new(relay.clone(), feed.clone());
        loop {
            for row in follower.next(WAIT).into_rows() {
                relay.take_row(&*feed, &row, feed.name());
            }
        }
    })?;
    Ok(())
}

/// Starts to follow a source of upstreams.
///
/// # Errors
///
/// Fails when no thread can be had.
pub fn follow_directory(relay: &Arc<Relay>, feed: Arc<dyn DirectoryFeed>) -> io::Result<()> {
    let relay = relay.clone();
    thread::Builder::new().name("directory".to_owned()).spawn(move || {
        let mut reader = DirectoryReader {
            directory: Directory::default(),
            malformed: HashSet::new(),
            relay: relay.clone(),
            feed: feed.clone(),
        };
        let mut follower = Follower::new(relay, feed);
        loop {
            let expires_at = reader.directory.expires_at();
            let wait = expires_at.map_or(WAIT, |it| it.saturating_duration_since(Instant::now()));
            // Entries that lapsed for good must go in time.
            follower.gathers &= expires_at.is_none();
            let news = follower.next(wait.min(WAIT));
            reader.take(news, follower.recovered_at, follower.failures == 0);
        }
    })?;
    Ok(())
}

struct DirectoryReader {
    directory: Directory,
    /// Keys of rows that could not be decoded, each of which is logged once.
    malformed: HashSet<Arc<str>>,
    relay: Arc<Relay>,
    feed: Arc<dyn DirectoryFeed>,
}

impl DirectoryReader {
    fn take(&mut self, news: News, recovered_at: Option<Instant>, is_well: bool) {
        let now = Instant::now();
        if let Some(at) = recovered_at {
            self.directory.recovered(at);
        }
        let mut is_changed = !matches!(&news, News::Nothing);
        match news {
            News::Nothing => {}
            News::Snapshot(snapshot) => {
                let present: Vec<Arc<str>> =
                    snapshot.rows.iter().map(|it| it.key.clone()).collect();
                self.directory.retain(now, &present);
                snapshot.rows.into_iter().for_each(|it| self.put(now, &it));
            }
            News::Changes(changes) => {
                is_changed = !changes.changes.is_empty();
                for change in changes.changes {
                    match change {
                        RowChange::Put(row) => self.put(now, &row),
                        RowChange::Removed(key) => self.directory.remove(now, &key),
                    }
                }
            }
        }
        // While the source is away again, nothing can come back.
        is_changed |= is_well && self.directory.expire(now);
        if is_changed {
            let records = self.directory.records();
            info!(self.relay.log, "directory changed"; "upstreams" => records.len(),
                "leaving" => records.iter().filter(|it| it.is_leaving).count());
            metrics::gauge!("cranberryvalve_upstreams").set(records.len() as f64);
            self.relay.put_directory(records);
        }
    }

    fn put(&mut self, now: Instant, row: &Row) {
        match self.feed.decode(row) {
            Ok(record) => {
                self.malformed.remove(&row.key);
                self.directory.put(row.key.clone(), record);
            }
            Err(message) => {
                if self.malformed.insert(row.key.clone()) {
                    warn!(self.relay.log, "upstream left out"; "upstream" => &*row.key,
                        "error" => message);
                }
                self.directory.remove(now, &row.key);
            }
        }
    }
}

/// What a source brought.
enum News {
    Nothing,
    Snapshot(Snapshot),
    Changes(Changes),
}

impl News {
    /// Whether anything is new.
    const fn is_change(&self) -> bool {
        match self {
            Self::Nothing => false,
            Self::Snapshot(_) => true,
            Self::Changes(changes) => !changes.changes.is_empty(),
        }
    }

    /// All rows that are new or have changed.
    fn into_rows(self) -> Vec<Row> {
        match self {
            Self::Nothing => Vec::new(),
            Self::Snapshot(snapshot) => snapshot.rows,
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

/// A place in a source's feed, with what is known of the source's health.
struct Follower<F: ?Sized> {
    relay: Arc<Relay>,
    feed: Arc<F>,
    version: Option<u64>,
    failures: u32,
    recovered_at: Option<Instant>,
    /// Whether the next call waits a little first, so that changes gather.
    gathers: bool,
}

impl<F: Feed + ?Sized> Follower<F> {
    fn new(relay: Arc<Relay>, feed: Arc<F>) -> Self {
        Self { relay, feed, version: None, failures: 0, recovered_at: None, gathers: false }
    }

    /// Waits for news, for `wait` at most while the source is well.
    fn next(&mut self, wait: Duration) -> News {
        if std::mem::take(&mut self.gathers) {
            thread::sleep(GATHER);
        }
        let result = match self.version {
            None => self.feed.read().map(|it| (it.version, News::Snapshot(it))),
            Some(version) => {
                self.feed.changes(version, wait).map(|it| (it.version, News::Changes(it)))
            }
        };
        match result {
            Ok((version, news)) => {
                self.count("well");
                self.relay.heard(self.feed.name());
                self.version = Some(version);
                self.succeeded();
                self.gathers = news.is_change();
                news
            }
            Err(FeedError::HistoryGone) => {
                self.count("history_gone");
                info!(self.relay.log, "feed lost its history"; "source" => self.feed.name());
                self.version = None;
                News::Nothing
            }
            Err(FeedError::Unreachable(error)) => {
                self.count("unreachable");
                self.failed(&error);
                News::Nothing
            }
        }
    }

    fn count(&self, result: &'static str) {
        let source = self.feed.name();
        metrics::counter!("cranberryvalve_source_calls_total", "source" => source, "result" => result)
            .increment(1);
    }

    fn succeeded(&mut self) {
        if self.failures > 0 {
            info!(self.relay.log, "source is back"; "source" => self.feed.name(),
                "failures" => self.failures);
            self.failures = 0;
            self.recovered_at = Some(Instant::now());
        }
    }

    fn failed(&mut self, error: &str) {
        self.failures += 1;
        // The next call is one that does not wait, so that the end of an outage shows at once.
        self.version = None;
        if self.failures == 1 {
            warn!(self.relay.log, "source lost"; "source" => self.feed.name(), "error" => error);
        }
        let pause = MIN_PAUSE * 2_u32.saturating_pow(self.failures.min(8) - 1);
        thread::sleep(pause.min(MAX_PAUSE));
    }
}
