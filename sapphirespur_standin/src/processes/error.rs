//! Error type of the process launcher.

use std::fmt;
use std::io;

/// Failure of starting or driving a process.
#[derive(Debug)]
pub enum ProcessError {
    /// A file or process operation failed.
    Io(io::Error),
    /// A process with this name does not exist or did not report its address in time.
    NotListening(String),
    /// The port of the named process is in use by another one.
    PortInUse(String),
    /// A command of the operators' command line failed.
    Command {
        /// Arguments, separated by spaces.
        args: String,
        /// Exit code; absent when a signal ended the command.
        code: Option<i32>,
        /// Standard output followed by standard error.
        output: String,
    },
    /// A request to a stand-in, or the output of a command, is invalid; holds the cause.
    StandIn(String),
}

impl fmt::Display for ProcessError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(e) => write!(f, "a file or process operation failed: {e}"),
            Self::NotListening(name) => write!(f, "process {name} did not report its address"),
            Self::PortInUse(name) => write!(f, "the port of {name} is in use by another process"),
            Self::Command { args, code, output } => {
                write!(f, "'sapphirespur {args}' exited with {code:?}: {output}")
            }
            Self::StandIn(cause) => write!(f, "invalid response of a stand-in: {cause}"),
        }
    }
}

impl std::error::Error for ProcessError {}

impl From<io::Error> for ProcessError {
    fn from(e: io::Error) -> Self {
        Self::Io(e)
    }
}
