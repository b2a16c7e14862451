//! Errors in decoding received messages and frames.

use thiserror::Error;

/// Reason why a received message or frame cannot be decoded.
#[derive(Debug, Error)]
pub enum WireError {
    /// The Cap'n Proto structure is malformed.
    #[error("malformed structure: {0}")]
    Malformed(#[from] capnp::Error),
    /// A text field is not UTF-8.
    #[error("text is not UTF-8: {0}")]
    Text(#[from] std::str::Utf8Error),
    /// The message has a variant that this version does not support.
    #[error("unknown variant: {0}")]
    UnknownVariant(#[from] capnp::NotInSchema),
    /// An embedded configuration or change is not valid JSON.
    #[error("malformed configuration: {0}")]
    Config(#[from] serde_json::Error),
    /// A refusal has a code that this version does not support.
    #[error("unknown refusal code")]
    UnknownRefusal,
}
