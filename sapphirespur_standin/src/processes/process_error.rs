//! Failures of starting and driving processes.

use std::fmt;
use std::io;

/// Failure of starting or driving a process.
#[derive(Debug)]
pub enum ProcessError {
    /// A file or a process cannot be made.
    Io(io::Error),
    /// A process did not say where it listens.
    NotListening(String),
    /// The port of a process is held by another one.
    PortInUse(String),
    /// A command of the operators failed.
    Command {
        /// Arguments.
        args: String,
        /// Exit code.
        code: Option<i32>,
        /// What it printed.
        output: String,
    },
    /// A stand-in gave no proper answer.
    StandIn(String),
}

impl fmt::Display for ProcessError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(e) => write!(f, "a file or process cannot be made: {e}"),
            Self::NotListening(name) => write!(f, "{name} does not say where it listens"),
            Self::PortInUse(name) => write!(f, "the port of {name} is held by another process"),
            Self::Command { args, code, output } => {
                write!(f, "'sapphirespur {args}' ended with {code:?}: {output}")
            }
            Self::StandIn(cause) => write!(f, "a stand-in gave no proper answer: {cause}"),
        }
    }
}

impl std::error::Error for ProcessError {}

impl From<io::Error> for ProcessError {
    fn from(e: io::Error) -> Self {
        Self::Io(e)
    }
}
