//! Events of the upstream on their way to the client.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Frame;
use sapphirespur_core::edge::{EventVerdict, Placement, SendOutcome};
use sapphirespur_core::time::Time;
use tokio::time::timeout;

use super::super::event_buffer::EventBuffer;
use super::super::guards::{MIN_IDLE_TIMEOUT, UpstreamReservation};
use super::super::received_body_error::ReceivedBodyError;
use super::super::response::AbortReason;
use super::super::run_end::{RunEnd, end_run};
use super::super::send::UpstreamResponse;
use super::StreamRelay;

/// Largest incomplete event that is buffered, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Time within which an upstream that has sent bytes, but no whole event, is expected to send more. Less than
/// the 400 ms for which it may work on a stream that goes on elsewhere.
const MAX_WRITE_GAP: Duration = Duration::from_millis(300);

/// Result of waiting for bytes of the upstream.
enum ReadOutcome {
    /// Bytes were received, or the upstream is still responsive.
    Continue,
    /// The stream is complete.
    End,
    /// The stream ended early, or its upstream was told to end it.
    Lost(SendOutcome),
    /// The stream has stalled and ended, or its upstream is not reached; it goes on elsewhere.
    Stalled(Box<Placement>),
    /// The deadline of the call has passed.
    TimedOut,
}

