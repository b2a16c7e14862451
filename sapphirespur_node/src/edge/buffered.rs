//! Calls whose answer is passed on whole.

use std::rc::Rc;
use std::time::Duration;

use hyper::Response;
use sapphirespur_core::edge::{Admission, Decline, SendOutcome};
use sapphirespur_core::name::Name;

use super::hop_headers;
use super::in_flight::UpstreamReservation;
use super::response::{ClientResponse, ErrorResponse, full_body};
use super::send::{Call, SendResult, UpstreamResponse, read_to_end, send};
use super::shared::Shared;

/// Most sends of one request, those that did not run included.
const MAX_SENDS: usize = 4;

/// Silence, in times the target, after which a call that may be repeated is sent elsewhere.
const RESEND_TIMEOUT_FACTOR: f64 = 3.0;

/// Sends of one request so far.
#[derive(Debug, Default)]
pub(super) struct SendHistory {
    /// Upstreams that were tried.
    pub tried: Vec<Name>,
    /// Sends after which the request may have run.
    pub possible_runs: u32,
    /// Whether a send has reached an upstream.
    pub reached_upstream: bool,
}

impl SendHistory {
    /// Returns where the request goes next.
    pub fn admit(&self, cx: &Shared, call: &Call) -> Admission {
        let now = cx.now();
        let mut router = cx.router.borrow_mut();
        if self.tried.is_empty() {
            router.admit(now, &call.info)
        } else {
            router.admit_retry(now, &call.info, &self.tried, self.reached_upstream)
        }
    }

    /// Notes how a send ended.
    pub fn record_failure(
        &mut self,
        cx: &Shared,
        call: &Call,
        upstream: &str,
        outcome: SendOutcome,
        may_have_run: bool,
    ) {
        cx.metrics.record_failed_send(outcome.as_str());
        self.tried.push(Name::new(upstream));
        self.reached_upstream |=
            may_have_run || matches!(outcome, SendOutcome::Rejected | SendOutcome::Misdirected);
        if may_have_run {
            self.possible_runs += 1;
        }
        if cx.may_log_failure() {
            log::warn!(
                request = call.head.attempt_id.as_str(),
                upstream = upstream,
                outcome = outcome.as_str(),
                may_have_run = may_have_run,
                sends = self.tried.len(),
                age_ms = cx.now().since(call.arrived_at).as_millis() as u64;
                "send failed"
            );
        }
    }

    /// Tells whether the request may be sent once more.
    pub fn may_retry(&self, call: &Call) -> bool {
        let is_safe = self.possible_runs == 0
            || (call.route.kind.is_retryable() && self.possible_runs < call.route.attempts);
        is_safe && self.tried.len() < MAX_SENDS
    }

    /// Returns the final answer when the request is not sent any more.
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

/// Answers a call.
pub(super) async fn respond(cx: &Rc<Shared>, call: Call) -> ClientResponse {
    let mut sends = SendHistory::default();
    let mut fallback: Option<ClientResponse> = None;
    let id = call.head.attempt_id.clone();
    loop {
        let placement = match sends.admit(cx, &call) {
            Ok(placement) => placement,
            Err(decline) => {
                if let Some(answer) = fallback {
                    return answer;
                }
                log_decline(cx, &call, &decline);
                let refusal = sends.final_error(&call, cx, decline.retry_after);
                return refusal.into_response(&*cx.dialect, &id);
            }
        };

        let mut reservation = UpstreamReservation::new(cx, placement.request.clone());
        let head_timeout = head_timeout(cx, &call, &sends);
        let sent = send(cx, &call, &placement, &mut reservation, None, head_timeout).await;
        let (outcome, may_have_run) = match sent {
            SendResult::Response(upstream_response) => {
                match read_response(cx, &call, *upstream_response).await {
                    Some(answer) if answer.status().is_server_error() => {
                        fallback = Some(answer);
                        (SendOutcome::Failed, true)
                    }
                    Some(answer) => {
                        reservation.finish(SendOutcome::Answered);
                        let workspace = call.info.workspace.as_ref().map(Name::as_str);
                        let total = cx.now().since(call.arrived_at);
                        cx.metrics.record_total(workspace, total);
                        if cx.may_log_success() {
                            log::info!(
                                request = id.as_str(),
                                route = call.route.name.as_str(),
                                upstream = placement.instance.as_str(),
                                status = answer.status().as_u16(),
                                sends = sends.tried.len() + 1,
                                total_ms = total.as_millis() as u64;
                                "call answered"
                            );
                        }
                        return answer;
                    }
                    None => (SendOutcome::Broken, true),
                }
            }
            SendResult::NotRun(outcome) => (outcome, false),
            SendResult::Unknown(outcome) => (outcome, true),
        };
        sends.record_failure(cx, &call, reservation.upstream(), outcome, may_have_run);
        reservation.finish(outcome);

        if !sends.may_retry(&call) || call.time_left(cx.now()).is_zero() {
            let refusal = sends.final_error(&call, cx, call.info.target);
            return fallback.unwrap_or_else(|| refusal.into_response(&*cx.dialect, &id));
        }
    }
}

/// Logs why a request is not placed.
pub(super) fn log_decline(cx: &Shared, call: &Call, decline: &Decline) {
    cx.metrics.record_decline(decline.reason.as_str());
    if cx.may_log_failure() {
        log::info!(
            request = call.head.attempt_id.as_str(),
            service = call.info.service.as_str(),
            workspace = call.info.workspace.as_ref().map_or("", Name::as_str),
            reason = decline.reason.as_str(),
            share_percent = (decline.share_usage * 100.0) as u64,
            pressure_percent = (decline.pressure * 100.0) as u64,
            leeway_percent = (decline.over_share_factor * 100.0) as u64,
            version = cx.router.borrow().registry().table().map_or(0, |table| table.version),
            expected_ms = decline.expected.map_or(0, |span| span.as_millis() as u64),
            target_ms = call.info.target.as_millis() as u64,
            retry_after_ms = decline.retry_after.as_millis() as u64;
            "request refused"
        );
    }
}

/// Returns how long an answer may take before the call is sent elsewhere, or given up.
fn head_timeout(cx: &Shared, call: &Call, sends: &SendHistory) -> Duration {
    let left = call.time_left(cx.now());
    let is_last = sends.possible_runs + 1 >= call.route.attempts;
    if is_last || !call.route.kind.is_retryable() {
        return left;
    }

    left.min(call.info.target.mul_f64(RESEND_TIMEOUT_FACTOR))
}

/// Reads the rest of an answer and passes it on, unless it breaks off.
pub(super) async fn read_response(
    cx: &Shared,
    call: &Call,
    mut upstream_response: UpstreamResponse,
) -> Option<ClientResponse> {
    let left = call.time_left(cx.now());
    let body =
        tokio::time::timeout(left, read_to_end(&mut upstream_response.body)).await.ok()??;
    upstream_response.connection.return_to_pool(cx);

    let mut response = Response::new(full_body(body));
    *response.status_mut() = upstream_response.parts.status;
    *response.headers_mut() = upstream_response.parts.headers;
    hop_headers::remove_hop_by_hop(response.headers_mut());
    Some(response)
}
