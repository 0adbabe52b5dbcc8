//! Confirms a plan by one conditional write.

use cranberryvalve_core::ConfigDocument;
use cranberryvalve_core::ConfigVersion;
use cranberryvalve_core::Digest;
use cranberryvalve_core::OperatorId;
use cranberryvalve_core::PlanId;
use cranberryvalve_core::StoreEra;
use serde::Deserialize;
use serde::Serialize;

use super::Plan;
use crate::era::UNRESTORED;
use crate::store::Condition;
use crate::store::RowKey;
use crate::store::Snapshot;
use crate::store::StoreCommand;
use crate::store::StoreError;
use crate::store::StoreReply;
use crate::store::WriteResult;

/// Key of the row that identifies the active configuration.
pub const HEAD_KEY: &str = "config/head";

/// Default number of failed operations after which a confirmation ends.
const DEFAULT_MAX_FAILURES: u32 = 4;

/// Returns the key of the object that holds the document with `digest`.
pub fn body_key(digest: &Digest) -> RowKey {
    format!("config/{digest}").into()
}

/// Content of the row that identifies the active configuration.
///
/// The row is small and read often. The document is large, immutable since its key is its digest,
/// and read once for each version. The document is stored before the row refers to it, so that the
/// row never refers to a missing document; a document that no row refers to is harmless. The split
/// into header and body, and the order of the two writes, follow Krechowicz, Deniziak and Łukawski
/// (2021).
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Head {
    /// Version of the active configuration.
    pub version: ConfigVersion,
    /// Digest of the active document.
    pub digest: Digest,
    /// Plan that created this version.
    pub plan: PlanId,
}

impl Head {
    /// Returns the head that refers to `document`.
    pub fn of(document: &ConfigDocument) -> Self {
        Self {
            version: document.version,
            digest: Digest::of(&document.to_bytes()),
            plan: document.plan.clone(),
        }
    }

    /// Parses the content of the row. Returns `None` if it is not a valid head.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }

    /// Serializes the content of the row.
    ///
    /// # Panics
    ///
    /// Never panics in practice, since every field can be represented in JSON.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("every field of a head can be represented in JSON")
    }
}

/// Outcome of a confirmation.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum ConfirmOutcome {
    /// The plan is applied, either by this confirmation or by an earlier one.
    Applied {
        /// Version that the plan created.
        version: ConfigVersion,
    },
    /// The plan is not applied and never will be, since another plan was applied first.
    Stale {
        /// Version that is active instead.
        current_version: ConfigVersion,
        /// Plan that was applied first.
        overtaken_by: PlanId,
        /// Operator who confirmed that plan.
        operator: OperatorId,
    },
    /// This confirmation did not apply the plan, since the store does not have the configuration
    /// that the plan is based on: it was restored from an older copy. VMs that use that
    /// configuration write it again, so confirming the plan later may apply it.
    BaseMissing {
        /// Version that the store has instead; 0 if it has none.
        current_version: ConfigVersion,
    },
    /// This confirmation did not apply the plan. An earlier confirmation of the same plan that
    /// ended with [`ConfirmOutcome::Unknown`] may still have applied it.
    NotApplied {
        /// Reason of the failure.
        error: StoreError,
    },
    /// The plan may or may not be applied; confirming it again resolves this.
    Unknown,
    /// This confirmation did not apply the plan, since the store was restored recently: VMs that use
    /// a later configuration write it again. Confirming the plan later resolves this.
    Unsettled,
}

/// Next command of a confirmation, or its outcome.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfirmStep {
    /// Execute this command and pass the reply to [`Confirmation::on_reply`].
    Command(StoreCommand),
    /// The confirmation ended.
    Done(ConfirmOutcome),
}

/// State machine that confirms a plan.
///
/// A plan may be confirmed any number of times, on any VM: only the first confirmation changes
/// anything, and each of them returns the outcome of the plan.
#[derive(Debug, Clone)]
pub struct Confirmation {
    document: ConfigDocument,
    body: Vec<u8>,
    head: Head,
    base: Digest,
    phase: Phase,
    condition: Condition,
    /// Era in which the plan may be applied.
    settled_era: Option<StoreEra>,
    write_in_doubt: bool,
    own_document_active: bool,
    failures: u32,
    max_failures: u32,
    current_head: Option<Head>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    ReadingHead,
    PuttingBody,
    WritingHead,
    ReadingHistory,
}