impl StreamRelay {
    /// Returns the next complete events, or `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error when the stream can be neither completed nor resumed.
    pub(super) async fn next_bytes(&mut self) -> Result<Option<Bytes>, AbortReason> {
        self.skip_client_wait();
        loop {
            match self.take_events() {
                Ok(Some(bytes)) => {
                    self.passed_on_at = Some(self.last_progress);
                    return Ok(Some(bytes));
                }
                Ok(None) => {}
                Err(outcome) => {
                    self.resume(outcome, None).await?;
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
                ReadOutcome::Lost(outcome) => self.resume(outcome, None).await?,
                ReadOutcome::Stalled(placement) => {
                    self.resume(SendOutcome::NoResponse, Some(*placement)).await?;
                }
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
        let mut first: Option<Bytes> = None;
        let mut rest = BytesMut::new();
        let mut count = 0;
        while !self.order.is_broken()
            && let Some(event) = self.events.next_event()
        {
            match self.order.check(event.id) {
                EventVerdict::PassOn => {}
                EventVerdict::Repeated | EventVerdict::OutOfOrder => continue,
            }
            count += 1;
            match &first {
                None => first = Some(event.bytes),
                Some(_) => rest.extend_from_slice(&event.bytes),
            }
        }

        let Some(first) = first else {
            return if self.order.is_broken() { Err(SendOutcome::Broken) } else { Ok(None) };
        };
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
            return self.leave_stalled().await;
        }
        let Some(upstream_response) = &mut self.upstream_response else {
            return ReadOutcome::Lost(SendOutcome::Broken);
        };
        let read_timeout = if may_resume { left.min(MIN_IDLE_TIMEOUT) } else { left };
        match timeout(read_timeout, upstream_response.body.frame()).await {
            Ok(frame) => self.on_frame(frame),
            Err(_) if self.call.time_left(self.cx.now()).is_zero() => ReadOutcome::TimedOut,
            Err(_) => ReadOutcome::Continue,
        }
    }

    /// Buffers a part of the body, or learns that there is none.
    fn on_frame(&mut self, frame: Option<Result<Frame<Bytes>, ReceivedBodyError>>) -> ReadOutcome {
        // A stream that the client resumes after its last event is empty.
        let is_cut = self.order.is_without_events()
            && self.reservation.as_ref().is_some_and(UpstreamReservation::is_cut_unbegun);
        match frame {
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else { return ReadOutcome::Continue };
                if let Err(outcome) = self.push(&data) {
                    return ReadOutcome::Lost(outcome);
                }
                self.on_bytes_received();
                ReadOutcome::Continue
            }
            None if self.events.is_empty() && !self.order.may_end() => {
                ReadOutcome::Lost(SendOutcome::Broken)
            }
            None if self.events.is_empty() && !is_cut => ReadOutcome::End,
            Some(Err(_)) if self.is_told_to_end() => ReadOutcome::Lost(SendOutcome::NoResponse),
            Some(Err(_)) | None => ReadOutcome::Lost(SendOutcome::Disconnected),
        }
    }

    /// Returns whether the upstream was told that no more of the stream is wanted.
    fn is_told_to_end(&self) -> bool {
        let response = self.upstream_response.as_ref();
        response.is_some_and(|response| response.connection.half_close().is_closed())
    }

    /// Has the upstream of a stream that has stalled end it, if another one takes it. The stream goes on where
    /// it is while the upstream is reached and may still work on it. An upstream that has just sent bytes is
    /// left at once, as it finds the connection closed when it sends the next ones.
    async fn leave_stalled(&mut self) -> ReadOutcome {
        let cx = Rc::clone(&self.cx);
        let (Some(reservation), Some(response)) = (&self.reservation, &mut self.upstream_response)
        else {
            return ReadOutcome::Lost(SendOutcome::Broken);
        };
        let UpstreamResponse { connection, body, .. } = &mut **response;
        let Some(placement) = self.sends.admit_elsewhere(&cx, &self.call, reservation.upstream())
        else {
            self.last_progress = cx.now();
            return ReadOutcome::Continue;
        };

        if cx.now().since(self.last_received) < MAX_WRITE_GAP {
            return ReadOutcome::Stalled(Box::new(placement));
        }
        let next = UpstreamReservation::new(&cx, &self.call, &placement);
        let (half_close, address) = (connection.half_close(), connection.address());
        let outcome = match end_run(&cx, &self.call, half_close, address, body.frame()).await {
            RunEnd::Unreached => ReadOutcome::Lost(SendOutcome::NoResponse),
            RunEnd::Runs => {
                self.last_progress = cx.now();
                ReadOutcome::Continue
            }
            RunEnd::Came(frame) => self.on_frame(frame),
        };
        match outcome {
            ReadOutcome::Lost(SendOutcome::NoResponse) => {
                next.hand_over();
                ReadOutcome::Stalled(Box::new(placement))
            }
            outcome => {
                next.withdraw();
                outcome
            }
        }
    }

    /// Buffers bytes of the upstream.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the send when there is no memory for them, or the incomplete event is too large.
    fn push(&mut self, data: &[u8]) -> Result<(), SendOutcome> {
        if self.events.len() + data.len() > MAX_EVENT_BYTES {
            return Err(SendOutcome::TooLarge);
        }
        if !self.buffer.try_resize(self.events.memory_with(data.len())) {
            return Err(SendOutcome::without_memory(self.events.len()));
        }
        self.events.push(data);
        self.buffer.try_resize(self.events.memory_with(0));
        Ok(())
    }

    /// Returns whether the stream has stalled at its upstream.
    fn is_stalled(&self, now: Time) -> bool {
        let idle = now.since(self.last_progress);
        self.reservation.as_ref().is_none_or(|reservation| reservation.is_stalled(idle))
    }

    /// Resumes the stream at another upstream after the last event that was passed on: the one of
    /// `placement`, if there is one.
    ///
    /// # Errors
    ///
    /// Returns an error when no upstream resumes the stream.
    async fn resume(
        &mut self,
        outcome: SendOutcome,
        placement: Option<Placement>,
    ) -> Result<(), AbortReason> {
        let Some(reservation) = &self.reservation else { return Err(AbortReason::UpstreamLost) };
        let (upstream, version) =
            (reservation.upstream().to_owned(), reservation.version().clone());
        let placement =
            placement.or_else(|| self.sends.admit_elsewhere(&self.cx, &self.call, &upstream));
        self.sends.record_failure(&self.cx, &self.call, reservation, outcome, true);
        self.finish(outcome, false);
        self.events = EventBuffer::default();
        self.buffer.try_resize(0);
        self.order.on_new_upstream();
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
}
