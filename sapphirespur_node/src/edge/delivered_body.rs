//! Response body whose bytes are counted until they are written.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::delivery::Delivery;
use super::response::{AbortReason, ResponseBody};

/// Body of a response on a connection that counts what waits to be written.
pub(super) struct DeliveredBody {
    body: ResponseBody,
    delivery: Rc<Delivery>,
    /// Bytes that were counted at the start of a complete body and are not taken yet; none for a stream.
    untaken: Option<usize>,
}

impl DeliveredBody {
    /// Wraps the body of a response. One that is complete waits for its client as a whole.
    pub fn new(body: ResponseBody, delivery: Rc<Delivery>) -> Self {
        delivery.on_body();
        let untaken = body.size_hint().exact().map(|bytes| bytes as usize);
        delivery.add(untaken.unwrap_or_default());
        Self { body, delivery, untaken }
    }
}

impl Drop for DeliveredBody {
    fn drop(&mut self) {
        // A body that is not sent, as in response to HEAD.
        self.delivery.remove(self.untaken.unwrap_or_default());
        self.delivery.on_body_end();
    }
}

impl Body for DeliveredBody {
    type Data = Bytes;
    type Error = AbortReason;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AbortReason>>> {
        let frame = ready!(self.body.as_mut().poll_frame(cx));
        if let Some(Ok(frame)) = &frame
            && let Some(data) = frame.data_ref()
        {
            match &mut self.untaken {
                Some(untaken) => *untaken = untaken.saturating_sub(data.len()),
                None => self.delivery.add(data.len()),
            }
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
