//! Exit codes of the command line.

use std::process::ExitCode;

/// Result of a command, with its value as the exit code of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// The command succeeded.
    Success = 0,
    /// The command failed and changed nothing.
    Failure = 1,
    /// The settings, the intent or the arguments are invalid.
    Usage = 2,
    /// The plan is stale: another one was accepted after it was made.
    Stale = 3,
    /// The platform did not respond; the change may have taken effect.
    Unknown = 4,
    /// Some processes do not have the accepted configuration yet.
    Behind = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
