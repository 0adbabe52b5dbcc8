//! At-most-once execution of calls that must not be repeated.
//!
//! Each call has one row, keyed by customer and idempotency key. Every state transition is a
//! conditional write:
//!
//! | from | to | allowed for |
//! |---|---|---|
//! | absent | claimed(t) | the claimant with token t, before it sends the first byte |
//! | absent | void(t) | the claimant with token t, when it gives up after a write in doubt |
//! | void(u) | void(t) | the claimant with token t, when it gives up after a write in doubt |
//! | claimed(t) | void(t) | the holder of token t, if no upstream has run the call |
//! | claimed(t) | answered(t) | the holder of token t, after the complete response |
//! | void(t) | claimed(u) | any claimant with a new token u |
//!
//! A claimed row is never taken over, so its holder remains the only one that may send the call,
//! even after an arbitrarily long pause. If the holder crashes, the row stays claimed and the
//! outcome of the call is reported as unknown.
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

/// Token that is unique to one attempt to claim a call.
pub type ClaimToken = Arc<str>;

/// Maximum number of inconclusive store replies that a claimant tolerates before it gives up.
const MAX_INCONCLUSIVE_REPLIES: u32 = 2;

/// State of a call, as stored in its row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum LedgerRow {
    /// Only the holder of the token may run the call.
    Claimed {
        /// Token of the claimant that holds the call.
        token: ClaimToken,
        /// Digest of the request, used to detect reuse of the key for a different request.
        request: Digest,
    },
    /// The holder of the token has not run the call and never will.
    Void {
        /// Token of the claimant that gave up the call.
        token: ClaimToken,
    },
    /// The call was run, and its response is recorded.
    Answered {
        /// Token of the claimant that holds the call.
        token: ClaimToken,
        /// Digest of the request, used to detect reuse of the key for a different request.
        request: Digest,
        /// Response that was returned to the caller.
        #[serde(rename = "answer")]
        response: RecordedResponse,
    },
}

impl LedgerRow {
    /// Serializes the row as JSON.
    ///
    /// # Panics
    ///
    /// Never panics in practice, since every field can be represented in JSON.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("every field of a ledger row can be represented in JSON")
    }

    /// Parses the content of a row. Returns `None` if it is not a valid ledger row.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }
}

/// Response that is kept so that it can be replayed when the caller repeats the request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `content-type` header.
    pub content_type: Arc<str>,
    /// Complete response body.
    pub body: Arc<str>,
}

/// State machine that claims a call, from the first write to the final decision.
///
/// The adapter executes the command returned by [`Claim::new`] and each [`ClaimStep::Command`]
/// that follows, and passes every reply to [`Claim::on_reply`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Claim {
    key: RowKey,
    token: ClaimToken,
    request: Digest,
    expected: Expected,
    inconclusive_replies: u32,
    phase: Phase,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    Writing,
    Reading,
}

/// Next command of a claim, or its result.
#[derive(Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// Execute this command and pass the reply to [`Claim::on_reply`].
    Command(StoreCommand),
    /// The holder of the permit may run the call once.
    Granted(SendPermit),
    /// The call has already been run; this is its recorded response.
    Replay(RecordedResponse),
    /// Another claimant holds the call; it is unknown whether the call was run.
    HeldByOther,
    /// The idempotency key was already used for a different request.
    KeyReused,
    /// The claim failed. This claimant has not run the call and never will. The [`Release`] makes
    /// the row available to other claimants and may be executed later.
    GivenUp(Release),
}

impl Claim {
    /// Creates a claim on the row at `key` and returns it with its first command.
    ///
    /// `token` must never have been used before.
    pub fn new(key: RowKey, token: ClaimToken, request: Digest) -> (Self, StoreCommand) {
        let claim = Self {
            key,
            token,
            request,
            expected: Expected::Absent,
            inconclusive_replies: 0,
            phase: Phase::Writing,
        };
        let command = claim.write_command();
        (claim, command)
    }

