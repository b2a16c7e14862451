//! Body that is complete, in parts.

use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::response::AbortReason;

/// Body of a response that was received completely.
#[derive(Debug)]
pub(super) struct BufferedBody {
    parts: VecDeque<Bytes>,
}

impl BufferedBody {
    /// Creates a body of parts in their order.
    pub fn new(parts: VecDeque<Bytes>) -> Self {
        Self { parts }
    }

    /// Returns whether nothing is left of the body.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }
}

impl Body for BufferedBody {
    type Data = Bytes;
    type Error = AbortReason;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AbortReason>>> {
        Poll::Ready(self.parts.pop_front().map(|part| Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.parts.iter().map(|part| part.len() as u64).sum())
    }
}
