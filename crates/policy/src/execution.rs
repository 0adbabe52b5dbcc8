//! What the attempts of a call have shown about whether the call was run.
//!
//! ```
//! use cranberryvalve_policy::execution::Execution;
//!
//! let mut execution = Execution::default();
//! execution.record(Execution::Refused);
//! assert!(execution.prove_not_run().is_some());
//! execution.record(Execution::Unknown);
//! assert!(execution.prove_not_run().is_none());
//! ```

/// What one attempt of a call, or all of them together, have shown.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Execution {
    /// Nothing was sent.
    #[default]
    NotSent,
    /// Each upstream, or VM, that got the call confirmed that it was not run.
    Refused,
    /// It was sent, and nothing that came back tells whether it was run.
    Unknown,
    /// An upstream ran it.
    Ran,
}

/// Proof that a call has not been run. Responses that promise this are built from it.
#[derive(Debug, PartialEq, Eq)]
pub struct NotRun(());

impl Execution {
    /// Adds what an attempt has shown. No attempt takes back what another one has.
    pub fn record(&mut self, attempt: Self) {
        *self = attempt.max(*self);
    }

    /// Returns `true` if an upstream may have run the call.
    pub const fn may_have_run(self) -> bool {
        matches!(self, Self::Unknown | Self::Ran)
    }

    /// Returns the proof that the call has not been run, or `None` if it may have been. The call must
    /// not be sent afterwards.
    pub const fn prove_not_run(self) -> Option<NotRun> {
        if self.may_have_run() { None } else { Some(NotRun(())) }
    }

    /// Returns the name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }
}

impl NotRun {
    /// Returns the proof for a request that is rejected before it can be sent.
    pub const fn before_sending() -> Self {
        Self(())
    }
}
