//! Calls whose response is a stream of events.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use sapphirespur_core::edge::{
    Admission, BeginVerdict, DeclineReason, EventOrder, EventVerdict, Placement, SendOutcome,
    SendRecord, StreamSend,
};
use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;
use tokio::time::timeout;

use super::buffered::{SendHistory, log_decline, read_response};
use super::event_buffer::EventBuffer;
use super::guards::{BufferGuard, MIN_IDLE_TIMEOUT, RequestGuard, UpstreamReservation};
use super::hop_headers;
use super::response::{AbortReason, ClientResponse, ErrorResponse, ResponseBody};
use super::send::{Call, SendResult, UpstreamResponse, send};
use super::shared::Shared;
use super::stream_origins;

/// Largest incomplete event that is buffered, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Stream that is being relayed to a client.
struct StreamRelay {
    cx: Rc<Shared>,
    call: Call,
    sends: SendHistory,
    /// Reservation at the current upstream; absent between two upstreams.
    reservation: Option<UpstreamReservation>,
    /// Response of the current upstream; absent between two upstreams.
    upstream_response: Option<Box<UpstreamResponse>>,
    events: EventBuffer,
    /// Counts the bytes of incomplete events.
    buffer: BufferGuard,
    order: EventOrder,
    /// Whether an event of the current upstream is out of order; those before it are passed on.
    is_out_of_order: bool,
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

/// Result of waiting for bytes of the upstream.
enum ReadOutcome {
    /// Bytes were received, or the upstream is still responsive.
    Continue,
    /// The stream is complete.
    End,
    /// The stream ended early or the upstream is unresponsive.
    Lost(SendOutcome),
    /// The deadline of the call has passed.
    TimedOut,
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
        is_out_of_order: false,
        buffer: BufferGuard::for_response(&cx),
        cx,
        call,
        sends: SendHistory::default(),
        reservation: None,
        upstream_response: None,
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
    /// Sends the call until an upstream responds with a stream; `first` is the first placement, if
    /// it is made already.
    ///
    /// # Errors
    ///
    /// Returns the response for the client when no upstream starts a stream.
    async fn start(&mut self, mut first: Option<Placement>) -> Result<(), ClientResponse> {
        let id = self.call.head.attempt_id.clone();
        let cx = Rc::clone(&self.cx);
        loop {
            if !self.call.info.goes_on {
                self.call.info.version = stream_origins::begin_version(&cx, &self.call);
            }
            let admission =
                first.take().map_or_else(|| self.sends.admit(&cx, &self.call), Admission::Ok);
            let placement = match admission {
                Ok(placement) => placement,
                Err(decline) => {
                    log_decline(&cx, &self.call, &decline);
                    let error = match decline.reason {
                        DeclineReason::VersionGone if self.sends.possible_runs == 0 => {
                            ErrorResponse::VersionGone
                        }
                        _ => self.sends.final_error(&self.call, &cx, decline.retry_after),
                    };
                    return Err(error.into_response(&*cx.dialect, &id));
                }
            };
            let mut reservation = UpstreamReservation::new(&cx, &self.call, &placement);
            let recorded = self.record_send(reservation.version());
            let head_timeout = self.head_timeout(placement.expected_delay);
            let sent = send(
                &cx,
                &self.call,
                &placement,
                &mut reservation,
                self.order.passed_on(),
                head_timeout,
            )
            .await;
            let (outcome, may_have_run) = match sent {
                SendResult::Response(upstream_response)
                    if upstream_response.parts.status.is_success() =>
                {
                    self.on_bytes_received();
                    self.last_progress = cx.now();
                    match self.begin(recorded.as_ref()).await {
                        BeginVerdict::PassOn => {
                            self.bind(reservation.version().clone());
                            self.reservation = Some(reservation);
                            self.upstream_response = Some(upstream_response);
                            return Ok(());
                        }
                        BeginVerdict::Elsewhere => (SendOutcome::Abandoned, true),
                        BeginVerdict::Unknown => {
                            return Err(
                                ErrorResponse::OutcomeUnknown.into_response(&*cx.dialect, &id)
                            );
                        }
                    }
                }
                SendResult::Response(upstream_response) => {
                    let is_failure = upstream_response.parts.status.is_server_error();
                    let response = match read_response(&cx, &self.call, *upstream_response).await {
                        Ok(response) if !is_failure => {
                            reservation.finish(SendOutcome::Answered);
                            return Err(response);
                        }
                        response => response,
                    };
                    self.sends.record_failure(
                        &cx,
                        &self.call,
                        &reservation,
                        SendOutcome::Failed,
                        true,
                    );
                    reservation.finish(SendOutcome::Failed);
                    if self.sends.may_retry(&self.call) {
                        continue;
                    }
                    let outcome_unknown =
                        || ErrorResponse::OutcomeUnknown.into_response(&*cx.dialect, &id);
                    return Err(response.unwrap_or_else(|_| outcome_unknown()));
                }
                SendResult::NotRun(outcome) => (outcome, false),
                SendResult::Unknown(outcome) => (outcome, true),
            };
            self.sends.record_failure(&cx, &self.call, &reservation, outcome, may_have_run);
            reservation.finish(outcome);
            if !self.sends.may_retry(&self.call) || self.call.time_left(cx.now()).is_zero() {
                let error = self.sends.final_error(&self.call, &cx, self.call.info.target);
                return Err(error.into_response(&*cx.dialect, &id));
            }
        }
    }

