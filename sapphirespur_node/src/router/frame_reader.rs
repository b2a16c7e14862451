//! Decoder of the frames of one connection to a sidecar.

use std::collections::VecDeque;

use awc::error::PayloadError;
use bytes::{Bytes, BytesMut};
use futures::{Stream, StreamExt};
use sapphirespur_wire::{Frame, WireError};
use thiserror::Error;
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

/// Failure of reading frames from a sidecar.
#[derive(Debug, Error)]
pub(super) enum FrameError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Connection(#[from] PayloadError),
    /// The length prefix of a frame is invalid.
    #[error("invalid frame length: {0}")]
    Length(#[from] std::io::Error),
    /// The content of a frame is malformed.
    #[error("malformed frame: {0}")]
    Malformed(#[from] WireError),
}

/// Reader that splits a byte stream into length-delimited frames and decodes them.
pub(super) struct FrameReader<S> {
    stream: S,
    codec: LengthDelimitedCodec,
    buf: BytesMut,
    decoded: VecDeque<Frame>,
}

impl<S: Stream<Item = Result<Bytes, PayloadError>> + Unpin> FrameReader<S> {
    /// Creates a reader for `stream`.
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            codec: LengthDelimitedCodec::new(),
            buf: BytesMut::new(),
            decoded: VecDeque::new(),
        }
    }

    /// Returns the next frame, or `None` at the end of the connection.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection fails or a frame is malformed.
    pub async fn next(&mut self) -> Result<Option<Frame>, FrameError> {
        loop {
            if let Some(frame) = self.decoded.pop_front() {
                return Ok(Some(frame));
            }
            let Some(chunk) = self.stream.next().await else { return Ok(None) };

            self.buf.extend_from_slice(&chunk?);
            while let Some(bytes) = self.codec.decode(&mut self.buf)? {
                self.decoded.push_back(Frame::from_bytes(&bytes)?);
            }
        }
    }
}
