//! Where routing tables and directories of upstreams come from.
//!
//! A source is a table of rows with a feed of changes. [`follow_tables`] and [`follow_directory`]
//! read it, follow its changes and read it again when the feed has lost its history. While a
//! source cannot be reached, what is known stays in force.

mod directory;
mod follow;
mod secret;

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use cranberryvalve_core::table::RoutingTable;
use cranberryvalve_policy::scheduler::UpstreamRecord;

pub use follow::follow_directory;
pub use follow::follow_tables;
pub use secret::SecretRow;
pub use secret::read_or_create;

/// A row of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Key.
    pub key: Arc<str>,
    /// Bytes.
    pub value: Vec<u8>,
}

/// All rows of a table at one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Rows.
    pub rows: Vec<Row>,
    /// Version from which changes follow.
    pub version: u64,
}

/// A change of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowChange {
    /// The row is new or has changed.
    Put(Row),
    /// The row with this key was removed.
    Removed(Arc<str>),
}

/// Changes of a table, in order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// Changes.
    pub changes: Vec<RowChange>,
    /// Version from which further changes follow.
    pub version: u64,
}

/// Why a source gave nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedError {
    /// The changes asked for are no longer kept; the table must be read again.
    HistoryGone,
    /// It could not be reached, or answered with a failure.
    Unreachable(String),
}

impl fmt::Display for FeedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HistoryGone => f.write_str("the changes are no longer kept"),
            Self::Unreachable(message) => f.write_str(message),
        }
    }
}

impl std::error::Error for FeedError {}

/// A table with a feed of its changes.
pub trait Feed: Send + Sync + 'static {
    /// Name for logs.
    fn name(&self) -> &'static str;

    /// Reads the whole table.
    ///
    /// # Errors
    ///
    /// Fails when the source cannot be reached.
    fn read(&self) -> Result<Snapshot, FeedError>;

    /// Waits for changes after `version`, for `wait` at most.
    ///
    /// # Errors
    ///
    /// Fails when the source cannot be reached, or no longer has these changes.
    fn changes(&self, version: u64, wait: Duration) -> Result<Changes, FeedError>;
}

/// A source of routing tables.
pub trait TableFeed: Feed {
    /// Decodes a row; none when it holds no routing table.
    fn decode(&self, row: &Row) -> Option<Result<RoutingTable, String>>;

    /// The row with a routing table of these bytes, as another VM read it.
    fn row(&self, value: Vec<u8>) -> Row;
}

/// A source of upstreams.
pub trait DirectoryFeed: Feed {
    /// Decodes a row.
    ///
    /// # Errors
    ///
    /// Fails with a message for logs when the row names no upstream that can be used.
    fn decode(&self, row: &Row) -> Result<UpstreamRecord, String>;
}
