//! Channel that carries an answer from the task that serves a request to its caller's connection.

use std::time::Duration;

use bytes::Bytes;
use sapphirespur_core::request::Refusal;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

/// Time without progress after which a caller that does not read its answer counts as disconnected.
const STALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Number of data chunks that are buffered for a slow caller.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// First part of an answer.
#[derive(Debug)]
pub(super) enum AnswerStart {
    /// Head of the answer; data follows.
    Head {
        /// HTTP status code.
        status: u16,
        /// Value of the `Content-Type` header.
        content_type: String,
    },
    /// Refusal in place of an answer.
    Refused(Refusal),
}

/// Failure after the answer started; the caller receives an incomplete body.
#[derive(Debug, Error)]
#[error("the answer was truncated")]
pub(super) struct AnswerTruncated;

/// Error when the caller disconnected or stopped reading.
#[derive(Debug)]
pub(super) struct CallerDisconnected;

/// Sending half of an answer, held by the task that serves the request.
#[derive(Debug)]
pub(super) struct AnswerSender {
    start: Option<oneshot::Sender<AnswerStart>>,
    chunks: mpsc::Sender<Result<Bytes, AnswerTruncated>>,
}

/// Receiving half of an answer, held by the caller's connection.
#[derive(Debug)]
pub(super) struct AnswerReceiver {
    /// First part of the answer.
    pub start: oneshot::Receiver<AnswerStart>,
    /// Body of the answer; an error truncates it.
    pub chunks: mpsc::Receiver<Result<Bytes, AnswerTruncated>>,
}

impl AnswerSender {
    /// Creates both halves of an answer.
    pub fn new() -> (Self, AnswerReceiver) {
        let (start_tx, start) = oneshot::channel();
        let (chunks_tx, chunks) = mpsc::channel(MAX_BUFFERED_CHUNKS);

        (Self { start: Some(start_tx), chunks: chunks_tx }, AnswerReceiver { start, chunks })
    }

    /// Returns whether the answer has started.
    pub fn has_started(&self) -> bool {
        self.start.is_none()
    }

    /// Waits until the caller disconnects.
    pub async fn closed(&mut self) {
        match &mut self.start {
            Some(start) => start.closed().await,
            None => self.chunks.closed().await,
        }
    }

    /// Sends the head of the answer; does nothing when it was already sent.
    ///
    /// # Errors
    ///
    /// Returns an error when the caller disconnected.
    pub fn start(&mut self, status: u16, content_type: String) -> Result<(), CallerDisconnected> {
        let Some(start) = self.start.take() else { return Ok(()) };

        start.send(AnswerStart::Head { status, content_type }).map_err(|_| CallerDisconnected)
    }

    /// Sends data; waits while the buffer is full.
    ///
    /// # Errors
    ///
    /// Returns an error when the caller disconnected or read nothing for `STALL_TIMEOUT`.
    pub async fn send(&self, data: Bytes) -> Result<(), CallerDisconnected> {
        match tokio::time::timeout(STALL_TIMEOUT, self.chunks.send(Ok(data))).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(CallerDisconnected),
        }
    }

    /// Ends the request with a refusal, or truncates the answer when it has already started.
    pub async fn refuse(&mut self, refusal: Refusal) {
        match self.start.take() {
            // Sending fails only when the caller disconnected.
            Some(start) => drop(start.send(AnswerStart::Refused(refusal))),
            None => drop(self.chunks.send(Err(AnswerTruncated)).await),
        }
    }
}
