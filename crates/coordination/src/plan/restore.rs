//! Writes a configuration again that the store has lost.

use cranberryvalve_core::ConfigDocument;

use super::HEAD_KEY;
use super::Head;
use super::body_key;
use crate::store::Condition;
use crate::store::StoreCommand;
use crate::store::StoreReply;

/// State machine that stores a document, then the head row that refers to it if a condition holds.
///
/// Several VMs may restore configurations at once: the condition lets one of them write the row, and
/// the others find out with their next read. A restoration that failed is not resumed but begun again
/// with the next read, since its condition may not hold any more.
///
/// ```
/// use cranberryvalve_coordination::plan::Restoration;
/// use cranberryvalve_coordination::store::Condition;
/// use cranberryvalve_coordination::store::StoreCommand;
/// use cranberryvalve_coordination::store::StoreReply;
/// use cranberryvalve_core::ConfigDocument;
///
/// let (restoration, first) = Restoration::new(&ConfigDocument::initial(), Condition::absent(1));
/// assert!(matches!(first, StoreCommand::PutObject { .. }));
/// let second = restoration.on_reply(&StoreReply::PutObject);
/// assert!(matches!(second, Some(StoreCommand::Write { .. })));
/// ```
#[derive(Debug, Clone)]
pub struct Restoration {
    head: Head,
    condition: Condition,
}

impl Restoration {
    /// Creates a restoration of `document` and returns it with its first command.
    pub fn new(document: &ConfigDocument, condition: Condition) -> (Self, StoreCommand) {
        let head = Head::of(document);
        let key = body_key(&head.digest);
        (Self { head, condition }, StoreCommand::PutObject { key, value: document.to_bytes() })
    }

    /// Processes the reply to the last command and returns the next one, or `None` at the end.
    pub fn on_reply(&self, reply: &StoreReply) -> Option<StoreCommand> {
        matches!(reply, StoreReply::PutObject).then(|| StoreCommand::Write {
            key: HEAD_KEY.into(),
            condition: self.condition,
            value: self.head.to_bytes(),
        })
    }
}
