//! The record of software versions in the store.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::versions::RecordMark;
use cranberryvalve_coordination::versions::VersionRecord;
use cranberryvalve_core::StoreEra;
use rand::RngExt;
use slog::info;
use slog::warn;

use super::FeedError;
use crate::state::Relay;

/// Interval at which the record is checked while the directory does not change. Versions that have
/// left are removed from it within this time.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Time over which the VMs of a system that starts for the first time, or whose store was restored,
/// spread their reads, so that most of them find the record written.
const READ_SPREAD: Duration = Duration::from_secs(1);

/// Maximum number of writes in a row: those of other VMs may come first, and after their rows are read
/// little is left to write.
const MAX_WRITES: usize = 3;

/// Interval at which a VM reads records again that may lack versions, while it does not know all of them
/// itself: among 340 VMs that all were lost, 34 reads a second.
const REREAD_INTERVAL: Duration = Duration::from_secs(10);

/// Delay between attempts while the record cannot be read or written.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Storage of the software versions of each pool.
pub trait VersionStore: Send + Sync + 'static {
    /// Reads the records of all pools.
    ///
    /// # Errors
    ///
    /// Returns an error if the store is unreachable.
    fn read(&self) -> Result<Vec<VersionRecord>, FeedError>;

    /// Writes a record if its row still has the revision that the record names. Returns `false` if
    /// another VM has written it.
    ///
    /// # Errors
    ///
    /// Returns an error if the store is unreachable. The record may have been written nevertheless.
    fn write(&self, record: &VersionRecord) -> Result<bool, FeedError>;

    /// Reads the mark that tells in which era the records named all versions.
    ///
    /// # Errors
    ///
    /// Returns an error if the store is unreachable.
    fn read_mark(&self) -> Result<RecordMark, FeedError>;

    /// Confirms the records in the era of `mark`, if the row of the mark still has its revision. Returns
    /// `false` if another VM has written it.
    ///
    /// # Errors
    ///
    /// Returns an error if the store is unreachable. The mark may have been written nevertheless.
    fn write_mark(&self, mark: &RecordMark) -> Result<bool, FeedError>;

    /// Returns the era of the latest response of the store.
    fn latest_era(&self) -> StoreEra;
}

/// Starts a thread that keeps the record of software versions.
///
/// Every VM reads the record when it starts, after a restoration of the store and when it may have
/// missed a version, and writes it if there is none; the watchers of the failure domains keep it. When
/// the whole system starts for the first time, there is none.
///
/// # Errors
///
/// Returns an error if the thread cannot be spawned.
pub fn record_versions(
    relay: &Arc<Relay>,
    store: Arc<dyn VersionStore>,
    is_first_start: bool,
) -> io::Result<()> {
    if is_first_start {
        relay.streams.set_first_start();
    }
    let mut recorder = Recorder {
        relay: relay.clone(),
        store,
        store_era: 0,
        trusted_era: None,
        marked_era: None,
        reread_at: Instant::now(),
        is_failing: false,
    };
    thread::Builder::new().name("versions".to_owned()).spawn(move || {
        if is_first_start {
            recorder.wait_for_turn();
        }
        loop {
            recorder.run_once();
        }
    })?;
    Ok(())
}

struct Recorder {
    relay: Arc<Relay>,
    store: Arc<dyn VersionStore>,
    store_era: StoreEra,
    /// Era of the store in which the records are believed; `None` before it is known.
    trusted_era: Option<StoreEra>,
    /// Era of the store that its mark names, as far as this VM knows.
    marked_era: Option<StoreEra>,
    /// When records that were not trusted are read again.
    reread_at: Instant,
    is_failing: bool,
}