impl Confirmation {
    /// Creates a confirmation of `plan` and returns it with its first command.
    ///
    /// `confirmed_unix_s` is the time of confirmation in seconds since the Unix epoch. It is stored
    /// in the document. If confirmations of one plan have different times, the first one that is
    /// written counts.
    ///
    /// `settled_era` is the era in which the plan may be applied, from
    /// [`EraWatch::settled_era`](crate::era::EraWatch::settled_era) with
    /// [`RESTORE_TIME`](crate::replica::RESTORE_TIME).
    pub fn new(
        plan: &Plan,
        confirmed_unix_s: u64,
        settled_era: Option<StoreEra>,
    ) -> (Self, StoreCommand) {
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
            condition: Condition::absent(UNRESTORED),
            settled_era,
            write_in_doubt: false,
            own_document_active: false,
            failures: 0,
            max_failures: DEFAULT_MAX_FAILURES,
            current_head: None,
        };
        (confirmation, read_head())
    }

    /// Sets the number of failed operations after which the confirmation ends.
    #[must_use]
    pub const fn max_failures(mut self, max_failures: u32) -> Self {
        self.max_failures = max_failures;
        self
    }

    /// Returns the document that this confirmation writes.
    pub const fn document(&self) -> &ConfigDocument {
        &self.document
    }

    /// Returns whether the store's head refers to [`Confirmation::document`], so that the document
    /// may be activated at once.
    pub const fn is_document_active(&self) -> bool {
        self.own_document_active
    }

    /// Processes the reply to the last command.
    pub fn on_reply(&mut self, reply: StoreReply) -> ConfirmStep {
        match (self.phase, reply) {
            (Phase::ReadingHead, StoreReply::Read(snapshot)) => self.on_head(&snapshot),
            (Phase::PuttingBody, StoreReply::PutObject) => self.write_head(),
            (Phase::WritingHead, StoreReply::Write(WriteResult::Written(_))) => {
                self.own_document_active = true;
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

    fn on_head(&mut self, snapshot: &Snapshot) -> ConfirmStep {
        self.condition = snapshot.unchanged();
        let Some(row) = &snapshot.row else {
            return self.put_body_if_base(self.document.version == 1, 0);
        };
        let Some(head) = Head::from_bytes(&row.value) else {
            return self.on_failure(StoreError::Rejected);
        };
        if head.plan == self.document.plan {
            self.own_document_active = head.digest == self.head.digest;
            return self.applied();
        }
        if head.version >= self.document.version {
            let digest = head.digest.clone();
            self.current_head = Some(head);
            return self.read_history(&digest);
        }
        let is_base = head.version + 1 == self.document.version && head.digest == self.base;
        self.put_body_if_base(is_base, head.version)
    }

    /// Stores the plan's document if the active configuration is still the plan's base.
    fn put_body_if_base(&mut self, is_base: bool, current_version: ConfigVersion) -> ConfirmStep {
        if !is_base {
            return self.retry_or(ConfirmOutcome::BaseMissing { current_version });
        }
        // A VM that uses a later version may be about to write it again.
        let era = self.condition.era;
        if era != UNRESTORED && self.settled_era != Some(era) {
            return ConfirmStep::Done(self.in_doubt_or(ConfirmOutcome::Unsettled));
        }
        self.phase = Phase::PuttingBody;
        let key = body_key(&self.head.digest);
        ConfirmStep::Command(StoreCommand::PutObject { key, value: self.body.clone() })
    }

    fn write_head(&mut self) -> ConfirmStep {
        self.phase = Phase::WritingHead;
        ConfirmStep::Command(StoreCommand::Write {
            key: HEAD_KEY.into(),
            condition: self.condition,
            value: self.head.to_bytes(),
        })
    }

    /// Walks back to the version that the plan would have created, to see which plan created it.
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
        let current_version = self.current_head.as_ref().map_or(document.version, |it| it.version);
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
        self.retry_or(ConfirmOutcome::NotApplied { error })
    }

    /// Starts again, or ends with `outcome` after too many failures if no write is in doubt.
    fn retry_or(&mut self, outcome: ConfirmOutcome) -> ConfirmStep {
        self.failures += 1;
        if self.failures < self.max_failures {
            return self.read_head();
        }
        ConfirmStep::Done(self.in_doubt_or(outcome))
    }

    fn in_doubt_or(&self, outcome: ConfirmOutcome) -> ConfirmOutcome {
        if self.write_in_doubt { ConfirmOutcome::Unknown } else { outcome }
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
