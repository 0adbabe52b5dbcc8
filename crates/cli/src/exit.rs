//! Exit statuses.

use std::fmt;
use std::process::ExitCode;

/// How the program ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Exit {
    /// Done.
    Done = 0,
    /// Something else failed.
    Failed = 1,
    /// The command line is not accepted.
    Usage = 2,
    /// The intent is invalid, or hazards are not acknowledged.
    Refused = 3,
    /// The plan is not applied and never will be: another one came first.
    Stale = 4,
    /// The plan may or may not be applied.
    Unknown = 5,
    /// Nothing was changed: no VM, or not the store, could be reached.
    Unreachable = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Why a command failed.
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
        Self::new(Exit::Failed, format!("JSON that is not understood: {error}"))
    }
}
