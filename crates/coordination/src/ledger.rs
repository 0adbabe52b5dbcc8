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
//! A restoration of the store may lose the row of a call that was run. A claim is therefore granted
//! only in an era that is settled: one in which the calls of the rows that may be missing are not
//! repeated any more (see [`era`](crate::era)). Until then a call whose row is missing is reported as
//! unknown. Holders write their rows again by a [`RowUpdate`], and claimants that gave up release theirs
//! again (see [`releases`](crate::releases)).
//!
//! ```
//! use cranberryvalve_coordination::ledger::Claim;
//! use cranberryvalve_coordination::ledger::ClaimStep;
//! use cranberryvalve_coordination::store::StoreReply;
//! use cranberryvalve_coordination::store::WriteResult;
//! use cranberryvalve_core::Digest;
//!
//! let request = Digest::of(b"book berth 4");
//! let (key, token) = ("ledger/tasman/key-1".into(), "token-1".into());
//! let (mut claim, first) = Claim::new(key, token, request, Some(0));
//! let step = claim.on_reply(StoreReply::Write(WriteResult::Written(1)));
//! assert!(matches!(step, ClaimStep::Granted(_)));
//! ```

use std::sync::Arc;

use cranberryvalve_core::Digest;
use cranberryvalve_core::StoreEra;
use serde::Deserialize;
use serde::Serialize;

use crate::store::Condition;
use crate::store::RowKey;
use crate::store::Snapshot;
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
    /// Era in which the claim may be granted.
    settled_era: Option<StoreEra>,
    /// Condition of the latest write.
    condition: Condition,
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
    /// The store was restored, and the row of a call that was run may be missing.
    MaybeLost,
    /// The idempotency key was already used for a different request.
    KeyReused,
    /// The claim failed. This claimant has not run the call and never will. The [`Release`] makes
    /// the row available to other claimants and may be executed later.
    GivenUp(Release),
}

impl Claim {
    /// Creates a claim on the row at `key` and returns it with its first command.
    ///
    /// `token` must never have been used before. `settled_era` is the era in which the claim may be
    /// granted, from [`EraWatch::settled_era`](crate::era::EraWatch::settled_era).
    pub fn new(
        key: RowKey,
        token: ClaimToken,
        request: Digest,
        settled_era: Option<StoreEra>,
    ) -> (Self, StoreCommand) {
        let mut claim = Self {
            key,
            token,
            request,
            settled_era,
            condition: Condition::absent(settled_era.unwrap_or_default()),
            inconclusive_replies: 0,
            phase: Phase::Writing,
        };
        let command =
            if settled_era.is_some() { claim.write_command() } else { claim.read_command() };
        (claim, command)
    }

    /// Processes the reply to the last command.
    pub fn on_reply(&mut self, reply: StoreReply) -> ClaimStep {
        match (self.phase, reply) {
            (Phase::Writing, StoreReply::Write(WriteResult::Written(version))) => {
                ClaimStep::Granted(self.permit(Condition::version(self.condition.era, version)))
            }
            (Phase::Writing, StoreReply::Write(WriteResult::Conflict)) => self.read(),
            (Phase::Writing, StoreReply::Failed(StoreError::Rejected))
                if self.inconclusive_replies == 0 =>
            {
                ClaimStep::GivenUp(Release::already_done(self.key.clone(), self.token.clone()))
            }
            (Phase::Reading, StoreReply::Read(snapshot)) => self.on_row(&snapshot),
            _ => self.on_inconclusive_reply(),
        }
    }

