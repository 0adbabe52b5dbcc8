//! Confirmation of a plan by one conditional write.

use cranberryvalve_core::ConfigDocument;
use cranberryvalve_core::ConfigVersion;
use cranberryvalve_core::Digest;
use cranberryvalve_core::OperatorId;
use cranberryvalve_core::PlanId;
use serde::Deserialize;
use serde::Serialize;

use super::Plan;
use crate::store::Expected;
use crate::store::Row;
use crate::store::RowKey;
use crate::store::StoreCommand;
use crate::store::StoreError;
use crate::store::StoreReply;
use crate::store::WriteResult;

/// Key of the row that names the configuration in force.
pub const HEAD_KEY: &str = "config/head";

/// Failed operations after which a confirmation ends by default.
const DEFAULT_MAX_FAILURES: u32 = 4;

/// Key of the object that holds the document with `digest`.
pub fn body_key(digest: &Digest) -> RowKey {
    format!("config/{digest}").into()
}

/// The row that names the configuration in force.
///
/// The row is small and read often; the document is large, never changes under its digest, and is
/// read once for each version. The document is put before the row names it, so that a row never
/// names a missing document; a document without a row does no harm. The split into header and
/// body, and the order of the two writes, follow Krechowicz, Deniziak and Łukawski (2021).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Version in force.
    pub version: ConfigVersion,
    /// Digest of the document.
    pub digest: Digest,
    /// Plan that brought it about.
    pub plan: PlanId,
}

impl Head {
    /// The head that names `document`.
    pub fn of(document: &ConfigDocument) -> Self {
        Self {
            version: document.version,
            digest: Digest::of(&document.to_bytes()),
            plan: document.plan.clone(),
        }
    }

    /// Parses the content of the row; none when it is not a head.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }

    fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a head holds only JSON-representable fields")
    }
}

/// What became of a confirmation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum ConfirmOutcome {
    /// The plan is applied, now or by an earlier confirmation of it.
    Applied {
        /// Version that it made.
        version: ConfigVersion,
    },
    /// The plan is not applied and never will be: another one came first.
    Stale {
        /// Version that is in force instead.
        current_version: ConfigVersion,
        /// Plan that came first.
        overtaken_by: PlanId,
        /// Operator who confirmed that plan.
        operator: OperatorId,
    },
    /// This confirmation wrote nothing. An earlier one of the same plan that ended
    /// [`ConfirmOutcome::Unknown`] may still have.
    NotApplied {
        /// Why.
        error: StoreError,
    },
    /// The plan may or may not be applied; confirm it again to find out.
    Unknown,
}

/// What a confirmation needs next, or how it ended.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfirmStep {
    /// Carry out this command and hand the reply back.
    Command(StoreCommand),
    /// The confirmation ended.
    Done(ConfirmOutcome),
}

/// A confirmation under way.
///
/// It may be run any number of times for the same plan, on any VM: only the first one changes
/// anything, and each of them learns what became of the plan.
#[derive(Debug, Clone)]
pub struct Confirmation {
    document: ConfigDocument,
    body: Vec<u8>,
    head: Head,
    base: Digest,
    phase: Phase,
    expected: Expected,
    write_in_doubt: bool,
    own_document_in_force: bool,
    failures: u32,
    max_failures: u32,
    current: Option<Head>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    ReadingHead,
    PuttingBody,
    WritingHead,
    ReadingHistory,
}

impl Confirmation {
    /// Starts to confirm `plan` at `confirmed_unix_s`, in seconds since the Unix epoch.
    ///
    /// The time is kept in the document. Two confirmations of one plan may carry different times;
    /// the one that is written first counts.
    pub fn new(plan: &Plan, confirmed_unix_s: u64) -> (Self, StoreCommand) {
        let document = ConfigDocument {
            version: plan.base_version + 1,
            plan: plan.id.clone(),
            operator: plan.operator.clone(),
            confirmed_unix_s,
            previous: (plan.base_version > 0).then(|| plan.base.clone()),
            config: plan.config.clone(),
        };
        let confirmation = Self {
            body: document.to_bytes(),
            head: Head::of(&document),
            document,
            base: plan.base.clone(),
            phase: Phase::ReadingHead,
            expected: Expected::Absent,
            write_in_doubt: false,
            own_document_in_force: false,
            failures: 0,
            max_failures: DEFAULT_MAX_FAILURES,
            current: None,
        };
        (confirmation, read_head())
    }

    /// Sets the number of failed operations after which it ends.
    #[must_use]
    pub const fn max_failures(mut self, max_failures: u32) -> Self {
        self.max_failures = max_failures;
        self
    }

