//! Bodies of requests.

use actix_http::Payload;
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use thiserror::Error;

/// Reason why a body is not read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body exceeds the limit.
    #[error("the body exceeds {0} bytes")]
    TooLarge(usize),
    /// The body is malformed or breaks off.
    #[error("the body is malformed: {0}")]
    Malformed(#[from] actix_http::error::PayloadError),
}

/// Reads a body of at most `max_bytes` bytes.
///
/// # Errors
///
/// Returns an error when the body is larger, malformed or breaks off.
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
