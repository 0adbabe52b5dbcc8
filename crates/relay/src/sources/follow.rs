//! Threads that follow the change feeds of sources.

use std::collections::HashSet;
use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Instant;

use slog::info;
use slog::warn;

use super::DirectoryFeed;
use super::RoutingTableFeed;
use super::Row;
use super::RowChange;
use super::directory::Directory;
use super::directory::Origin;
use super::follower::FeedUpdate;
use super::follower::Follower;
use super::follower::MAX_POLL_WAIT;
use crate::state::Relay;

/// Number of polls of a failure domain's first reader in the time within which a VM has to know what
/// the store acknowledges. What a poll shows is read and passed on in the rest of that time.
const CONTACT_TIME_POLLS: u32 = 2;

/// Maximum number of present rows that cannot be decoded up to which the log names them.
const MAX_NAMED_ROWS: usize = 100;

/// Maximum number of characters of a decoder's message in the log, since it may quote the row.
const MAX_MESSAGE_CHARS: usize = 200;

/// Starts a thread that follows a source of routing tables.
///
/// VMs that are not watchers of their failure domain read the source only when they start, and when
/// a table that a peer has sent is ambiguous; their peers announce each new table. The first reader of a failure domain polls more often than the other
/// watchers: a poll whose connection is silent and open ends only with its time.
///
/// # Errors
///
/// Returns an error if the thread cannot be spawned.
pub fn follow_tables(relay: &Arc<Relay>, feed: Arc<dyn RoutingTableFeed>) -> io::Result<()> {
    let relay = relay.clone();
    let mut follower = Follower::new(relay.clone(), feed.clone())?;
    thread::Builder::new().name("tables".to_owned()).spawn(move || {
        loop {
            if follower.position.is_some() && !relay.is_source_reader() {
                let check_delay = relay.shared_directory.check_delay(Instant::now());
                if !relay.tables.wait_until_source_needed(check_delay) {
                    follower.pause();
                    continue;
                }
            }
            follower.delay_after_change();
            // The time that a lost poll takes, and the next one, have to fit between a disturbance and
            // the first change that must not be missed.
            let is_first = relay.is_first_source_reader();
            let wait = if is_first { relay.settings.contact_time } else { MAX_POLL_WAIT };
            for row in follower.poll(wait.min(MAX_POLL_WAIT)).into_rows() {
                relay.apply_row(&*feed, &row, feed.name());
            }
        }
    })?;
    Ok(())
}

/// Starts the threads that follow a source of upstreams.
///
/// The watchers of a failure domain read the source and send its changes to the other VMs; see
/// [`watch`](cranberryvalve_coordination::watch). Changes are applied by a thread of their own, so
/// that those of other VMs are not held up by a long poll.
///
/// # Errors
///
/// Returns an error if a thread cannot be spawned.
pub fn follow_directory(relay: &Arc<Relay>, feed: Arc<dyn DirectoryFeed>) -> io::Result<()> {
    let mut updater = DirectoryUpdater {
        directory: Directory::default(),
        malformed_keys: HashSet::new(),
        relay: relay.clone(),
        feed: feed.clone(),
    };
    thread::Builder::new().name("directory".to_owned()).spawn(move || {
        loop {
            updater.run_once();
        }
    })?;
    let follower = Follower::new(relay.clone(), feed)?;
    let mut reader = DirectoryReader { relay: relay.clone(), follower };
    thread::Builder::new().name("directory reader".to_owned()).spawn(move || {
        loop {
            reader.run_once();
        }
    })?;
    Ok(())
}

/// Reads the directory on a watcher.
struct DirectoryReader {
    relay: Arc<Relay>,
    follower: Follower<dyn DirectoryFeed>,
}

impl DirectoryReader {
    /// Reads the source if it is this VM's duty, or waits for a report of a watcher.
    fn run_once(&mut self) {
        let relay = self.relay.clone();
        let shared = &relay.shared_directory;
        // Another VM may have told of a restoration.
        if let Some(position) = shared.position() {
            self.follower.record_era(position.era);
        }
        if shared.position().is_none() || relay.is_source_reader() {
            self.read();
        } else {
            self.follower.pause();
            shared.wait_for_report(shared.check_delay(Instant::now()));
        }
    }

    /// Polls the source and tells the other VMs of the failure domain.
    fn read(&mut self) {
        let relay = self.relay.clone();
        let shared = &relay.shared_directory;
        if self.follower.delay_after_change() {
            relay.report_directory(None);
        }
        let base = shared.position();
        // Without a position, the next call reads a snapshot.
        self.follower.position = self.follower.position.and(base);
        let was_failing = self.follower.consecutive_failures > 0;
        let update = self.poll();
        let is_failing = self.follower.consecutive_failures > 0;
        let delta = shared.record_read(base, update, self.follower.recovered_at, !is_failing);
        if delta.is_some() || is_failing != was_failing {
            relay.report_directory(delta);
        }
    }

    /// Polls the source: often on the first reader of the failure domain, which tells the others of a
    /// restoration, and else until it takes that place.
    fn poll(&mut self) -> FeedUpdate {
        if self.relay.is_first_source_reader() {
            return self.follower.poll(self.relay.settings.contact_time / CONTACT_TIME_POLLS);
        }
        self.follower.poll(MAX_POLL_WAIT)
    }
}

struct DirectoryUpdater {
    directory: Directory,
    /// Keys of the present rows that cannot be decoded; each is logged only once, and no more than
    /// [`MAX_NAMED_ROWS`] of them.
    malformed_keys: HashSet<Arc<str>>,
    relay: Arc<Relay>,
    feed: Arc<dyn DirectoryFeed>,
}

impl DirectoryUpdater {
    /// Waits for updates or for the end of a grace period, and applies what is due.
    fn run_once(&mut self) {
        let relay = self.relay.clone();
        let shared = &relay.shared_directory;
        let expires_at = self.directory.expires_at();
        let wait =
            expires_at.map_or(MAX_POLL_WAIT, |it| it.saturating_duration_since(Instant::now()));
        let updates = shared.wait_for_updates(wait);
        let recovered_at = shared.recovered_at();
        let is_healthy = shared.is_source_healthy(Instant::now());
        for update in updates {
            self.apply(update, recovered_at, is_healthy);
        }
        self.apply(FeedUpdate::Unchanged, recovered_at, is_healthy);
    }

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
                let present: HashSet<&Arc<str>> = present_keys.iter().collect();
                self.malformed_keys.retain(|it| present.contains(it));
                snapshot.rows.into_iter().for_each(|it| self.upsert(now, &it, Origin::Snapshot));
            }
            FeedUpdate::Changes(changes) => {
                is_changed = !changes.changes.is_empty();
                for change in changes.changes {
                    match change {
                        RowChange::Put(row) => self.upsert(now, &row, Origin::Change),
                        RowChange::Removed(key) => {
                            self.malformed_keys.remove(&key);
                            self.directory.remove(now, &key);
                        }
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
                "left_out" => self.malformed_keys.len(),
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
                let is_new = self.malformed_keys.insert(row.key.clone());
                if is_new && self.malformed_keys.len() <= MAX_NAMED_ROWS {
                    let message: String = message.chars().take(MAX_MESSAGE_CHARS).collect();
                    warn!(self.relay.log, "upstream left out"; "upstream" => &*row.key,
                        "error" => message);
                }
                self.directory.withdraw(now, &row.key);
            }
        }
    }
}
