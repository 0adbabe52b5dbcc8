//! The platform's table service and object store, as the coordination parts see them.

mod memory;

pub use memory::Fate;
pub use memory::MemoryStore;

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Key of a row, as a path such as `config/head`.
pub type RowKey = Arc<str>;

/// Version of a row, assigned by the table service; it changes with every write.
pub type RowVersion = u64;

/// A row as it was read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Version, for a conditional write.
    pub version: RowVersion,
    /// Content.
    pub value: Vec<u8>,
}

/// Condition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Expected {
    /// There must be no row.
    Absent,
    /// The row must have this version.
    Version(RowVersion),
}

/// What became of a write that the table service answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResult {
    /// The row was written.
    Written(RowVersion),
    /// The condition did not hold, and nothing was written.
    Conflict,
}

/// Why an operation on the store has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreError {
    /// It was not carried out: nothing was sent, or the store refused it.
    Rejected,
    /// It may or may not have been carried out, now or later.
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

/// An operation that a state machine asks for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum StoreCommand {
    /// Read a row.
    Read {
        /// Key.
        key: RowKey,
    },
    /// Write a row when the condition holds.
    Write {
        /// Key.
        key: RowKey,
        /// Condition.
        expected: Expected,
        /// New content.
        value: Vec<u8>,
    },
    /// Put an object, whose key is derived from its content.
    PutObject {
        /// Key.
        key: RowKey,
        /// Content.
        value: Vec<u8>,
    },
    /// Fetch an object.
    FetchObject {
        /// Key.
        key: RowKey,
    },
}

/// The answer to a [`StoreCommand`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReply {
    /// The row that was read, if there is one.
    Read(Option<Row>),
    /// What became of the write.
    Write(WriteResult),
    /// The object was put.
    PutObject,
    /// The object that was fetched, if there is one.
    FetchObject(Option<Vec<u8>>),
    /// There is no answer.
    Failed(StoreError),
}

/// The platform's table service and object store.
///
/// The state machines of this crate ask for [`StoreCommand`]s; an adapter carries them out through
/// this port and hands the replies back. [`execute`] does so for one command.
pub trait Store: Send + Sync {
    /// Reads a row.
    ///
    /// # Errors
    ///
    /// Fails when the table service does not answer in time.
    fn read(&self, key: &str) -> Result<Option<Row>, StoreError>;

    /// Writes a row when the condition holds.
    ///
    /// # Errors
    ///
    /// Fails when the table service refuses or does not answer in time. After
    /// [`StoreError::InDoubt`] the row may have been written, or may be written later.
    fn write(&self, key: &str, expected: Expected, value: &[u8])
    -> Result<WriteResult, StoreError>;

    /// Puts an object.
    ///
    /// # Errors
    ///
    /// Fails when the object store does not answer in time.
    fn put_object(&self, key: &str, value: &[u8]) -> Result<(), StoreError>;

    /// Fetches an object.
    ///
    /// # Errors
    ///
    /// Fails when the object store does not answer in time.
    fn fetch_object(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError>;
}

/// Carries out one command.
pub fn execute(store: &dyn Store, command: &StoreCommand) -> StoreReply {
    match command {
        StoreCommand::Read { key } => store.read(key).map(StoreReply::Read),
        StoreCommand::Write { key, expected, value } => {
            store.write(key, *expected, value).map(StoreReply::Write)
        }
        StoreCommand::PutObject { key, value } => {
            store.put_object(key, value).map(|()| StoreReply::PutObject)
        }
        StoreCommand::FetchObject { key } => store.fetch_object(key).map(StoreReply::FetchObject),
    }
    .unwrap_or_else(StoreReply::Failed)
}
