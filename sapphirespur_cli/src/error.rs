//! Errors of commands.

use sapphirespur_core::config::ConfigError;
use sapphirespur_node::platform::PlatformError;
use sapphirespur_node::settings::SettingsError;
use thiserror::Error;

use crate::exit::Exit;
use crate::intent::IntentError;

/// Error of a command, which determines its exit code.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The operator's settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The intent is invalid.
    #[error(transparent)]
    Intent(#[from] IntentError),
    /// The changes lead to an invalid configuration.
    #[error("the changes are refused: {0}")]
    Config(#[from] ConfigError),
    /// A call to the platform failed.
    #[error("{0}")]
    Platform(#[from] PlatformError),
    /// No plan of this fleet has the identifier.
    #[error("plan {0} does not exist, has expired or belongs to another fleet")]
    NoPlan(String),
    /// The configuration has no data centre of this name.
    #[error("data centre {0} does not exist")]
    NoDataCentre(String),
    /// The router sent no complete response.
    #[error("no response from router {address}: {reason}")]
    Router {
        /// Address to which the request was sent.
        address: std::net::SocketAddr,
        /// Cause, as the HTTP client describes it.
        reason: String,
    },
    /// A result cannot be encoded as JSON, or a router's response is not the expected JSON.
    #[error("cannot encode or decode JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// Reading standard input or writing standard output failed.
    #[error("standard input or output failed: {0}")]
    Io(#[from] std::io::Error),
}

impl CommandError {
    /// Returns the exit code for the error.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Settings(_) | Self::Intent(_) | Self::Config(_) => Exit::Usage,
            Self::Platform(e) if e.may_have_taken_effect() => Exit::Unknown,
            Self::Platform(_)
            | Self::NoPlan(_)
            | Self::NoDataCentre(_)
            | Self::Router { .. }
            | Self::Json(_)
            | Self::Io(_) => Exit::Failure,
        }
    }
}
