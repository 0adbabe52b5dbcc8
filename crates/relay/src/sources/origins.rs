//! Rows in the store with the origins of streams.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use cranberryvalve_adapters::telemetry::unix_time_ms;
use cranberryvalve_coordination::origins::OriginRow;
use cranberryvalve_coordination::origins::ROW_INTERVAL;
use cranberryvalve_coordination::origins::row_key;
use slog::info;
use slog::warn;

use super::FeedError;
use crate::state::Relay;

/// Storage of the origins of streams.
pub trait OriginStore: Send + Sync + 'static {
    /// Reads all rows.
    ///
    /// # Errors
    ///
    /// Returns an error if the store is unreachable.
    fn read(&self) -> Result<Vec<OriginRow>, FeedError>;

    /// Writes a row, whatever it held before.
    ///
    /// # Errors
    ///
    /// Returns an error if the store is unreachable. The row may have been written nevertheless.
    fn write(&self, key: &str, row: &OriginRow) -> Result<(), FeedError>;
}

/// Starts the threads that record origins of streams in the store, while several versions serve, and
/// that read them for calls whose origin no VM knows.
///
/// # Errors
///
/// Returns an error if a thread cannot be spawned.
pub fn record_origins(relay: &Arc<Relay>, store: Arc<dyn OriginStore>) -> io::Result<()> {
    let (writer, writer_store) = (relay.clone(), store.clone());
    thread::Builder::new().name("origins".to_owned()).spawn(move || {
        let mut is_failing = false;
        loop {
            let result = write_pending(&writer, &*writer_store);
            log_change(&writer, "origins of streams are not recorded", &result, &mut is_failing);
            thread::sleep(ROW_INTERVAL);
        }
    })?;
    let reader = relay.clone();
    thread::Builder::new().name("origin reader".to_owned()).spawn(move || {
        let mut is_failing = false;
        loop {
            let result = read_requested(&reader, &*store);
            log_change(&reader, "recorded origins cannot be read", &result, &mut is_failing);
        }
    })?;
    Ok(())
}

/// Waits for origins that are to be recorded, and writes a row. If that fails, they are written with the
/// next ones.
fn write_pending(relay: &Relay, store: &dyn OriginStore) -> Result<(), FeedError> {
    let stored = &relay.streams.stored;
    let streams = stored.wait_for_pending();
    let domain = relay.settings.scheduler.failure_domain.clone().unwrap_or_default();
    let unix_time = Duration::from_millis(unix_time_ms());
    let result = store.write(&row_key(&domain, unix_time), &OriginRow::new(&streams));
    metrics::counter!("cranberryvalve_origins_recorded_total").increment(streams.len() as u64);
    if result.is_err() {
        stored.push(streams);
    }
    result
}

/// Waits for calls that need the rows, and reads them.
fn read_requested(relay: &Relay, store: &dyn OriginStore) -> Result<(), FeedError> {
    let stored = &relay.streams.stored;
    let read = stored.wait_for_request();
    let rows = store.read();
    let result = rows.as_ref().map(|_| ()).map_err(Clone::clone);
    let rows = rows.unwrap_or_default();
    info!(relay.log, "recorded origins of streams were read"; "rows" => rows.len());
    stored.end_read(read, rows.iter().flat_map(OriginRow::streams));
    result
}

/// Logs the first failure of several in a row.
fn log_change(
    relay: &Relay,
    message: &'static str,
    result: &Result<(), FeedError>,
    is_failing: &mut bool,
) {
    let was_failing = std::mem::replace(is_failing, result.is_err());
    if let Err(error) = result
        && !was_failing
    {
        warn!(relay.log, "{}", message; "error" => error.to_string());
    }
}
