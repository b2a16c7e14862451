//! Calls whose response is a stream of events.

mod log_lines;
mod relay;
mod start;
mod stream_head;

use std::rc::Rc;
use std::time::Duration;

use futures::stream;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Frame;
use sapphirespur_core::edge::EventOrder;
use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;

use self::stream_head::StreamHead;
use super::buffer_guard::BufferGuard;
use super::buffered::SendHistory;
use super::buffers::BufferKind;
use super::event_buffer::EventBuffer;
use super::guards::{MIN_IDLE_TIMEOUT, RequestGuard, UpstreamReservation};
use super::hop_headers;
use super::response::{AbortReason, ClientResponse, ResponseBody};
use super::send::{Call, UpstreamResponse};
use super::shared::Shared;
use super::stream_origins;

/// Stream that is being relayed to a client.
struct StreamRelay {
    cx: Rc<Shared>,
    call: Call,
    sends: SendHistory,
    /// Reservation at the current upstream; absent between two upstreams.
    reservation: Option<UpstreamReservation>,
    /// Response of the current upstream; absent between two upstreams.
    upstream_response: Option<Box<UpstreamResponse>>,
    /// Head that the client has; absent before it.
    head: Option<StreamHead>,
    events: EventBuffer,
    /// Counts the buffer of incomplete events.
    buffer: BufferGuard,
    order: EventOrder,
    /// Time of the last bytes from an upstream; the arrival of the call before the first ones.
    last_received: Time,
    /// Time at which events were last passed on; absent while the client waits for the next ones.
    passed_on_at: Option<Time>,
    /// Time of the last complete event of the current upstream, or when it was last decided to go on
    /// waiting for one. Bytes that complete no event don't count.
    last_progress: Time,
    /// Time from the arrival of the call to its first response head.
    first_event_after: Option<Duration>,
    /// Whether a send of the call is on record with its version, or may be.
    has_record: bool,
    request_guard: RequestGuard,
}

/// Sends a call to an upstream and relays its stream.
pub(super) async fn respond(
    cx: Rc<Shared>,
    call: Call,
    request_guard: RequestGuard,
) -> ClientResponse {
    let mut relay = StreamRelay {
        last_received: call.arrived_at,
        passed_on_at: None,
        last_progress: call.arrived_at,
        order: EventOrder::new(call.head.last_event_id),
        buffer: BufferGuard::new(&cx.buffers, BufferKind::Response),
        cx,
        call,
        sends: SendHistory::default(),
        reservation: None,
        upstream_response: None,
        head: None,
        events: EventBuffer::default(),
        first_event_after: None,
        has_record: false,
        request_guard,
    };

    if relay.call.head.last_event_id.is_some() {
        match stream_origins::resolve(&relay.cx, &relay.call).await {
            Ok(version) => relay.bind(version),
            Err(error) => {
                let id = &relay.call.head.attempt_id;
                return error.into_response(&*relay.cx.dialect, id);
            }
        }
    }
    if let Err(error) = relay.start(None).await {
        return error;
    }
    relay.log_taken_up();
    relay.into_response()
}

impl StreamRelay {
    /// Builds the response whose body relays the stream.
    fn into_response(self) -> ClientResponse {
        let mut response = Response::new(());
        if let Some(upstream_response) = &self.upstream_response {
            *response.status_mut() = upstream_response.parts.status;
            *response.headers_mut() = upstream_response.parts.headers.clone();
        }
        hop_headers::remove_hop_by_hop(response.headers_mut());

        let frames = stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            let cx = Rc::clone(&relay.cx);
            let next = tokio::select! {
                biased;
                next = relay.next_bytes() => next,
                () = cx.answers_due.cancelled() => Err(AbortReason::Stopping),
            };
            match next {
                Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
                Ok(None) => None,
                Err(e) => Some((Err(e), None)),
            }
        });
        response.map(|()| Box::pin(StreamBody::new(frames)) as ResponseBody)
    }

    /// Returns how long to wait for a response head.
    fn head_timeout(&self, expected: Duration) -> Duration {
        let left = self.call.time_left(self.cx.now());
        let is_last = self.sends.possible_runs + 1 >= self.call.route.attempts;
        if is_last || !self.call.route.kind.is_retryable() {
            return left;
        }

        left.min(self.call.info.target.max(expected * 2).max(MIN_IDLE_TIMEOUT))
    }

    /// Records bytes of an upstream: the time to the first ones, or the gap since the previous
    /// ones.
    fn on_bytes_received(&mut self) {
        let now = self.cx.now();
        if self.first_event_after.is_none() {
            let elapsed = now.since(self.call.arrived_at);
            let workspace = self.call.info.workspace.as_ref().map(Name::as_str);
            self.cx.metrics.record_first_event(workspace, elapsed);
            self.first_event_after = Some(elapsed);
        } else {
            self.cx.metrics.record_event_gap(now.since(self.last_received));
        }
        self.last_received = now;
    }
}
