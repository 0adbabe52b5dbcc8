//! Sources of routing tables and upstream directories.
//!
//! A source is a table of rows with a change feed. [`follow_tables`] and [`follow_directory`] read
//! a snapshot, follow the changes, and read a new snapshot if the feed's history no longer reaches
//! back far enough. While a source is unreachable, the last known state stays in effect.

mod contacts;
mod directory;
mod follow;
mod follower;
mod interrupt;
mod origins;
mod secret;
mod shared;
mod versions;

use std::fmt;
use std::time::Duration;

use cranberryvalve_core::StoreEra;
use cranberryvalve_core::StorePosition;
use cranberryvalve_core::table::RoutingTable;
use cranberryvalve_policy::scheduler::UpstreamRecord;

pub use contacts::ContactStore;
pub use cranberryvalve_coordination::contacts::ContactRecord;
pub use cranberryvalve_coordination::feed::Changes;
pub use cranberryvalve_coordination::feed::Row;
pub use cranberryvalve_coordination::feed::RowChange;
pub use cranberryvalve_coordination::feed::Snapshot;
pub use cranberryvalve_coordination::origins::OriginRow;
pub use cranberryvalve_coordination::versions::RecordMark;
pub use cranberryvalve_coordination::versions::VersionRecord;
pub use follow::follow_directory;
pub use follow::follow_tables;
pub use interrupt::PollInterrupt;
pub(crate) use interrupt::PollInterrupts;
pub use origins::OriginStore;
pub use origins::record_origins;
pub use secret::SecretStore;
pub use secret::read_or_create;
pub use secret::read_or_write;
pub(crate) use shared::SharedDirectory;
pub use versions::VersionStore;
pub use versions::record_versions;

/// Error of a call to a source.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedError {
    /// The requested changes are no longer retained; a new snapshot must be read.
    HistoryExpired,
    /// The source was restored from a copy, so that earlier positions have no meaning any more; a
    /// new snapshot must be read.
    Restored(StoreEra),
    /// The call was ended by its [`PollInterrupt`].
    Interrupted,
    /// The source could not be reached or responded with an error.
    Failed(String),
}

impl fmt::Display for FeedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HistoryExpired => f.write_str("the requested changes are no longer retained"),
            Self::Restored(era) => write!(f, "the source was restored and is in era {era}"),
            Self::Interrupted => f.write_str("the call was interrupted"),
            Self::Failed(message) => f.write_str(message),
        }
    }
}

impl std::error::Error for FeedError {}

/// A table of rows with a change feed.
pub trait Feed: Send + Sync + 'static {
    /// Returns the name of the source in logs and metrics.
    fn name(&self) -> &'static str;

    /// Reads a snapshot of the whole table.
    ///
    /// # Errors
    ///
    /// Returns an error if the source is unreachable.
    fn snapshot(&self) -> Result<Snapshot, FeedError>;

    /// Waits at most `wait` for changes after `position`, and not after `interrupt`.
    ///
    /// # Errors
    ///
    /// Returns an error if the source is unreachable, no longer retains these changes or is in a
    /// later era than `position`, or if the call was interrupted.
    fn changes(
        &self,
        position: StorePosition,
        wait: Duration,
        interrupt: &PollInterrupt,
    ) -> Result<Changes, FeedError>;
}

/// A source of routing tables.
pub trait RoutingTableFeed: Feed {
    /// Decodes a row. Returns `None` if the row does not hold a routing table, and an error message
    /// for the log if the table is invalid.
    fn decode(&self, row: &Row) -> Option<Result<RoutingTable, String>>;
}

/// A source of upstreams.
pub trait DirectoryFeed: Feed {
    /// Decodes a row into an upstream.
    ///
    /// # Errors
    ///
    /// Returns a message for the log if the row does not describe a usable upstream.
    fn decode(&self, row: &Row) -> Result<UpstreamRecord, String>;
}
