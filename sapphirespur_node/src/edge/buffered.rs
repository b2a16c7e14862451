//! Calls whose response is buffered and forwarded in one piece.

use std::rc::Rc;
use std::time::Duration;

use hyper::Response;
use sapphirespur_core::edge::{Admission, Decline, Placement, SendOutcome};
use sapphirespur_core::name::Name;

use super::guards::UpstreamReservation;
use super::head_wait::HeadWait;
use super::hop_headers;
use super::response::{ClientResponse, ErrorResponse, ResponseBody};
use super::send::{Call, SendResult, UpstreamResponse, is_failure, read_to_end, send};
use super::shared::Shared;

/// Largest number of sends of one request, including those that did not run.
const MAX_SENDS: usize = 4;

/// Largest share usage that is logged; it is infinite for a workspace that is held back for another.
const MAX_LOGGED_USAGE: f64 = 1_000.0;

/// Largest number of prompt segments in a log line.
const MAX_LOGGED_SEGMENTS: usize = 8;

/// Multiple of the target latency without a response head after which a retryable call is sent to
/// another upstream.
const RESEND_TIMEOUT_FACTOR: f64 = 3.0;

/// Failed sends of one request so far.
#[derive(Debug, Default)]
pub(super) struct SendHistory {
    /// Names of the upstreams that were tried, in order.
    pub tried: Vec<Name>,
    /// Number of sends after which the request may have run.
    pub possible_runs: u32,
    /// Whether any send reached an upstream, which makes the next one count as a retry.
    pub reached_upstream: bool,
}

impl SendHistory {
    /// Asks the router for an upstream for the next send.
    pub fn admit(&self, cx: &Shared, call: &Call) -> Admission {
        let now = cx.now();
        let mut router = cx.router.borrow_mut();
        if !self.tried.is_empty() {
            let info = call.admission_info(router.quarantine().watches_requests());
            return router.admit_retry(now, &info, &self.tried, self.reached_upstream);
        }

        let admission = router.admit(now, &call.info);
        let (workspace, prompt) = (call.info.workspace.as_ref(), call.info.prompt.as_ref());
        let mut counts = cx.workspace_counts.borrow_mut();
        match &admission {
            Ok(_) => counts.record_admitted(workspace, prompt),
            Err(decline) => counts.record_refused(workspace, prompt, decline.reason.as_str()),
        }
        admission
    }

    /// Asks the router for another upstream than `current`, which has run the request. Returns `None`
    /// when the request must not run once more or no other upstream takes it.
    pub fn admit_elsewhere(&self, cx: &Shared, call: &Call, current: &str) -> Option<Placement> {
        let runs = self.possible_runs + 1;
        let is_safe = call.route.kind.is_retryable() && runs < call.route.attempts;
        if !is_safe || self.tried.len() + 1 >= MAX_SENDS {
            return None;
        }

        let tried = [self.tried.as_slice(), &[Name::new(current)]].concat();
        let mut router = cx.router.borrow_mut();
        let info = call.admission_info(router.quarantine().watches_requests());
        router.admit_retry(cx.now(), &info, &tried, true).ok()
    }

    /// Records the failed send of a reservation.
    pub fn record_failure(
        &mut self,
        cx: &Shared,
        call: &Call,
        reservation: &UpstreamReservation,
        outcome: SendOutcome,
        may_have_run: bool,
    ) {
        cx.metrics.record_failed_send(outcome.as_str());
        self.tried.push(Name::new(reservation.upstream()));
        let is_rejected = matches!(
            outcome,
            SendOutcome::Misdirected | SendOutcome::Paused | SendOutcome::Rejected
        );
        self.reached_upstream |= may_have_run || is_rejected;
        if may_have_run {
            self.possible_runs += 1;
        }
        if cx.may_log_failure() {
            // Only under such a request an upstream may have crashed.
            let is_suspect = outcome == SendOutcome::Disconnected;
            let identity = if is_suspect { call.identity.get().to_string() } else { String::new() };
            log::warn!(
                request = call.head.attempt_id.as_str(),
                route = call.route.name.as_str(),
                workspace = call.info.workspace.as_ref().map_or("", Name::as_str),
                segments = segment_ids(call).as_str(),
                identity = identity.as_str(),
                upstream = reservation.upstream(),
                load = reservation.load().as_str(),
                events = reservation.events(),
                outcome = outcome.as_str(),
                may_have_run = may_have_run,
                sends = self.tried.len(),
                age_ms = cx.now().since(call.arrived_at).as_millis() as u64;
                "send failed"
            );
        }
    }

    /// Returns whether the request may be sent once more.
    pub fn may_retry(&self, call: &Call) -> bool {
        let is_safe = self.possible_runs == 0
            || (call.route.kind.is_retryable() && self.possible_runs < call.route.attempts);
        is_safe && self.tried.len() < MAX_SENDS
    }

    /// Returns the error for the client when the request is not sent any more.
    pub fn final_error(&self, call: &Call, cx: &Shared, retry_after: Duration) -> ErrorResponse {
        if call.time_left(cx.now()).is_zero() && self.possible_runs > 0 {
            ErrorResponse::TimedOut
        } else if self.possible_runs > 0 {
            ErrorResponse::OutcomeUnknown
        } else {
            ErrorResponse::NotRun(retry_after)
        }
    }
}

