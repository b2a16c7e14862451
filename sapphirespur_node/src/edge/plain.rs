//! Calls whose answer is passed on whole.

use std::rc::Rc;
use std::time::Duration;

use hyper::Response;
use sapphirespur_core::edge::{Admission, Decline, SendOutcome};
use sapphirespur_core::name::Name;

use super::answer::{Answer, Final, whole};
use super::hop_headers;
use super::in_flight::Claim;
use super::send::{Call, Reply, Sent, read_whole, send};
use super::shared::Shared;

/// Most sends of one request, those that did not run included.
const MAX_SENDS: usize = 4;

/// Silence, in times the target, after which a call that may be repeated is sent elsewhere.
const SILENCE_PART: f64 = 3.0;

/// Sends of one request so far.
#[derive(Debug, Default)]
pub(super) struct Sends {
    /// Upstreams that were tried.
    pub tried: Vec<Name>,
    /// Sends after which the request may have run.
    pub runs: u32,
    /// Whether a send has reached an upstream.
    pub has_arrived: bool,
}

impl Sends {
    /// Returns where the request goes next.
    pub fn place(&self, cx: &Shared, call: &Call) -> Admission {
        let now = cx.now();
        let mut router = cx.router.borrow_mut();
        if self.tried.is_empty() {
            router.admit(now, &call.info)
        } else {
            router.admit_retry(now, &call.info, &self.tried, self.has_arrived)
        }
    }

    /// Notes how a send ended.
    pub fn note(
        &mut self,
        cx: &Shared,
        call: &Call,
        upstream: &str,
        outcome: SendOutcome,
        ran: bool,
    ) {
        cx.metrics.failed_send(outcome.as_str());
        self.tried.push(Name::new(upstream));
        self.has_arrived |=
            ran || matches!(outcome, SendOutcome::Rejected | SendOutcome::Misdirected);
        if ran {
            self.runs += 1;
        }
        if cx.may_log() {
            log::warn!(
                request = call.head.attempt_id.as_str(),
                upstream = upstream,
                outcome = outcome.as_str(),
                may_have_run = ran,
                sends = self.tried.len(),
                age_ms = cx.now().since(call.arrived).as_millis() as u64;
                "send failed"
            );
        }
    }

    /// Tells whether the request may be sent once more.
    pub fn may_go_on(&self, call: &Call) -> bool {
        let is_safe =
            self.runs == 0 || (call.route.kind.is_retryable() && self.runs < call.route.attempts);
        is_safe && self.tried.len() < MAX_SENDS
    }

    /// Returns the final answer when the request is not sent any more.
    pub fn give_up(&self, call: &Call, cx: &Shared, retry_after: Duration) -> Final {
        if call.left(cx.now()).is_zero() && self.runs > 0 {
            Final::TimedOut
        } else if self.runs > 0 {
            Final::OutcomeUnknown
        } else {
            Final::NotRun(retry_after)
        }
    }
}

/// Answers a call.
pub(super) async fn answer(cx: &Rc<Shared>, call: Call) -> Answer {
    let mut sends = Sends::default();
    let mut fallback: Option<Answer> = None;
    let id = call.head.attempt_id.clone();
    loop {
        let placement = match sends.place(cx, &call) {
            Ok(placement) => placement,
            Err(decline) => {
                if let Some(answer) = fallback {
                    return answer;
                }
                log_decline(cx, &call, &decline);
                let refusal = sends.give_up(&call, cx, decline.retry_after);
                return refusal.answer(&*cx.dialect, &id);
            }
        };

        let mut claim = Claim::new(cx, placement.request.clone());
        let patience = patience(cx, &call, &sends);
        let sent = send(cx, &call, &placement, &mut claim, None, patience).await;
        let (outcome, ran) = match sent {
            Sent::Reply(reply) => match finish(cx, &call, *reply).await {
                Some(answer) if answer.status().is_server_error() => {
                    fallback = Some(answer);
                    (SendOutcome::Failed, true)
                }
                Some(answer) => {
                    claim.finish(SendOutcome::Answered);
                    let workspace = call.info.workspace.as_ref().map(Name::as_str);
                    let total = cx.now().since(call.arrived);
                    cx.metrics.total(workspace, total);
                    if cx.may_log_ordinary() {
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
            },
            Sent::NotRun(outcome) => (outcome, false),
            Sent::Unknown(outcome) => (outcome, true),
        };
        sends.note(cx, &call, claim.upstream(), outcome, ran);
        claim.finish(outcome);

        if !sends.may_go_on(&call) || call.left(cx.now()).is_zero() {
            let refusal = sends.give_up(&call, cx, call.info.target);
            return fallback.unwrap_or_else(|| refusal.answer(&*cx.dialect, &id));
        }
    }
}

/// Logs why a request is not placed.
pub(super) fn log_decline(cx: &Shared, call: &Call, decline: &Decline) {
    cx.metrics.decline(decline.reason.as_str());
    if cx.may_log() {
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
fn patience(cx: &Shared, call: &Call, sends: &Sends) -> Duration {
    let left = call.left(cx.now());
    let is_last = sends.runs + 1 >= call.route.attempts;
    if is_last || !call.route.kind.is_retryable() {
        return left;
    }

    left.min(call.info.target.mul_f64(SILENCE_PART))
}

/// Reads the rest of an answer and passes it on, unless it breaks off.
pub(super) async fn finish(cx: &Shared, call: &Call, mut reply: Reply) -> Option<Answer> {
    let left = call.left(cx.now());
    let body = tokio::time::timeout(left, read_whole(&mut reply.body)).await.ok()??;
    reply.link.keep(cx);

    let mut response = Response::new(whole(body));
    *response.status_mut() = reply.parts.status;
    *response.headers_mut() = reply.parts.headers;
    hop_headers::remove_hop_by_hop(response.headers_mut());
    Some(response)
}