    /// Processes the reply to the last command.
    pub fn on_reply(&mut self, reply: StoreReply) -> ClaimStep {
        match (self.phase, reply) {
            (Phase::Writing, StoreReply::Write(WriteResult::Written(version))) => {
                ClaimStep::Granted(self.permit(version))
            }
            (Phase::Writing, StoreReply::Write(WriteResult::Conflict)) => self.read(),
            (Phase::Writing, StoreReply::Failed(StoreError::Rejected))
                if self.inconclusive_replies == 0 =>
            {
                ClaimStep::GivenUp(Release::already_done(self.key.clone(), self.token.clone()))
            }
            (Phase::Reading, StoreReply::Read(row)) => self.on_row(row),
            _ => self.on_inconclusive_reply(),
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
            Some(LedgerRow::Answered { response, .. }) => ClaimStep::Replay(response),
            Some(LedgerRow::Void { .. }) => {
                self.expected = Expected::Version(row.version);
                self.write()
            }
            Some(LedgerRow::Claimed { .. }) | None => ClaimStep::HeldByOther,
        }
    }

    /// Reads the row to find out its state after a failed or in-doubt operation, or gives up after
    /// [`MAX_INCONCLUSIVE_REPLIES`].
    fn on_inconclusive_reply(&mut self) -> ClaimStep {
        self.inconclusive_replies += 1;
        if self.inconclusive_replies > MAX_INCONCLUSIVE_REPLIES {
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

/// Permission to run a call once.
///
/// A permit cannot be copied. [`SendPermit::send`] consumes it and returns a [`SentCall`];
/// [`SendPermit::release`] consumes it and returns a [`Release`].
#[derive(Debug, PartialEq, Eq, Hash)]
pub struct SendPermit {
    key: RowKey,
    token: ClaimToken,
    request: Digest,
    version: RowVersion,
}

impl SendPermit {
    /// Gives up the permit. Only allowed if no upstream has run the call.
    pub fn release(self) -> Release {
        Release::new(self.key, self.token)
    }

    /// Consumes the permit. From here on the call counts as run.
    pub fn send(self) -> SentCall {
        SentCall { permit: self }
    }
}

/// Call of which at least one byte may have been sent to an upstream.
#[derive(Debug, PartialEq, Eq, Hash)]
pub struct SentCall {
    permit: SendPermit,
}

impl SentCall {
    /// Returns the permit after the upstream confirmed that it refused the call without running it.
    pub fn refused(self) -> SendPermit {
        self.permit
    }

    /// Returns the write that records the complete response.
    ///
    /// If the write fails, the caller still receives its response, but the outcome of a repeated
    /// request is reported as unknown.
    pub fn record(&self, response: RecordedResponse) -> StoreCommand {
        let permit = &self.permit;
        let row = LedgerRow::Answered {
            token: permit.token.clone(),
            request: permit.request.clone(),
            response,
        };
        StoreCommand::Write {
            key: permit.key.clone(),
            expected: Expected::Version(permit.version),
            value: row.to_bytes(),
        }
    }
}

/// State machine that makes the row of a call that was not run available to other claimants.
///
/// Until it is done, the row may still be claimed, and the outcome of a repeated request is
/// reported as unknown.
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

    const fn already_done(key: RowKey, token: ClaimToken) -> Self {
        Self { key, token, done: true }
    }

    /// Returns whether the row is released, so that no command is left to execute.
    pub const fn is_done(&self) -> bool {
        self.done
    }

    /// Returns the first command, which is also the command to restart with after a failure.
    pub fn start(&self) -> StoreCommand {
        StoreCommand::Read { key: self.key.clone() }
    }

    /// Processes the reply to the last command and returns the next one.
    ///
    /// Returns `None` if the release is done or the operation failed; [`Release::is_done`]
    /// distinguishes the two.
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

    /// Voids the claim if it is our own. A void row of another claimant is rewritten too, so that
    /// its version changes and a delayed claim of ours that expects the old version fails.
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
