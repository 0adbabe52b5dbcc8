//! At-most-once execution of calls that may not be repeated.
//!
//! Each call has one row, named by customer and idempotency key. Every move is a conditional
//! write:
//!
//! | from | to | who may move it, and when |
//! |---|---|---|
//! | absent | claimed(t) | the claimant with token t, before it sends a byte |
//! | absent | void(t) | the claimant with token t, when it gives up after a write in doubt |
//! | void(u) | void(t) | the claimant with token t, when it gives up after a write in doubt |
//! | claimed(t) | void(t) | the holder of token t, when no upstream has run the call |
//! | claimed(t) | answered(t) | the holder of token t, after the whole answer |
//! | void(t) | claimed(u) | any claimant with a new token u |
//!
//! Nobody takes a claimed row from its holder, so a holder that was paused for however long is
//! still the only one that may send. A claim whose holder died stays claimed, and its fate is
//! reported as unknown.
//!
//! ```
//! use cranberryvalve_coordination::ledger::Claim;
//! use cranberryvalve_coordination::ledger::ClaimStep;
//! use cranberryvalve_coordination::store::StoreReply;
//! use cranberryvalve_coordination::store::WriteResult;
//! use cranberryvalve_core::Digest;
//!
//! let request = Digest::of(b"book berth 4");
//! let (mut claim, first) = Claim::new("ledger/tasman/key-1".into(), "token-1".into(), request);
//! let step = claim.on_reply(StoreReply::Write(WriteResult::Written(1)));
//! assert!(matches!(step, ClaimStep::Granted(_)));
//! ```

use std::sync::Arc;

use cranberryvalve_core::Digest;
use serde::Deserialize;
use serde::Serialize;

use crate::store::Expected;
use crate::store::Row;
use crate::store::RowKey;
use crate::store::RowVersion;
use crate::store::StoreCommand;
use crate::store::StoreError;
use crate::store::StoreReply;
use crate::store::WriteResult;

/// Unique token of one attempt at a claim.
pub type ClaimToken = Arc<str>;

/// Writes in doubt after which a claimant gives up.
const MAX_DOUBTS: u32 = 2;

/// State of a call's row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum LedgerRow {
    /// The holder of the token, and nobody else, may run the call.
    Claimed {
        /// Token of the holder.
        token: ClaimToken,
        /// Digest of the request.
        request: Digest,
    },
    /// The holder of the token did not run the call and never will.
    Void {
        /// Token of the former holder.
        token: ClaimToken,
    },
    /// The call was run.
    Answered {
        /// Token of the holder.
        token: ClaimToken,
        /// Digest of the request.
        request: Digest,
        /// The answer that the caller got.
        answer: RecordedAnswer,
    },
}

impl LedgerRow {
    /// The content of the row.
    ///
    /// # Panics
    ///
    /// Never: every field can be represented in JSON.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a ledger row holds only JSON-representable fields")
    }

    /// Parses the content of a row; none when it is not a ledger row.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }
}

/// An answer kept for callers that ask again.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub content_type: Arc<str>,
    /// Body.
    pub body: Arc<str>,
}

/// A claim on a call, from the first write to the decision.
///
/// Carry out the command that [`Claim::new`] returns, and every [`ClaimStep::Command`] after it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Claim {
    key: RowKey,
    token: ClaimToken,
    request: Digest,
    expected: Expected,
    doubts: u32,
    phase: Phase,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    Writing,
    Reading,
}

/// What a claim needs next, or what was decided.
#[derive(Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// Carry out this command and hand the reply back.
    Command(StoreCommand),
    /// The call may be run, once, by the holder of the permit.
    Granted(SendPermit),
    /// The call was run before; this is its answer.
    Replay(RecordedAnswer),
    /// Another claimant holds the call; whether it was run is not known.
    HeldByOther,
    /// The key belongs to a different request.
    KeyReused,
    /// The claim failed. This claimant has not run the call and never will; the [`Release`] makes
    /// the row free for another one and may be carried out later.
    GivenUp(Release),
}

impl Claim {
    /// Starts a claim on the row at `key`; `token` must never have been used before.
    pub fn new(key: RowKey, token: ClaimToken, request: Digest) -> (Self, StoreCommand) {
        let claim = Self {
            key,
            token,
            request,
            expected: Expected::Absent,
            doubts: 0,
            phase: Phase::Writing,
        };
        let command = claim.write_command();
        (claim, command)
    }

    /// Takes the reply to the last command.
    pub fn on_reply(&mut self, reply: StoreReply) -> ClaimStep {
        match (self.phase, reply) {
            (Phase::Writing, StoreReply::Write(WriteResult::Written(version))) => {
                ClaimStep::Granted(self.permit(version))
            }
            (Phase::Writing, StoreReply::Write(WriteResult::Conflict)) => self.read(),
            (Phase::Writing, StoreReply::Failed(StoreError::Rejected)) if self.doubts == 0 => {
                ClaimStep::GivenUp(Release::unneeded(self.key.clone(), self.token.clone()))
            }
            (Phase::Reading, StoreReply::Read(row)) => self.on_row(row),
            _ => self.on_doubt(),
        }
    }

