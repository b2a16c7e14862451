//! Reason why the body of a response is incomplete.

use thiserror::Error;

/// Reason why the body of a response is incomplete.
#[derive(Debug, Error)]
pub enum ReceivedBodyError {
    /// The connection failed, or ended before the body did.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The body ends with its connection, which ended while the request was still being written.
    #[error("connection ended before the request was written")]
    RequestUnwritten,
    /// The body ends with its connection, which may have ended because the router wanted no more of it.
    #[error("connection ended after its write side was closed")]
    HalfClosed,
}
