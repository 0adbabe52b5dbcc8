//! A store in memory, for tests.

use std::collections::BTreeMap;

use super::Expected;
use super::Row;
use super::RowVersion;
use super::StoreCommand;
use super::StoreError;
use super::StoreReply;
use super::WriteResult;

/// What becomes of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It is carried out, and the reply arrives.
    Answered,
    /// It is carried out, and the reply is lost.
    ReplyLost,
    /// It is lost.
    Lost,
    /// The caller loses the connection; the command is carried out at some later time.
    Late,
    /// It is refused.
    Refused,
}

impl Fate {
    /// All fates but [`Fate::Answered`].
    pub const FAULTS: [Self; 4] = [Self::ReplyLost, Self::Lost, Self::Late, Self::Refused];
}

/// Rows and objects in memory, with a fate for each command.
///
/// It stands in for the platform's services where every interleaving is to be tried.
///
/// ```
/// use cranberryvalve_coordination::store::Fate;
/// use cranberryvalve_coordination::store::MemoryStore;
/// use cranberryvalve_coordination::store::StoreCommand;
/// use cranberryvalve_coordination::store::StoreReply;
///
/// let mut store = MemoryStore::default();
/// let read = StoreCommand::Read { key: "a".into() };
/// assert_eq!(store.execute(&read, Fate::Answered), StoreReply::Read(None));
/// ```
#[derive(Debug, Default, Clone)]
pub struct MemoryStore {
    rows: BTreeMap<String, (RowVersion, Vec<u8>)>,
    objects: BTreeMap<String, Vec<u8>>,
    late: Vec<StoreCommand>,
}

impl MemoryStore {
    /// Lets `command` meet `fate` and returns what its sender sees.
    pub fn execute(&mut self, command: &StoreCommand, fate: Fate) -> StoreReply {
        match fate {
            Fate::Answered => self.carry_out(command),
            Fate::ReplyLost => {
                self.carry_out(command);
                StoreReply::Failed(StoreError::InDoubt)
            }
            Fate::Lost => StoreReply::Failed(StoreError::InDoubt),
            Fate::Late => {
                self.late.push(command.clone());
                StoreReply::Failed(StoreError::InDoubt)
            }
            Fate::Refused => StoreReply::Failed(StoreError::Rejected),
        }
    }

    /// Whether a late command has still to be carried out.
    pub const fn has_late(&self) -> bool {
        !self.late.is_empty()
    }

    /// Carries out the first late command.
    pub fn deliver_late(&mut self) {
        if !self.late.is_empty() {
            let command = self.late.remove(0);
            self.carry_out(&command);
        }
    }

    /// Content of a row.
    pub fn row(&self, key: &str) -> Option<&[u8]> {
        self.rows.get(key).map(|it| it.1.as_slice())
    }

    /// Content of an object.
    pub fn object(&self, key: &str) -> Option<&[u8]> {
        self.objects.get(key).map(Vec::as_slice)
    }

    fn carry_out(&mut self, command: &StoreCommand) -> StoreReply {
        match command {
            StoreCommand::Read { key } => {
                let row = self.rows.get(&**key);
                StoreReply::Read(row.map(|it| Row { version: it.0, value: it.1.clone() }))
            }
            StoreCommand::Write { key, expected, value } => {
                StoreReply::Write(self.write(key, *expected, value))
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

    fn write(&mut self, key: &str, expected: Expected, value: &[u8]) -> WriteResult {
        let present = self.rows.get(key).map(|it| it.0);
        let holds = match expected {
            Expected::Absent => present.is_none(),
            Expected::Version(version) => present == Some(version),
        };
        if !holds {
            return WriteResult::Conflict;
        }
        let version = present.unwrap_or(0) + 1;
        self.rows.insert(key.to_owned(), (version, value.to_vec()));
        WriteResult::Written(version)
    }
}