/// Sends a call until an upstream responds without a server error, and returns the response for the
/// client.
///
/// When no send succeeds, the last complete 5xx response of an upstream is forwarded, if any.
pub(super) async fn respond(cx: &Rc<Shared>, call: Call) -> ClientResponse {
    let mut sends = SendHistory::default();
    let mut fallback: Option<ClientResponse> = None;
    let id = call.head.attempt_id.clone();
    loop {
        let placement = match sends.admit(cx, &call) {
            Ok(placement) => placement,
            Err(decline) => {
                if let Some(response) = fallback {
                    return response;
                }
                log_decline(cx, &call, &decline);
                let error = sends.final_error(&call, cx, decline.retry_after);
                return error.into_response(&*cx.dialect, &id);
            }
        };

        let mut reservation = UpstreamReservation::new(cx, &call, &placement);
        let wait = HeadWait::Until(head_timeout(cx, &call, &sends));
        let sent = send(cx, &call, &placement, &mut reservation, None, wait).await;
        let (outcome, may_have_run) = match sent {
            SendResult::Response(upstream_response) => {
                match read_response(cx, &call, *upstream_response).await {
                    Ok(response) if is_failure(response.status()) => {
                        fallback = Some(response);
                        (SendOutcome::Failed, true)
                    }
                    Ok(response) => {
                        let load = reservation.load();
                        let predicted_tokens = reservation.predicted_tokens();
                        let output_tokens = reservation.output_tokens();
                        let predicted_ms = reservation.predicted_ms();
                        reservation.finish(SendOutcome::Answered);
                        let workspace = call.info.workspace.as_ref().map(Name::as_str);
                        let total = cx.now().since(call.arrived_at);
                        cx.metrics.record_total(workspace, total);
                        if cx.may_log_success() {
                            log::info!(
                                request = id.as_str(),
                                route = call.route.name.as_str(),
                                upstream = placement.instance.as_str(),
                                load = load.as_str(),
                                predicted_tokens = predicted_tokens,
                                output_tokens = output_tokens,
                                predicted_ms = predicted_ms,
                                status = response.status().as_u16(),
                                sends = sends.tried.len() + 1,
                                total_ms = total.as_millis() as u64;
                                "call completed"
                            );
                        }
                        return response;
                    }
                    Err(outcome) => (outcome, true),
                }
            }
            SendResult::NotRun(outcome) => (outcome, false),
            SendResult::Unknown(outcome) => (outcome, true),
        };
        sends.record_failure(cx, &call, &reservation, outcome, may_have_run);
        reservation.finish(outcome);

        if !sends.may_retry(&call) || call.time_left(cx.now()).is_zero() {
            let error = sends.final_error(&call, cx, call.info.target);
            return fallback.unwrap_or_else(|| error.into_response(&*cx.dialect, &id));
        }
    }
}

/// Counts and logs why a request is not admitted.
pub(super) fn log_decline(cx: &Shared, call: &Call, decline: &Decline) {
    cx.metrics.record_decline(decline.reason.as_str());
    if cx.may_log_failure() {
        log::info!(
            request = call.head.attempt_id.as_str(),
            service = call.info.service.as_str(),
            workspace = call.info.workspace.as_ref().map_or("", Name::as_str),
            reason = decline.reason.as_str(),
            share_percent = (decline.share_usage.min(MAX_LOGGED_USAGE) * 100.0) as u64,
            pressure_percent = (decline.pressure * 100.0) as u64,
            leeway_percent = (decline.over_share_factor * 100.0) as u64,
            version = cx.router.borrow().registry().table().map_or(0, |table| table.version),
            expected_ms = decline.expected_delay.map_or(0, |span| span.as_millis() as u64),
            target_ms = call.info.target.as_millis() as u64,
            retry_after_ms = decline.retry_after.as_millis() as u64;
            "request refused"
        );
    }
}

/// Returns the identities of the first shared segments of a prompt, as the log shows them.
fn segment_ids(call: &Call) -> String {
    let ids = call.info.prompt.iter().flat_map(|prompt| prompt.shared_ids.iter());
    let ids: Vec<_> = ids.take(MAX_LOGGED_SEGMENTS).map(|id| format!("{id:x}")).collect();
    ids.join(",")
}

/// Returns how long to wait for the response head before the call is sent elsewhere or fails.
fn head_timeout(cx: &Shared, call: &Call, sends: &SendHistory) -> Duration {
    let left = call.time_left(cx.now());
    let is_last = sends.possible_runs + 1 >= call.route.attempts;
    if is_last || !call.route.kind.is_retryable() {
        return left;
    }

    left.min(call.info.target.mul_f64(RESEND_TIMEOUT_FACTOR))
}

/// Reads the body of a response and builds the response for the client.
///
/// # Errors
///
/// Returns the outcome of the send when the body ends early, is late or is too large.
pub(super) async fn read_response(
    cx: &Rc<Shared>,
    call: &Call,
    mut upstream_response: UpstreamResponse,
) -> Result<ClientResponse, SendOutcome> {
    let left = call.time_left(cx.now());
    let body = read_to_end(cx, &mut upstream_response.body);
    let body = tokio::time::timeout(left, body).await.map_err(|_| SendOutcome::Broken)??;
    let parts = &upstream_response.parts;
    if body.is_empty()
        && hop_headers::has_lost_body(&call.parts.method, parts.status, &parts.headers)
    {
        return Err(SendOutcome::Disconnected);
    }
    upstream_response.connection.return_to_pool(cx);

    let mut response = Response::new(Box::pin(body) as ResponseBody);
    *response.status_mut() = upstream_response.parts.status;
    *response.headers_mut() = upstream_response.parts.headers;
    hop_headers::remove_hop_by_hop(response.headers_mut());
    Ok(response)
}
