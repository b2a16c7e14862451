//! Reading of request bodies.

use actix_http::Payload;
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use thiserror::Error;

/// Reason why a request body cannot be read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body exceeds this limit, in bytes.
    #[error("the body exceeds {0} bytes")]
    TooLarge(usize),
    /// The body is malformed or incomplete.
    #[error("the body is malformed: {0}")]
    Malformed(#[from] actix_http::error::PayloadError),
}

/// Reads a whole body of at most `max_bytes` bytes into memory.
///
/// # Errors
///
/// Returns an error when the body is larger than `max_bytes`, malformed or incomplete.
pub async fn read_body(mut payload: Payload, max_bytes: usize) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk?;
        if body.len() + chunk.len() > max_bytes {
            return Err(BodyError::TooLarge(max_bytes));
        }
        body.extend_from_slice(&chunk);
    }

    Ok(body.freeze())
}
