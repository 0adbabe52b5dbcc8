//! Position in the feed of a source and the state of the connection to it.

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
use super::Feed;
use super::FeedError;
use super::PollInterrupt;
use super::Row;
use super::RowChange;
use super::Snapshot;
use crate::state::Relay;

/// Maximum duration of a long poll. It is shorter than the time for which sources retain their
/// history. Keepalive probes detect some dead connections earlier; others look alive to them, so that
/// first readers poll more often, and all end their polls when one finds the source back.
pub(super) const MAX_POLL_WAIT: Duration = Duration::from_secs(10);

/// Delay after changes before the next poll, to batch further changes: most come in bursts, and
/// each call has a cost.
const BATCH_DELAY: Duration = Duration::from_millis(250);

/// Retry delay after the first failure of a source.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum retry delay while a source fails.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Result of one poll of a source.
#[derive(Debug)]
pub(super) enum FeedUpdate {
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
    pub(super) const fn is_change(&self) -> bool {
        match self {
            Self::Unchanged => false,
            Self::Snapshot { .. } => true,
            Self::Changes(changes) => !changes.changes.is_empty(),
        }
    }

    /// Returns all added and changed rows.
    pub(super) fn into_rows(self) -> Vec<Row> {
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
pub(super) struct Follower<F: ?Sized> {
    relay: Arc<Relay>,
    feed: Arc<F>,
    /// Ends a long poll, as it does not show by itself that the source was restored, or that its
    /// connection is dead.
    interrupt: Arc<PollInterrupt>,
    pub(super) position: Option<StorePosition>,
    /// Era of the last update; `None` before the first one.
    era: Option<StoreEra>,
    pub(super) consecutive_failures: u32,
    pub(super) recovered_at: Option<Instant>,
    /// Whether the source was not read since the last poll.
    was_paused: bool,
    /// Whether the next poll is delayed to batch changes.
    pub(super) delays_next_poll: bool,
}

impl<F: Feed + ?Sized> Follower<F> {
    pub(super) fn new(relay: Arc<Relay>, feed: Arc<F>) -> io::Result<Self> {
        Ok(Self {
            interrupt: relay.poll_interrupts.register()?,
            relay,
            feed,
            position: None,
            era: None,
            consecutive_failures: 0,
            recovered_at: None,
            was_paused: false,
            delays_next_poll: false,
        })
    }

    /// Records that the source is not read for a while. The next poll then returns at once, since the
    /// source may have been restored in the meantime, which a long poll does not show.
    pub(super) const fn pause(&mut self) {
        self.was_paused = true;
    }

    /// Waits for further changes after a change. Returns `true` if there was one.
    pub(super) fn delay_after_change(&mut self) -> bool {
        let is_delayed = std::mem::take(&mut self.delays_next_poll);
        if is_delayed {
            thread::sleep(BATCH_DELAY);
        }
        is_delayed
    }

    /// Polls the source. Blocks for at most `wait`, plus the retry delay.
    pub(super) fn poll(&mut self, wait: Duration) -> FeedUpdate {
        let wait = if std::mem::take(&mut self.was_paused) { Duration::ZERO } else { wait };
        // Another source of the same store or another VM may have noticed a restoration first, which is
        // checked from here on only.
        let interrupt = self.interrupt.clone();
        let poll = interrupt.begin(wait);
        let is_outdated = self.position.is_some_and(|it| it.era < self.relay.store_era());
        let result = match self.position.filter(|_| !is_outdated) {
            None => self.feed.snapshot().map(|snapshot| {
                let is_restored = self.era.is_some_and(|it| it != snapshot.position.era);
                (snapshot.position, FeedUpdate::Snapshot { snapshot, is_restored })
            }),
            Some(position) => {
                let changes = self.feed.changes(position, wait, &interrupt);
                changes.map(|it| (it.position, FeedUpdate::Changes(it)))
            }
        };
        drop(poll);
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
            Err(FeedError::Interrupted) => {
                self.count_call("interrupted");
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
    pub(super) fn record_era(&mut self, era: StoreEra) {
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
            let now = Instant::now();
            self.recovered_at = Some(now);
            self.relay.poll_interrupts.interrupt_begun_before(now);
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
