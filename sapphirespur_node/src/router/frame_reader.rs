//! Frames of one connection to a sidecar.

use std::collections::VecDeque;

use awc::error::PayloadError;
use bytes::{Bytes, BytesMut};
use futures::{Stream, StreamExt};
use sapphirespur_wire::{Frame, WireError};
use thiserror::Error;
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

/// Failure of a connection to a sidecar.
#[derive(Debug, Error)]
pub(super) enum FrameError {
    /// The connection broke off.
    #[error("the connection broke off: {0}")]
    Connection(#[from] PayloadError),
    /// The lengths of the frames are wrong.
    #[error("the lengths of the frames are wrong: {0}")]
    Length(#[from] std::io::Error),
    /// A frame is malformed.
    #[error("a frame is malformed: {0}")]
    Malformed(#[from] WireError),
}

/// Frames as they come.
pub(super) struct FrameReader<S> {
    stream: S,
    codec: LengthDelimitedCodec,
    buf: BytesMut,
    decoded: VecDeque<Frame>,
}

impl<S: Stream<Item = Result<Bytes, PayloadError>> + Unpin> FrameReader<S> {
    /// Creates a reader of `stream`.
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            codec: LengthDelimitedCodec::new(),
            buf: BytesMut::new(),
            decoded: VecDeque::new(),
        }
    }

    /// Returns the next frame, or none at the end of the connection.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection breaks off or a frame is malformed.
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