    fn on_row(&mut self, snapshot: &Snapshot) -> ClaimStep {
        let Some(row) = &snapshot.row else { return self.write_if_settled(snapshot) };
        match LedgerRow::from_bytes(&row.value) {
            Some(LedgerRow::Claimed { token, request }) if token == self.token => {
                debug_assert_eq!(request, self.request);
                ClaimStep::Granted(self.permit(snapshot.unchanged()))
            }
            Some(LedgerRow::Claimed { request, .. } | LedgerRow::Answered { request, .. })
                if request != self.request =>
            {
                ClaimStep::KeyReused
            }
            Some(LedgerRow::Answered { response, .. }) => ClaimStep::Replay(response),
            Some(LedgerRow::Void { .. }) => self.write_if_settled(snapshot),
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
        ClaimStep::Command(self.read_command())
    }

    fn read_command(&mut self) -> StoreCommand {
        self.phase = Phase::Reading;
        StoreCommand::Read { key: self.key.clone() }
    }

    /// Claims a row that is free, unless a row that was lost may have said otherwise.
    fn write_if_settled(&mut self, snapshot: &Snapshot) -> ClaimStep {
        if self.settled_era != Some(snapshot.era) {
            return ClaimStep::MaybeLost;
        }
        self.phase = Phase::Writing;
        self.condition = snapshot.unchanged();
        ClaimStep::Command(self.write_command())
    }

    fn write_command(&self) -> StoreCommand {
        let row = LedgerRow::Claimed { token: self.token.clone(), request: self.request.clone() };
        let value = row.to_bytes();
        StoreCommand::Write { key: self.key.clone(), condition: self.condition, value }
    }

    fn permit(&self, claimed: Condition) -> SendPermit {
        SendPermit {
            key: self.key.clone(),
            token: self.token.clone(),
            request: self.request.clone(),
            claimed,
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
    /// State of the row that holds the claim.
    claimed: Condition,
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

    /// Returns the update that records the complete response, with its first command.
    ///
    /// If it fails, the caller still receives its response, but the outcome of a repeated request is
    /// reported as unknown.
    pub fn record(&self, response: RecordedResponse) -> (RowUpdate, StoreCommand) {
        let permit = &self.permit;
        let row = LedgerRow::Answered {
            token: permit.token.clone(),
            request: permit.request.clone(),
            response,
        };
        let value = row.to_bytes();
        let update = self.update(row);
        (update, StoreCommand::Write { key: permit.key.clone(), condition: permit.claimed, value })
    }

    /// Returns the update that writes the claim again, to be used after a restoration of the store
    /// while the call runs. Its first command is [`RowUpdate::start`].
    pub fn claim_again(&self) -> RowUpdate {
        let permit = &self.permit;
        let (token, request) = (permit.token.clone(), permit.request.clone());
        self.update(LedgerRow::Claimed { token, request })
    }

    fn update(&self, row: LedgerRow) -> RowUpdate {
        let permit = &self.permit;
        RowUpdate { key: permit.key.clone(), token: permit.token.clone(), row, done: None }
    }
}

/// State machine that writes the row of a call, also if the store was restored from a copy that lacks
/// it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RowUpdate {
    key: RowKey,
    token: ClaimToken,
    row: LedgerRow,
    done: Option<bool>,
}

impl RowUpdate {
    /// Returns whether the store contains the row, or `None` if that is not known yet.
    pub const fn is_written(&self) -> Option<bool> {
        self.done
    }

    /// Returns the first command, which is also the command to restart with after a failure.
    pub fn start(&self) -> StoreCommand {
        StoreCommand::Read { key: self.key.clone() }
    }

    /// Processes the reply to the last command and returns the next one.
    ///
    /// Returns `None` if the update ended or the operation failed; [`RowUpdate::is_written`]
    /// distinguishes the two.
    pub fn on_reply(&mut self, reply: &StoreReply) -> Option<StoreCommand> {
        match reply {
            StoreReply::Read(snapshot) => self.on_row(snapshot),
            StoreReply::Write(WriteResult::Written(_)) => {
                self.done = Some(true);
                None
            }
            StoreReply::Write(WriteResult::Conflict) => Some(self.start()),
            _ => None,
        }
    }

    /// Replaces a row that is missing, given up by another claimant, or our own claim.
    fn on_row(&mut self, snapshot: &Snapshot) -> Option<StoreCommand> {
        let current = snapshot.row.as_ref().map(|it| LedgerRow::from_bytes(&it.value));
        let must_write = match &current {
            None => true,
            Some(Some(LedgerRow::Void { token })) => *token != self.token,
            Some(Some(row @ LedgerRow::Claimed { token, .. })) => {
                *token == self.token && *row != self.row
            }
            Some(Some(LedgerRow::Answered { .. }) | None) => false,
        };
        if must_write {
            let (key, value) = (self.key.clone(), self.row.to_bytes());
            return Some(StoreCommand::Write { key, condition: snapshot.unchanged(), value });
        }
        self.done = Some(current == Some(Some(self.row.clone())));
        None
    }
}

/// State machine that makes the row of a call that was not run available to other claimants.
///
/// Until it is done, the row may still be claimed, and the outcome of a repeated request is
/// reported as unknown. A void row of another claimant is rewritten too, so that its version changes
/// and a delayed claim of ours that expects the old version fails.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Release(RowUpdate);

impl Release {
    fn new(key: RowKey, token: ClaimToken) -> Self {
        let row = LedgerRow::Void { token: token.clone() };
        Self(RowUpdate { key, token, row, done: None })
    }

    fn already_done(key: RowKey, token: ClaimToken) -> Self {
        let mut release = Self::new(key, token);
        release.0.done = Some(true);
        release
    }

    /// Returns the same release, to be carried out again after a restoration of the store.
    #[must_use]
    pub fn again(self) -> Self {
        Self(RowUpdate { done: None, ..self.0 })
    }

    /// Returns the key of the row.
    pub fn key(&self) -> &str {
        &self.0.key
    }

    /// Returns whether the row is released, so that no command is left to execute.
    pub const fn is_done(&self) -> bool {
        self.0.done.is_some()
    }

    /// Returns the first command, which is also the command to restart with after a failure.
    pub fn start(&self) -> StoreCommand {
        self.0.start()
    }

    /// Processes the reply to the last command and returns the next one.
    ///
    /// Returns `None` if the release is done or the operation failed; [`Release::is_done`]
    /// distinguishes the two.
    pub fn on_reply(&mut self, reply: &StoreReply) -> Option<StoreCommand> {
        self.0.on_reply(reply)
    }
}
