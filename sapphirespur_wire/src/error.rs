//! Failures of decoding.

use thiserror::Error;

/// Reason why bytes or a received structure are not a message.
#[derive(Debug, Error)]
pub enum WireError {
    /// The structure is malformed.
    #[error("malformed structure: {0}")]
    Malformed(#[from] capnp::Error),
    /// A text is not UTF-8.
    #[error("text is not UTF-8: {0}")]
    Text(#[from] std::str::Utf8Error),
    /// The sender uses a variant that this version does not know.
    #[error("unknown variant: {0}")]
    UnknownVariant(#[from] capnp::NotInSchema),
    /// An embedded configuration is malformed.
    #[error("malformed configuration: {0}")]
    Config(#[from] serde_json::Error),
    /// A refusal has a code that this version does not know.
    #[error("unknown refusal code")]
    UnknownRefusal,
}
