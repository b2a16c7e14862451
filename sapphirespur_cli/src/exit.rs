//! Exit codes of the command line.

use std::process::ExitCode;

/// Way in which a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// Done.
    Success = 0,
    /// Failed, with nothing changed.
    Failure = 1,
    /// Settings, an intent or arguments are refused.
    Usage = 2,
    /// The plan is stale, for another one was accepted.
    Stale = 3,
    /// The platform gave no answer; the change may be in force.
    Unknown = 4,
    /// Some processes do not have the accepted configuration yet.
    Behind = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