impl Recorder {
    /// Reads and writes what is due, and waits for the next change.
    fn run_once(&mut self) {
        let streams = &self.relay.streams;
        let store_era = self.relay.store_era();
        if store_era > self.store_era {
            self.store_era = store_era;
            streams.forget_records();
            self.wait_for_turn();
        }
        let is_reread = streams.is_incomplete() && Instant::now() >= self.reread_at;
        let is_read_due = streams.lacks_records() || is_reread;
        let result = if is_read_due { self.read() } else { Ok(()) };
        // The first record of a pool is there when a call asks for it.
        let result = result
            .and_then(|()| self.write_all_due())
            .and_then(|()| self.keep_mark())
            .and_then(|()| self.confirm());
        let is_failing = result.is_err();
        if let Err(error) = result
            && !self.is_failing
        {
            warn!(self.relay.log, "cannot keep the record of software versions; retrying";
                "error" => error.to_string());
        }
        self.is_failing = is_failing;
        if is_failing {
            thread::sleep(RETRY_INTERVAL);
        } else {
            self.relay.streams.wait_for_change(CHECK_INTERVAL);
        }
    }

    /// Waits for a random part of [`READ_SPREAD`], or until a call needs a read.
    fn wait_for_turn(&self) {
        self.relay.streams.wait_for_request(READ_SPREAD.mul_f64(rand::rng().random()));
    }

    fn read(&mut self) -> Result<(), FeedError> {
        self.reread_at = Instant::now() + REREAD_INTERVAL;
        let (records, are_trusted) = self.read_records()?;
        self.relay.merge_version_records(&records, are_trusted);
        Ok(())
    }

    /// Reads the records for the calls that wait for it. Records that may lack versions prove nothing.
    fn confirm(&mut self) -> Result<(), FeedError> {
        let Some(read) = self.relay.streams.begin_confirmation() else { return Ok(()) };
        let (records, are_trusted) = self.read_records()?;
        let records = if are_trusted { records } else { Vec::new() };
        self.relay.streams.end_confirmation(read, records);
        Ok(())
    }

    /// Reads the records, and whether they name all versions.
    fn read_records(&mut self) -> Result<(Vec<VersionRecord>, bool), FeedError> {
        if self.trusted_era != Some(self.store.latest_era()) {
            let mark = self.store.read_mark()?;
            self.trusted_era = mark.is_trusted().then_some(mark.store_era);
        }
        let records = self.store.read()?;
        // The store may have been restored between the two reads.
        Ok((records, self.trusted_era == Some(self.store.latest_era())))
    }

    /// Confirms the records in the present era of the store, if this VM knows all versions.
    fn keep_mark(&mut self) -> Result<(), FeedError> {
        let is_marked = self.marked_era == Some(self.store.latest_era());
        let is_due = !is_marked && self.relay.is_source_reader();
        if !is_due || !self.relay.streams.confirms_records() {
            return Ok(());
        }
        let mark = self.store.read_mark()?;
        if mark.is_current() || self.store.write_mark(&mark)? {
            if !mark.is_current() {
                info!(self.relay.log, "software versions confirmed"; "era" => mark.store_era);
            }
            self.marked_era = Some(mark.store_era);
            self.trusted_era = self.marked_era;
        }
        Ok(())
    }

    fn write_all_due(&mut self) -> Result<(), FeedError> {
        for _ in 0..MAX_WRITES {
            if !self.write_due()? {
                break;
            }
        }
        Ok(())
    }

    /// Writes what is due and reads all records again. Returns `false` if nothing is due.
    fn write_due(&mut self) -> Result<bool, FeedError> {
        let is_watcher = self.relay.is_source_reader();
        let mut due = self.relay.streams.due_records();
        due.retain(|it| is_watcher || it.revision == 0);
        if due.is_empty() {
            return Ok(false);
        }
        for record in due {
            if self.store.write(&record)? {
                let versions: Vec<&str> = record.versions.iter().map(|it| &**it).collect();
                info!(self.relay.log, "software versions recorded"; "pool" => &*record.pool,
                    "versions" => versions.join(" "));
            }
        }
        // The revisions of the rows are known from the next read only.
        self.read()?;
        Ok(true)
    }
}
