//! Interface to the platform's table service and object store.
//!
//! The store may be restored from a copy, which starts a new era. Versions of rows are assigned
//! again, so each reply carries the era that it belongs to, and each write the era in which its
//! condition was read: it has no effect in any other one. What was acknowledged shortly before a
//! restoration may be missing afterwards; [`era`](crate::era) tells for how long that matters.

mod memory;

pub use memory::Delivery;
pub use memory::MemoryStore;

use std::fmt;
use std::sync::Arc;

use cranberryvalve_core::StoreEra;
use serde::Deserialize;
use serde::Serialize;

/// Key of a row or an object, such as `config/head`.
pub type RowKey = Arc<str>;

/// Version of a row, which the table service changes with every write within an era.
pub type RowVersion = u64;

/// Row that was read.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// Version of the row, to be used in a conditional write.
    pub version: RowVersion,
    /// Content of the row.
    pub value: Vec<u8>,
}

/// Reply to a read: a row, and the era of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// Era in which the row was read.
    pub era: StoreEra,
    /// The row, or `None` if it does not exist.
    pub row: Option<Row>,
}

impl Snapshot {
    /// Returns the condition that the row has not been written, and the store not been restored,
    /// since this read.
    pub fn unchanged(&self) -> Condition {
        let expected =
            self.row.as_ref().map_or(Expected::Absent, |it| Expected::Version(it.version));
        Condition { era: self.era, expected }
    }
}

/// Condition of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Condition {
    /// Required era of the store.
    pub era: StoreEra,
    /// Required state of the row.
    pub expected: Expected,
}

impl Condition {
    /// Returns the condition that the row does not exist in `era`.
    pub const fn absent(era: StoreEra) -> Self {
        Self { era, expected: Expected::Absent }
    }

    /// Returns the condition that the row has this version in `era`.
    pub const fn version(era: StoreEra, version: RowVersion) -> Self {
        Self { era, expected: Expected::Version(version) }
    }
}

/// Required state of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Expected {
    /// The row must not exist.
    Absent,
    /// The row must have this version.
    Version(RowVersion),
}

/// Result of a write to which the table service replied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResult {
    /// The row was written and has this version.
    Written(RowVersion),
    /// The condition did not hold, and nothing was written.
    Conflict,
}

/// Error of a store operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreError {
    /// The operation was not executed: nothing was sent, or the store refused it.
    Rejected,
    /// The operation may or may not have been executed, or may still be executed later.
    InDoubt,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Rejected => "the store did not carry it out",
            Self::InDoubt => "the store may or may not have carried it out",
        })
    }
}

impl std::error::Error for StoreError {}

/// Operation that a state machine requests from the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum StoreCommand {
    /// Read a row.
    Read {
        /// Key of the row.
        key: RowKey,
    },
    /// Write a row if the condition holds.
    Write {
        /// Key of the row.
        key: RowKey,
        /// Condition for the write.
        condition: Condition,
        /// New content of the row.
        value: Vec<u8>,
    },
    /// Store an object, whose key is derived from its content.
    PutObject {
        /// Key of the object.
        key: RowKey,
        /// Content of the object.
        value: Vec<u8>,
    },
    /// Fetch an object.
    FetchObject {
        /// Key of the object.
        key: RowKey,
    },
}

/// Reply to a [`StoreCommand`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReply {
    /// The row that was read.
    Read(Snapshot),
    /// Result of the write.
    Write(WriteResult),
    /// The object was stored.
    PutObject,
    /// Content of the object that was fetched, or `None` if it does not exist.
    FetchObject(Option<Vec<u8>>),
    /// The operation failed.
    Failed(StoreError),
}

/// Client of the platform's table service and object store.
///
/// The state machines of this crate return [`StoreCommand`]s. An adapter executes them through this
/// trait and passes the replies back. [`execute`] does so for one command.
pub trait Store: Send + Sync {
    /// Reads a row.
    ///
    /// # Errors
    ///
    /// Returns an error if the table service does not reply in time.
    fn read(&self, key: &str) -> Result<Snapshot, StoreError>;

    /// Writes a row if the condition holds.
    ///
    /// # Errors
    ///
    /// Returns an error if the table service refuses the write or does not reply in time. After
    /// [`StoreError::InDoubt`], the row may have been written or may be written later.
    fn write(
        &self,
        key: &str,
        condition: Condition,
        value: &[u8],
    ) -> Result<WriteResult, StoreError>;

    /// Stores an object.
    ///
    /// # Errors
    ///
    /// Returns an error if the object store does not reply in time.
    fn put_object(&self, key: &str, value: &[u8]) -> Result<(), StoreError>;

    /// Fetches the content of an object. Returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the object store does not reply in time.
    fn fetch_object(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError>;
}

/// Executes one command and returns its reply.
pub fn execute(store: &dyn Store, command: &StoreCommand) -> StoreReply {
    match command {
        StoreCommand::Read { key } => store.read(key).map(StoreReply::Read),
        StoreCommand::Write { key, condition, value } => {
            store.write(key, *condition, value).map(StoreReply::Write)
        }
        StoreCommand::PutObject { key, value } => {
            store.put_object(key, value).map(|()| StoreReply::PutObject)
        }
        StoreCommand::FetchObject { key } => store.fetch_object(key).map(StoreReply::FetchObject),
    }
    .unwrap_or_else(StoreReply::Failed)
}