    /// The document that this confirmation writes.
    pub const fn document(&self) -> &ConfigDocument {
        &self.document
    }

    /// Whether [`Confirmation::document`] is what the store has as the head, so that it may be put
    /// in force at once.
    pub const fn wrote_document(&self) -> bool {
        self.own_document_in_force
    }

    /// Takes the reply to the last command.
    pub fn on_reply(&mut self, reply: StoreReply) -> ConfirmStep {
        match (self.phase, reply) {
            (Phase::ReadingHead, StoreReply::Read(row)) => self.on_head(row),
            (Phase::PuttingBody, StoreReply::PutObject) => self.write_head(),
            (Phase::WritingHead, StoreReply::Write(WriteResult::Written(_))) => {
                self.own_document_in_force = true;
                self.applied()
            }
            (Phase::WritingHead, StoreReply::Write(WriteResult::Conflict)) => self.read_head(),
            (Phase::WritingHead, StoreReply::Failed(StoreError::InDoubt)) => {
                self.write_in_doubt = true;
                self.on_failure(StoreError::InDoubt)
            }
            (Phase::ReadingHistory, StoreReply::FetchObject(Some(body))) => self.on_history(&body),
            (_, StoreReply::Failed(error)) => self.on_failure(error),
            _ => self.on_failure(StoreError::InDoubt),
        }
    }

    fn on_head(&mut self, row: Option<Row>) -> ConfirmStep {
        let Some(row) = row else {
            self.expected = Expected::Absent;
            return self.on_base(self.document.version == 1);
        };
        let Some(head) = Head::from_bytes(&row.value) else {
            return self.on_failure(StoreError::Rejected);
        };
        self.expected = Expected::Version(row.version);
        if head.plan == self.document.plan {
            self.own_document_in_force = head.digest == self.head.digest;
            return self.applied();
        }
        if head.version >= self.document.version {
            let digest = head.digest.clone();
            self.current = Some(head);
            return self.read_history(&digest);
        }
        let is_base = head.version + 1 == self.document.version && head.digest == self.base;
        self.on_base(is_base)
    }

    /// Writes the plan's document when the base is still in force.
    fn on_base(&mut self, is_base: bool) -> ConfirmStep {
        if !is_base {
            return self.on_failure(StoreError::Rejected);
        }
        self.phase = Phase::PuttingBody;
        let key = body_key(&self.head.digest);
        ConfirmStep::Command(StoreCommand::PutObject { key, value: self.body.clone() })
    }

    fn write_head(&mut self) -> ConfirmStep {
        self.phase = Phase::WritingHead;
        ConfirmStep::Command(StoreCommand::Write {
            key: HEAD_KEY.into(),
            expected: self.expected,
            value: self.head.to_bytes(),
        })
    }

    /// Walks back to the version that the plan would have made, to see whose it is.
    fn on_history(&mut self, body: &[u8]) -> ConfirmStep {
        let Ok(document) = ConfigDocument::from_bytes(body) else {
            return self.on_failure(StoreError::InDoubt);
        };
        if document.version > self.document.version {
            return match document.previous {
                Some(previous) => self.read_history(&previous),
                None => self.on_failure(StoreError::InDoubt),
            };
        }
        if document.plan == self.document.plan {
            return self.applied();
        }
        let current_version = self.current.as_ref().map_or(document.version, |it| it.version);
        ConfirmStep::Done(ConfirmOutcome::Stale {
            current_version,
            overtaken_by: document.plan,
            operator: document.operator,
        })
    }

    fn applied(&self) -> ConfirmStep {
        ConfirmStep::Done(ConfirmOutcome::Applied { version: self.document.version })
    }

    fn on_failure(&mut self, error: StoreError) -> ConfirmStep {
        self.failures += 1;
        if self.failures < self.max_failures {
            return self.read_head();
        }
        ConfirmStep::Done(if self.write_in_doubt {
            ConfirmOutcome::Unknown
        } else {
            ConfirmOutcome::NotApplied { error }
        })
    }

    fn read_head(&mut self) -> ConfirmStep {
        self.phase = Phase::ReadingHead;
        ConfirmStep::Command(read_head())
    }

    fn read_history(&mut self, digest: &Digest) -> ConfirmStep {
        self.phase = Phase::ReadingHistory;
        ConfirmStep::Command(StoreCommand::FetchObject { key: body_key(digest) })
    }
}

fn read_head() -> StoreCommand {
    StoreCommand::Read { key: HEAD_KEY.into() }
}