    fn on_row(&mut self, row: Option<Row>) -> ClaimStep {
        let Some(row) = row else {
            self.expected = Expected::Absent;
            return self.write();
        };
        match LedgerRow::from_bytes(&row.value) {
            Some(LedgerRow::Claimed { token, request }) if token == self.token => {
                debug_assert_eq!(request, self.request);
                ClaimStep::Granted(self.permit(row.version))
            }
            Some(LedgerRow::Claimed { request, .. } | LedgerRow::Answered { request, .. })
                if request != self.request =>
            {
                ClaimStep::KeyReused
            }
            Some(LedgerRow::Answered { answer, .. }) => ClaimStep::Replay(answer),
            Some(LedgerRow::Void { .. }) => {
                self.expected = Expected::Version(row.version);
                self.write()
            }
            Some(LedgerRow::Claimed { .. }) | None => ClaimStep::HeldByOther,
        }
    }

    /// Asks what the row is after a write or read without an answer, or gives up.
    fn on_doubt(&mut self) -> ClaimStep {
        self.doubts += 1;
        if self.doubts > MAX_DOUBTS {
            return ClaimStep::GivenUp(Release::new(self.key.clone(), self.token.clone()));
        }
        self.read()
    }

    fn read(&mut self) -> ClaimStep {
        self.phase = Phase::Reading;
        ClaimStep::Command(StoreCommand::Read { key: self.key.clone() })
    }

    fn write(&mut self) -> ClaimStep {
        self.phase = Phase::Writing;
        ClaimStep::Command(self.write_command())
    }

    fn write_command(&self) -> StoreCommand {
        let row = LedgerRow::Claimed { token: self.token.clone(), request: self.request.clone() };
        let value = row.to_bytes();
        StoreCommand::Write { key: self.key.clone(), expected: self.expected, value }
    }

    fn permit(&self, version: RowVersion) -> SendPermit {
        SendPermit {
            key: self.key.clone(),
            token: self.token.clone(),
            request: self.request.clone(),
            version,
        }
    }
}

/// The right to run a call once.
///
/// It cannot be copied. Sending consumes it and leaves a [`SentCall`]; giving up consumes it and
/// leaves a [`Release`].
#[derive(Debug, PartialEq, Eq, Hash)]
pub struct SendPermit {
    key: RowKey,
    token: ClaimToken,
    request: Digest,
    version: RowVersion,
}

impl SendPermit {
    /// Gives the right up, when no upstream has run the call.
    pub fn release(self) -> Release {
        Release::new(self.key, self.token)
    }

    /// Uses the right: from here on the call counts as run.
    pub fn send(self) -> SentCall {
        SentCall { permit: self }
    }
}

/// A call of which a byte was sent.
#[derive(Debug, PartialEq, Eq, Hash)]
pub struct SentCall {
    permit: SendPermit,
}

impl SentCall {
    /// The upstream attested that it refused the call without running it, so the right is back.
    pub fn refused(self) -> SendPermit {
        self.permit
    }

    /// The write that records the whole answer.
    ///
    /// When it fails the caller still has its answer; asking again then yields unknown.
    pub fn record(&self, answer: RecordedAnswer) -> StoreCommand {
        let permit = &self.permit;
        let row = LedgerRow::Answered {
            token: permit.token.clone(),
            request: permit.request.clone(),
            answer,
        };
        StoreCommand::Write {
            key: permit.key.clone(),
            expected: Expected::Version(permit.version),
            value: row.to_bytes(),
        }
    }
}

/// Makes the row of a call that was not run free for another claimant.
///
/// Until it is done the row may look claimed, and callers that ask again are told unknown.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Release {
    key: RowKey,
    token: ClaimToken,
    done: bool,
}

impl Release {
    const fn new(key: RowKey, token: ClaimToken) -> Self {
        Self { key, token, done: false }
    }

    const fn unneeded(key: RowKey, token: ClaimToken) -> Self {
        Self { key, token, done: true }
    }

    /// Whether nothing is left to do.
    pub const fn is_done(&self) -> bool {
        self.done
    }

    /// The command to start with; start again with it after a failure.
    pub fn start(&self) -> StoreCommand {
        StoreCommand::Read { key: self.key.clone() }
    }

    /// Takes the reply to the last command; none when it is done or has failed for now.
    pub fn on_reply(&mut self, reply: &StoreReply) -> Option<StoreCommand> {
        match reply {
            StoreReply::Read(None) => Some(self.write_void(Expected::Absent)),
            StoreReply::Read(Some(row)) => self.on_row(row),
            StoreReply::Write(WriteResult::Written(_)) => {
                self.done = true;
                None
            }
            StoreReply::Write(WriteResult::Conflict) => Some(self.start()),
            _ => None,
        }
    }

    /// Frees an own claim, and outdates a void row that a delayed claim may still expect.
    fn on_row(&mut self, row: &Row) -> Option<StoreCommand> {
        let must_write = match LedgerRow::from_bytes(&row.value) {
            Some(LedgerRow::Claimed { token, .. }) => token == self.token,
            Some(LedgerRow::Void { token }) => token != self.token,
            Some(LedgerRow::Answered { .. }) | None => false,
        };
        if must_write {
            return Some(self.write_void(Expected::Version(row.version)));
        }
        self.done = true;
        None
    }

    fn write_void(&self, expected: Expected) -> StoreCommand {
        let row = LedgerRow::Void { token: self.token.clone() };
        StoreCommand::Write { key: self.key.clone(), expected, value: row.to_bytes() }
    }
}
