//! Error of a request to the platform.

use awc::error::{PayloadError, SendRequestError};
use sapphirespur_core::config::ConfigError;
use thiserror::Error;

/// Error of a request to the platform, or of the data that it stores.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// The request was not sent or timed out; a write may have taken effect.
    #[error("no response from the platform: {0}")]
    NoResponse(#[from] SendRequestError),
    /// The response ended early; a write may have taken effect.
    #[error("the platform's response was truncated: {0}")]
    Truncated(#[from] PayloadError),
    /// The response to a transaction lacks the result of an operation.
    #[error("the platform's response lacks the result of an operation")]
    MissingResult,
    /// The platform responded with this HTTP status instead of a success.
    #[error("the platform responded with HTTP status {0}")]
    Status(u16),
    /// The response or a stored value is not JSON of the expected form.
    #[error("malformed data from the platform: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A key or value in the response is not base64.
    #[error("the platform's response is not base64: {0}")]
    Encoding(#[from] base64::DecodeError),
    /// The chunk with this digest is missing from the stored configuration.
    #[error("chunk {0} of the stored configuration is missing")]
    MissingChunk(String),
    /// The stored configuration, or a change to it, is invalid.
    #[error("invalid configuration: {0}")]
    Config(#[from] ConfigError),
}

impl PlatformError {
    /// Returns whether a write that failed with this error may have taken effect or still may.
    pub fn may_have_taken_effect(&self) -> bool {
        match self {
            Self::NoResponse(_)
            | Self::Truncated(_)
            | Self::MissingResult
            | Self::Malformed(_)
            | Self::Encoding(_) => true,
            Self::Status(status) => *status >= 500,
            Self::MissingChunk(_) | Self::Config(_) => false,
        }
    }
}
