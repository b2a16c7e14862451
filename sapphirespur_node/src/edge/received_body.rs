//! Body of a response that is being received.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::buffer_guard::BufferGuard;
use super::half_close::HalfClose;
use super::read_progress::ReadProgress;
use super::received_body_error::ReceivedBodyError;
use crate::http::RequestProgress;

/// Body of a response; each piece of it counts as progress of its connection.
#[derive(Debug)]
pub struct ReceivedBody {
    body: Incoming,
    progress: ReadProgress,
    /// What tells whether the body is whole, if it ends with the connection.
    end: Option<(RequestProgress, HalfClose)>,
    /// Counts the head, which is kept as long as the body.
    _head: Option<BufferGuard>,
}

impl ReceivedBody {
    /// Wraps the body of a response on a connection. `end` is present if the body ends with the connection.
    pub(super) fn new(
        body: Incoming,
        progress: ReadProgress,
        end: Option<(RequestProgress, HalfClose)>,
        head: Option<BufferGuard>,
    ) -> Self {
        Self { body, progress, end, _head: head }
    }

    /// Returns why the body is not whole that ended with its connection; none when it is.
    fn early_end(&self) -> Option<ReceivedBodyError> {
        match self.end.as_ref()? {
            (request, _) if request.is_writing() => Some(ReceivedBodyError::RequestUnwritten),
            (_, half_close) if half_close.is_closed() => Some(ReceivedBodyError::HalfClosed),
            _ => None,
        }
    }
}

impl Body for ReceivedBody {
    type Data = Bytes;
    type Error = ReceivedBodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ReceivedBodyError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        self.progress.on_part();
        if frame.is_none()
            && let Some(e) = self.early_end()
        {
            // Once only: after an error, the body has ended.
            self.end = None;
            return Poll::Ready(Some(Err(e)));
        }
        Poll::Ready(frame.map(|frame| Ok(frame?)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
