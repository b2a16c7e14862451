//! Failures of commands.

use sapphirespur_core::config::ConfigError;
use sapphirespur_node::platform::PlatformError;
use sapphirespur_node::settings::SettingsError;
use thiserror::Error;

use crate::exit::Exit;
use crate::intent::IntentError;

/// Failure of a command.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The settings are refused.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The intent is refused.
    #[error(transparent)]
    Intent(#[from] IntentError),
    /// The changes lead to a wrong configuration.
    #[error("the changes are refused: {0}")]
    Config(#[from] ConfigError),
    /// The platform failed.
    #[error("{0}")]
    Platform(#[from] PlatformError),
    /// The plan is not there.
    #[error("plan {0} does not exist, is expired or belongs to another fleet")]
    NoPlan(String),
    /// The data centre is not there.
    #[error("data centre {0} does not exist")]
    NoDataCentre(String),
    /// The router does not answer.
    #[error("{address}: no answer: {reason}")]
    Router {
        /// Address that was asked.
        address: std::net::SocketAddr,
        /// Reason.
        reason: String,
    },
    /// A result has no encoding.
    #[error("the result has no encoding: {0}")]
    Encoding(#[from] serde_json::Error),
    /// Standard input or output fails.
    #[error("standard input or output fails: {0}")]
    Io(#[from] std::io::Error),
}

impl CommandError {
    /// Returns the way in which the command ends.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Settings(_) | Self::Intent(_) | Self::Config(_) => Exit::Usage,
            Self::Platform(e) if e.may_have_taken_effect() => Exit::Unknown,
            Self::Platform(_)
            | Self::NoPlan(_)
            | Self::NoDataCentre(_)
            | Self::Router { .. }
            | Self::Encoding(_)
            | Self::Io(_) => Exit::Failure,
        }
    }
}