    /// Binds the stream to a version: what two versions generate does not fit together.
    fn bind(&mut self, version: Name) {
        self.call.info.version = Some(version);
        self.call.info.goes_on = true;
    }

    /// Begins to record a send of a stream that others have to know the version of. Returns the send and
    /// its record; none for a stream that goes on, or that cannot be taken up.
    fn record_send(&mut self, version: &Name) -> Option<(StreamSend, SendRecord)> {
        if self.call.info.goes_on {
            return None;
        }
        let ordinal = self.sends.tried.len() as u8;
        let send = stream_origins::stream_send(&self.call, version, ordinal, self.has_record)?;
        let record = self.cx.router.borrow_mut().record_send(self.cx.now(), &send);
        self.has_record |= matches!(record, SendRecord::Waiting(_));
        Some((send, record))
    }

    /// Returns whether the stream of a send may be passed on, whose upstream has responded.
    async fn begin(&self, recorded: Option<&(StreamSend, SendRecord)>) -> BeginVerdict {
        match recorded {
            Some((send, record)) => {
                stream_origins::begin_stream(&self.cx, &self.call, send, record).await
            }
            None => BeginVerdict::PassOn,
        }
    }

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
            match relay.next_bytes().await {
                Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
                Ok(None) => None,
                Err(e) => Some((Err(e), None)),
            }
        });
        response.map(|()| Box::pin(StreamBody::new(frames)) as ResponseBody)
    }

    /// Returns the next complete events, or `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error when the stream can be neither completed nor resumed.
    async fn next_bytes(&mut self) -> Result<Option<Bytes>, AbortReason> {
        self.skip_client_wait();
        loop {
            match self.take_events() {
                Ok(Some(bytes)) => {
                    self.passed_on_at = Some(self.last_progress);
                    return Ok(Some(bytes));
                }
                Ok(None) => {}
                Err(outcome) => {
                    self.resume(outcome).await?;
                    continue;
                }
            }
            match self.read_body().await {
                ReadOutcome::Continue => {}
                ReadOutcome::End => {
                    self.record_completed();
                    self.finish(SendOutcome::Answered, true);
                    return Ok(None);
                }
                ReadOutcome::Lost(outcome) => self.resume(outcome).await?,
                ReadOutcome::TimedOut => {
                    self.finish(SendOutcome::Abandoned, false);
                    self.log_aborted("timed out");
                    return Err(AbortReason::TimedOut);
                }
            }
        }
    }

    /// Leaves out the time for which the client took nothing: nothing was read of the upstream meanwhile.
    fn skip_client_wait(&mut self) {
        let Some(passed_on_at) = self.passed_on_at.take() else { return };
        let wait = self.cx.now().since(passed_on_at);
        self.last_progress = self.last_progress + wait;
        self.last_received = self.last_received + wait;
        if let Some(reservation) = &mut self.reservation {
            reservation.on_client_wait(wait);
        }
    }

    /// Takes the buffered complete events as one chunk, without those that were passed on before.
    ///
    /// # Errors
    ///
    /// Returns an error when the next event is out of order.
    fn take_events(&mut self) -> Result<Option<Bytes>, SendOutcome> {
        if self.is_out_of_order {
            return Err(SendOutcome::Broken);
        }
        let mut first: Option<Bytes> = None;
        let mut rest = BytesMut::new();
        let mut count = 0;
        while let Some(event) = self.events.next_event() {
            match event.id.map(|id| self.order.check(id)) {
                None | Some(EventVerdict::PassOn) => {}
                Some(EventVerdict::Repeated) => continue,
                Some(EventVerdict::OutOfOrder) if count == 0 => return Err(SendOutcome::Broken),
                Some(EventVerdict::OutOfOrder) => {
                    self.is_out_of_order = true;
                    break;
                }
            }
            count += 1;
            match &first {
                None => first = Some(event.bytes),
                Some(_) => rest.extend_from_slice(&event.bytes),
            }
        }

        let Some(first) = first else { return Ok(None) };
        self.last_progress = self.cx.now();
        if let Some(reservation) = &mut self.reservation {
            reservation.on_events(count);
        }
        if rest.is_empty() {
            return Ok(Some(first));
        }
        let mut all = BytesMut::from(first);
        all.unsplit(rest);
        Ok(Some(all.freeze()))
    }

    /// Waits for bytes of the upstream and buffers them.
    async fn read_body(&mut self) -> ReadOutcome {
        let now = self.cx.now();
        let left = self.call.time_left(now);
        if left.is_zero() {
            return ReadOutcome::TimedOut;
        }

        let may_resume = self.sends.possible_runs + 1 < self.call.route.attempts
            && self.call.route.kind.is_retryable();
        if may_resume && self.is_stalled(now) {
            return ReadOutcome::Lost(SendOutcome::NoResponse);
        }
        let Some(upstream_response) = &mut self.upstream_response else {
            return ReadOutcome::Lost(SendOutcome::Broken);
        };
        // A stream that the client resumes after its last event is empty.
        let is_cut = self.order.passed_on().is_none()
            && self.reservation.as_ref().is_some_and(UpstreamReservation::is_cut_unbegun);
        let read_timeout = if may_resume { left.min(MIN_IDLE_TIMEOUT) } else { left };
        match timeout(read_timeout, upstream_response.body.frame()).await {
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    self.events.push(&data);
                    self.on_bytes_received();
                }
                let is_counted = self.buffer.try_resize(self.events.len());
                if self.events.len() > MAX_EVENT_BYTES || !is_counted {
                    return ReadOutcome::Lost(SendOutcome::Broken);
                }
                ReadOutcome::Continue
            }
            Ok(None) if self.events.is_empty() && !is_cut => ReadOutcome::End,
            Ok(Some(Err(_)) | None) => ReadOutcome::Lost(SendOutcome::Disconnected),
            Err(_) if self.call.time_left(self.cx.now()).is_zero() => ReadOutcome::TimedOut,
            Err(_) => ReadOutcome::Continue,
        }
    }

    /// Returns whether the stream has stalled at its upstream.
    fn is_stalled(&self, now: Time) -> bool {
        let idle = now.since(self.last_progress);
        self.reservation.as_ref().is_none_or(|reservation| reservation.is_stalled(idle))
    }

    /// Resumes the stream at another upstream after the last event that was passed on. A stream that
    /// is only late goes on where it is when no other upstream takes it.
    ///
    /// # Errors
    ///
    /// Returns an error when no upstream resumes the stream.
    async fn resume(&mut self, outcome: SendOutcome) -> Result<(), AbortReason> {
        let Some(reservation) = &self.reservation else { return Err(AbortReason::UpstreamLost) };
        let (upstream, version) =
            (reservation.upstream().to_owned(), reservation.version().clone());
        let placement = self.sends.admit_elsewhere(&self.cx, &self.call, &upstream);
        if placement.is_none() && outcome == SendOutcome::NoResponse {
            self.last_progress = self.cx.now();
            return Ok(());
        }

        self.sends.record_failure(&self.cx, &self.call, reservation, outcome, true);
        self.finish(outcome, false);
        self.events = EventBuffer::default();
        self.order.on_new_upstream();
        self.is_out_of_order = false;
        if placement.is_none() || self.start(placement).await.is_err() {
            self.log_aborted(outcome.as_str());
            // Events that were just passed on are written before the connection is closed.
            tokio::task::yield_now().await;
            return Err(AbortReason::UpstreamLost);
        }

        self.cx.metrics.record_resumed_stream();
        log::info!(
            request = self.call.head.attempt_id.as_str(),
            from = upstream.as_str(),
            from_version = version.as_str(),
            to = self.reservation.as_ref().map_or("", UpstreamReservation::upstream),
            to_version = self.version(),
            after_event = self.order.passed_on().unwrap_or_default();
            "stream goes on elsewhere"
        );
        Ok(())
    }

    /// Ends the reservation; the connection returns to the pool when the response is complete.
    fn finish(&mut self, outcome: SendOutcome, is_complete: bool) {
        if let Some(reservation) = self.reservation.take() {
            reservation.finish(outcome);
        }
        if let Some(upstream_response) = self.upstream_response.take()
            && is_complete
        {
            upstream_response.connection.return_to_pool(&self.cx);
        }
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

    /// Records and logs the end of a complete stream.
    fn record_completed(&self) {
        let workspace = self.call.info.workspace.as_ref().map(Name::as_str);
        let total = self.cx.now().since(self.call.arrived_at);
        self.cx.metrics.record_total(workspace, total);
        if self.cx.may_log_success() {
            log::info!(
                request = self.call.head.attempt_id.as_str(),
                route = self.call.route.name.as_str(),
                upstream = self.reservation.as_ref().map_or("", UpstreamReservation::upstream),
                load = self.reservation.as_ref().map(UpstreamReservation::load).unwrap_or_default().as_str(),
                sends = self.sends.tried.len() + 1,
                last_event = self.order.passed_on().unwrap_or_default(),
                max_output_tokens = self.call.info.prompt.as_ref().map_or(0, |prompt| prompt.max_output_tokens),
                predicted_tokens = self.reservation.as_ref().map_or(0, UpstreamReservation::predicted_tokens),
                output_tokens = self.reservation.as_ref().map_or(0, UpstreamReservation::output_tokens),
                predicted_ms = self.reservation.as_ref().map_or(0, UpstreamReservation::predicted_ms),
                first_event_ms = self.first_event_after.map_or(0, |span| span.as_millis() as u64),
                total_ms = total.as_millis() as u64;
                "stream completed"
            );
        }
    }

    /// Returns the version of the current upstream's software; empty between two upstreams.
    fn version(&self) -> &str {
        self.reservation.as_ref().map_or("", |reservation| reservation.version().as_str())
    }

    /// Logs where a stream goes on that the client resumes.
    fn log_taken_up(&self) {
        let Some(after_event) = self.call.head.last_event_id else { return };
        if self.cx.may_log_failure() {
            log::info!(
                request = self.call.head.attempt_id.as_str(),
                resumes = self.call.head.resumes.as_deref().unwrap_or_default(),
                after_event = after_event,
                upstream = self.reservation.as_ref().map_or("", UpstreamReservation::upstream),
                version = self.version();
                "stream of an earlier attempt goes on"
            );
        }
    }

    /// Logs that the stream ends incomplete.
    fn log_aborted(&self, reason: &str) {
        log::warn!(
            request = self.call.head.attempt_id.as_str(),
            reason = reason,
            last_event = self.order.passed_on().unwrap_or_default(),
            in_flight = self.request_guard.in_flight();
            "stream cut"
        );
    }
}
