//! Exit statuses and errors of commands.

use std::fmt;
use std::process::ExitCode;

/// Exit status of the program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Exit {
    /// The command succeeded.
    Success = 0,
    /// The command failed for any other reason.
    Failed = 1,
    /// The command line is invalid, an input file is unusable, or the token is rejected.
    Usage = 2,
    /// The configuration or plan is invalid, or hazards are not acknowledged.
    Refused = 3,
    /// The plan is not applied and never will be, since another plan was applied first.
    Stale = 4,
    /// It is unknown whether the plan is applied.
    Unknown = 5,
    /// Nothing was changed, since all VMs or the store were unreachable.
    Unreachable = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Error of a command: its exit status and the message to print.
#[derive(Debug)]
pub(crate) struct Failure {
    pub(crate) exit: Exit,
    message: String,
}

impl Failure {
    pub(crate) fn new(exit: Exit, message: impl Into<String>) -> Self {
        Self { exit, message: message.into() }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl From<std::io::Error> for Failure {
    fn from(error: std::io::Error) -> Self {
        Self::new(Exit::Failed, error.to_string())
    }
}

impl From<serde_json::Error> for Failure {
    fn from(error: serde_json::Error) -> Self {
        Self::new(Exit::Failed, format!("unexpected JSON: {error}"))
    }
}
