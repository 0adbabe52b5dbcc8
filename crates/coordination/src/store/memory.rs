//! In-memory store for tests.

use std::collections::BTreeMap;

use cranberryvalve_core::StoreEra;

use super::Condition;
use super::Expected;
use super::Row;
use super::RowVersion;
use super::Snapshot;
use super::StoreCommand;
use super::StoreError;
use super::StoreReply;
use super::WriteResult;

/// How a command and its reply are delivered, chosen by the test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// The command is executed, and its reply is delivered.
    Answered,
    /// The command is executed, but its reply is lost.
    ReplyLost,
    /// The command is lost.
    CommandLost,
    /// The connection is lost, and the command is executed later.
    Delayed,
    /// The store refuses the command.
    Refused,
}

impl Delivery {
    /// Deliveries with a fault: all variants except [`Delivery::Answered`].
    pub const FAULTS: [Self; 4] =
        [Self::ReplyLost, Self::CommandLost, Self::Delayed, Self::Refused];
}

/// In-memory rows and objects, with fault injection for each command.
///
/// It replaces the platform's services in tests that explore all interleavings.
///
/// ```
/// use cranberryvalve_coordination::store::Delivery;
/// use cranberryvalve_coordination::store::MemoryStore;
/// use cranberryvalve_coordination::store::Snapshot;
/// use cranberryvalve_coordination::store::StoreCommand;
/// use cranberryvalve_coordination::store::StoreReply;
///
/// let mut store = MemoryStore::default();
/// let read = StoreCommand::Read { key: "a".into() };
/// let nothing = Snapshot { era: 0, row: None };
/// assert_eq!(store.execute(&read, Delivery::Answered), StoreReply::Read(nothing));
/// ```
#[derive(Debug, Default, Clone)]
pub struct MemoryStore {
    era: StoreEra,
    rows: BTreeMap<String, StoredRow>,
    objects: BTreeMap<String, Vec<u8>>,
    delayed: Vec<StoreCommand>,
    /// What each write replaced, oldest first.
    replaced: Vec<ReplacedRow>,
}

/// Version and content of a row.
type StoredRow = (RowVersion, Vec<u8>);

/// State of a row before a write.
#[derive(Debug, Clone)]
struct ReplacedRow {
    key: String,
    row: Option<StoredRow>,
}

impl MemoryStore {
    /// Executes `command` with the given delivery, and returns the reply that its sender receives.
    pub fn execute(&mut self, command: &StoreCommand, delivery: Delivery) -> StoreReply {
        match delivery {
            Delivery::Answered => self.execute_now(command),
            Delivery::ReplyLost => {
                self.execute_now(command);
                StoreReply::Failed(StoreError::InDoubt)
            }
            Delivery::CommandLost => StoreReply::Failed(StoreError::InDoubt),
            Delivery::Delayed => {
                self.delayed.push(command.clone());
                StoreReply::Failed(StoreError::InDoubt)
            }
            Delivery::Refused => StoreReply::Failed(StoreError::Rejected),
        }
    }

    /// Returns whether any delayed command has not been executed yet.
    pub const fn has_delayed(&self) -> bool {
        !self.delayed.is_empty()
    }

    /// Executes the oldest delayed command, if there is one.
    pub fn execute_delayed(&mut self) {
        if !self.delayed.is_empty() {
            let command = self.delayed.remove(0);
            self.execute_now(&command);
        }
    }

    /// Returns the number of writes to rows that the store contains.
    pub const fn version(&self) -> usize {
        self.replaced.len()
    }

    /// Restores the rows from a copy that contains the first `version` writes only, which starts a
    /// new era. Objects are kept.
    pub fn restore(&mut self, version: usize) {
        self.era += 1;
        while self.replaced.len() > version {
            let Some(ReplacedRow { key, row }) = self.replaced.pop() else { return };
            match row {
                Some(row) => self.rows.insert(key, row),
                None => self.rows.remove(&key),
            };
        }
    }

    /// Loses an object, as a restoration of the object store does.
    pub fn lose_object(&mut self, key: &str) {
        self.objects.remove(key);
    }

    /// Returns the content of a row, or `None` if it does not exist.
    pub fn row(&self, key: &str) -> Option<&[u8]> {
        self.rows.get(key).map(|it| it.1.as_slice())
    }

    /// Returns the content of an object, or `None` if it does not exist.
    pub fn object(&self, key: &str) -> Option<&[u8]> {
        self.objects.get(key).map(Vec::as_slice)
    }

    fn execute_now(&mut self, command: &StoreCommand) -> StoreReply {
        match command {
            StoreCommand::Read { key } => {
                let row = self.rows.get(&**key);
                let row = row.map(|it| Row { version: it.0, value: it.1.clone() });
                StoreReply::Read(Snapshot { era: self.era, row })
            }
            StoreCommand::Write { key, condition, value } => {
                StoreReply::Write(self.write(key, *condition, value))
            }
            StoreCommand::PutObject { key, value } => {
                self.objects.insert(key.to_string(), value.clone());
                StoreReply::PutObject
            }
            StoreCommand::FetchObject { key } => {
                StoreReply::FetchObject(self.objects.get(&**key).cloned())
            }
        }
    }

    fn write(&mut self, key: &str, condition: Condition, value: &[u8]) -> WriteResult {
        let current = self.rows.get(key).map(|it| it.0);
        let is_met = match condition.expected {
            Expected::Absent => current.is_none(),
            Expected::Version(version) => current == Some(version),
        };
        if condition.era != self.era || !is_met {
            return WriteResult::Conflict;
        }
        let version = current.unwrap_or(0) + 1;
        let row = self.rows.insert(key.to_owned(), (version, value.to_vec()));
        self.replaced.push(ReplacedRow { key: key.to_owned(), row });
        WriteResult::Written(version)
    }
}
