//! Sends of a call until an upstream responds with a stream.

use std::rc::Rc;

use hyper::http::response::Parts;
use sapphirespur_core::edge::{
    Admission, BeginVerdict, DeclineReason, Placement, SendOutcome, SendRecord, StreamSend,
};
use sapphirespur_core::name::Name;

use super::super::buffered::{log_decline, read_response};
use super::super::guards::UpstreamReservation;
use super::super::head_wait::HeadWait;
use super::super::response::{ClientResponse, ErrorResponse};
use super::super::send::{SendResult, UpstreamResponse, is_failure, send};
use super::super::stream_origins;
use super::StreamRelay;
use super::stream_head::StreamHead;

impl StreamRelay {
    /// Sends the call until an upstream responds with a stream; `first` is the first placement, if
    /// it is made already.
    ///
    /// # Errors
    ///
    /// Returns the response for the client when no upstream starts a stream.
    pub(super) async fn start(
        &mut self,
        mut first: Option<Placement>,
    ) -> Result<(), ClientResponse> {
        let cx = Rc::clone(&self.cx);
        loop {
            let placement = self.place(first.take())?;
            let mut reservation = UpstreamReservation::new(&cx, &self.call, &placement);
            let recorded = self.record_send(reservation.version());
            let wait = HeadWait::UntilEnded(self.head_timeout(placement.expected_delay));
            let sent =
                send(&cx, &self.call, &placement, &mut reservation, self.order.passed_on(), wait)
                    .await;
            let (outcome, may_have_run) = match sent {
                SendResult::Response(response) if !response.parts.status.is_success() => {
                    match self.on_failure(*response, reservation).await {
                        Some(error) => return Err(error),
                        None => continue,
                    }
                }
                SendResult::Response(response) if !self.is_continued_by(&response.parts) => {
                    (SendOutcome::Broken, true)
                }
                SendResult::Response(response) => {
                    self.on_bytes_received();
                    self.last_progress = cx.now();
                    match self.begin(recorded.as_ref()).await {
                        BeginVerdict::PassOn => {
                            self.take_from(reservation, response);
                            return Ok(());
                        }
                        BeginVerdict::Elsewhere => (SendOutcome::Abandoned, true),
                        BeginVerdict::Unknown => {
                            return Err(self.error_response(ErrorResponse::OutcomeUnknown));
                        }
                    }
                }
                SendResult::NotRun(outcome) => (outcome, false),
                SendResult::Unknown(outcome) => (outcome, true),
            };
            self.sends.record_failure(&cx, &self.call, &reservation, outcome, may_have_run);
            reservation.finish(outcome);
            if !self.sends.may_retry(&self.call) || self.call.time_left(cx.now()).is_zero() {
                let error = self.sends.final_error(&self.call, &cx, self.call.info.target);
                return Err(self.error_response(error));
            }
        }
    }

    /// Returns where to send the call next; `first` is the first placement, if it is made already.
    ///
    /// # Errors
    ///
    /// Returns the response for the client when the call is not admitted.
    fn place(&mut self, first: Option<Placement>) -> Result<Placement, ClientResponse> {
        let cx = Rc::clone(&self.cx);
        if !self.call.info.goes_on {
            self.call.info.version = stream_origins::begin_version(&cx, &self.call);
        }
        let admission = first.map_or_else(|| self.sends.admit(&cx, &self.call), Admission::Ok);
        admission.map_err(|decline| {
            log_decline(&cx, &self.call, &decline);
            let error = match decline.reason {
                DeclineReason::VersionGone if self.sends.possible_runs == 0 => {
                    ErrorResponse::VersionGone
                }
                _ => self.sends.final_error(&self.call, &cx, decline.retry_after),
            };
            self.error_response(error)
        })
    }

    /// Takes the stream from an upstream whose response has begun.
    fn take_from(&mut self, reservation: UpstreamReservation, response: Box<UpstreamResponse>) {
        self.bind(reservation.version().clone());
        self.reservation = Some(reservation);
        self.head.get_or_insert_with(|| StreamHead::new(&response.parts));
        self.upstream_response = Some(response);
    }

    /// Ends a send whose upstream has responded with another status than a success. Returns the response for the
    /// client; none when the call may be sent once more.
    async fn on_failure(
        &mut self,
        response: UpstreamResponse,
        reservation: UpstreamReservation,
    ) -> Option<ClientResponse> {
        let cx = Rc::clone(&self.cx);
        let is_upstream_failure = is_failure(response.parts.status);
        let response = read_response(&cx, &self.call, response).await;
        if !is_upstream_failure && response.is_ok() {
            reservation.finish(SendOutcome::Answered);
            return response.ok();
        }
        self.sends.record_failure(&cx, &self.call, &reservation, SendOutcome::Failed, true);
        reservation.finish(SendOutcome::Failed);
        if self.sends.may_retry(&self.call) {
            return None;
        }
        let outcome_unknown = |_| self.error_response(ErrorResponse::OutcomeUnknown);
        Some(response.unwrap_or_else(outcome_unknown))
    }

    /// Builds the response for an error to the client of the call.
    fn error_response(&self, error: ErrorResponse) -> ClientResponse {
        error.into_response(&*self.cx.dialect, &self.call.head.attempt_id)
    }

    /// Returns whether a success of an upstream may go on with the stream; any may begin one.
    fn is_continued_by(&self, parts: &Parts) -> bool {
        let head = StreamHead::new(parts);
        let is_continued = match &self.head {
            Some(begun) => begun.is_continued_by(&head),
            None => self.call.head.last_event_id.is_none() || head.may_go_on(),
        };
        if !is_continued && self.cx.may_log_failure() {
            log::warn!(
                request = self.call.head.attempt_id.as_str(),
                response = head.to_string().as_str(),
                after_event = self.order.passed_on().unwrap_or_default();
                "response does not go on with the stream"
            );
        }
        is_continued
    }

    /// Binds the stream to a version: what two versions generate does not fit together.
    pub(super) fn bind(&mut self, version: Name) {
        self.call.info.version = Some(version);
        self.call.info.goes_on = true;
    }

    /// Begins to record a send of a stream that others have to know the version of. Returns the send and
    /// its record; none for a stream that goes on, or that cannot be taken up.
    pub(super) fn record_send(&mut self, version: &Name) -> Option<(StreamSend, SendRecord)> {
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
    pub(super) async fn begin(&self, recorded: Option<&(StreamSend, SendRecord)>) -> BeginVerdict {
        match recorded {
            Some((send, record)) => {
                stream_origins::begin_stream(&self.cx, &self.call, send, record).await
            }
            None => BeginVerdict::PassOn,
        }
    }
}
