//! Connection of a caller, as the task that serves its request sees it.

use std::time::Duration;

use bytes::Bytes;
use sapphirespur_core::request::Refusal;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

/// Time for which a caller may take no data.
const STALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Chunks that may wait for a slow caller.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// Way in which an answer starts.
#[derive(Debug)]
pub(super) enum AnswerStart {
    /// With a status, a content type and data.
    Head {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
    },
    /// With a refusal in place of an answer.
    Refused(Refusal),
}

/// Failure that ends an answer after it started; the caller sees a broken body.
#[derive(Debug, Error)]
#[error("the answer was cut off")]
pub(super) struct AnswerTruncated;

/// The caller hung up or takes no data.
#[derive(Debug)]
pub(super) struct CallerDisconnected;

/// Sending side of an answer.
#[derive(Debug)]
pub(super) struct AnswerSender {
    start: Option<oneshot::Sender<AnswerStart>>,
    chunks: mpsc::Sender<Result<Bytes, AnswerTruncated>>,
}

/// Receiving side of an answer, at the connection.
#[derive(Debug)]
pub(super) struct AnswerReceiver {
    /// Start of the answer.
    pub start: oneshot::Receiver<AnswerStart>,
    /// Data of the answer.
    pub chunks: mpsc::Receiver<Result<Bytes, AnswerTruncated>>,
}

impl AnswerSender {
    /// Creates both sides.
    pub fn new() -> (Self, AnswerReceiver) {
        let (start_tx, start) = oneshot::channel();
        let (chunks_tx, chunks) = mpsc::channel(MAX_BUFFERED_CHUNKS);

        (Self { start: Some(start_tx), chunks: chunks_tx }, AnswerReceiver { start, chunks })
    }

    /// Tells whether the answer has started.
    pub fn has_started(&self) -> bool {
        self.start.is_none()
    }

    /// Waits until the caller hangs up.
    pub async fn closed(&mut self) {
        match &mut self.start {
            Some(start) => start.closed().await,
            None => self.chunks.closed().await,
        }
    }

    /// Starts the answer.
    ///
    /// # Errors
    ///
    /// Returns an error when the caller hung up.
    pub fn start(&mut self, status: u16, content_type: String) -> Result<(), CallerDisconnected> {
        let Some(start) = self.start.take() else { return Ok(()) };

        start.send(AnswerStart::Head { status, content_type }).map_err(|_| CallerDisconnected)
    }

    /// Passes data on; waits while the caller is slow.
    ///
    /// # Errors
    ///
    /// Returns an error when the caller hung up or takes no data for long.
    pub async fn send(&self, data: Bytes) -> Result<(), CallerDisconnected> {
        match tokio::time::timeout(STALL_TIMEOUT, self.chunks.send(Ok(data))).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(CallerDisconnected),
        }
    }

    /// Ends the request with a refusal, or cuts the answer when it has started.
    pub async fn refuse(mut self, refusal: Refusal) {
        match self.start.take() {
            // A caller that hung up needs no answer.
            Some(start) => drop(start.send(AnswerStart::Refused(refusal))),
            None => drop(self.chunks.send(Err(AnswerTruncated)).await),
        }
    }
}
