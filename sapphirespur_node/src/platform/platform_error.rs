//! Failures of the platform's services.

use awc::error::{PayloadError, SendRequestError};
use sapphirespur_core::config::ConfigError;
use thiserror::Error;

/// Failure of a call to the platform.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// The call was not sent or not answered in time; a write may have taken effect.
    #[error("the platform gave no answer: {0}")]
    NoResponse(#[from] SendRequestError),
    /// The answer broke off; a write may have taken effect.
    #[error("the platform's answer broke off: {0}")]
    Truncated(#[from] PayloadError),
    /// A transaction's answer lacks the outcome of an operation.
    #[error("the platform's answer lacks an outcome")]
    MissingResult,
    /// The platform refused the call.
    #[error("the platform refused the call with status {0}")]
    Status(u16),
    /// The answer is not of the published form.
    #[error("the platform's answer is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A key or value in the answer is not base64.
    #[error("the platform's answer is not base64: {0}")]
    Encoding(#[from] base64::DecodeError),
    /// A part of the stored configuration is missing.
    #[error("chunk {0} of the stored configuration is missing")]
    MissingChunk(String),
    /// The stored configuration is wrong.
    #[error("the stored configuration is wrong: {0}")]
    Config(#[from] ConfigError),
}

impl PlatformError {
    /// Tells whether a write that failed so may have taken effect, now or later.
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
