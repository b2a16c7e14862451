//! Body of a response that is being received.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::buffer_guard::BufferGuard;
use super::read_progress::ReadProgress;

/// Body of a response; each piece of it counts as progress of its connection.
#[derive(Debug)]
pub struct ReceivedBody {
    body: Incoming,
    progress: ReadProgress,
    /// Counts the head, which is kept as long as the body.
    _head: Option<BufferGuard>,
}

impl ReceivedBody {
    /// Wraps the body of a response on a connection.
    pub(super) fn new(body: Incoming, progress: ReadProgress, head: Option<BufferGuard>) -> Self {
        Self { body, progress, _head: head }
    }
}

impl Body for ReceivedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        self.progress.on_part();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
