//! Handling of a client's request, from its head to its response.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::{Body, Incoming};
use hyper::header::HOST;
use hyper::http::request::Parts;
use sapphirespur_core::edge::{CallInfo, RouteError, Shares};
use tokio::time::timeout;

use super::delivery::Delivery;
use super::dialect::RequestHead;
use super::guards::RequestGuard;
use super::hop_headers;
use super::lazy_identity::LazyIdentity;
use super::response::{ClientResponse, ErrorResponse};
use super::send::Call;
use super::shared::{Phase, Shared};
use super::{buffered, stream};

/// `Retry-After` of responses while this process cannot serve a request at all.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Largest buffer allocated when the first bytes of a request body arrive, in bytes.
const INITIAL_BODY_CAPACITY_BYTES: usize = 16 * 1024;

/// Fraction of the route's timeout by which a client's remaining time must be shorter for its
/// request to count as a retry.
const RETRY_MARGIN_FRACTION: f64 = 0.02;

/// Reason of refusals for lack of processor time, in metrics and logs.
const SHORT_OF_TIME: &str = "short_of_time";

/// Handles a request and returns its response, which goes to the client of `delivery`.
pub(super) async fn handle(
    cx: Rc<Shared>,
    req: Request<Incoming>,
    delivery: &Delivery,
) -> ClientResponse {
    let (mut parts, body) = req.into_parts();
    let head = match cx.dialect.parse_request_head(&parts.headers) {
        Ok(head) => head,
        Err(e) => {
            if cx.may_log_failure() {
                log::warn!(path = parts.uri.path(), error = e.to_string().as_str(); "request refused: malformed");
            }
            return ErrorResponse::BadRequest.into_response(&*cx.dialect, "");
        }
    };

    if head.is_hint_malformed {
        cx.metrics.record_malformed_hint();
    }
    hop_headers::remove_hop_by_hop(&mut parts.headers);
    let id = head.attempt_id.clone();
    let may_have_run = Rc::new(Cell::new(false));
    tokio::select! {
        biased;
        response = serve(Rc::clone(&cx), parts, head, body, Rc::clone(&may_have_run), delivery) => response,
        () = cx.answers_due.cancelled() => {
            let error = if may_have_run.get() {
                ErrorResponse::TimedOut
            } else {
                ErrorResponse::NotRun(UNAVAILABLE_RETRY_AFTER)
            };
            if cx.may_log_failure() {
                log::warn!(request = id.as_str(), status = error.status().as_u16(); "request ended by the stop");
            }
            error.into_response(&*cx.dialect, &id)
        }
    }
}

/// Serves a request until its response begins.
async fn serve(
    cx: Rc<Shared>,
    parts: Parts,
    head: RequestHead,
    body: Incoming,
    may_have_run: Rc<Cell<bool>>,
    delivery: &Delivery,
) -> ClientResponse {
    let mut request_guard = RequestGuard::new(&cx);
    let id = head.attempt_id.clone();
    let call = route_request(&cx, parts, head, body, may_have_run, &mut request_guard).await;
    match call.inspect(|call| delivery.set_deadline(call.deadline)) {
        Ok(call) if call.route.kind.is_stream() => stream::respond(cx, call, request_guard).await,
        Ok(call) => buffered::respond(&cx, call).await,
        Err(error) => {
            // A flood is counted, and logged once by the ticker.
            let is_flood = matches!(error, ErrorResponse::Busy(_));
            if !is_flood && cx.may_log_failure() {
                log::info!(request = id.as_str(), status = error.status().as_u16(); "request refused: not routed");
            }
            error.into_response(&*cx.dialect, &id)
        }
    }
}

/// Finds the route of a request and reads its body.
///
/// # Errors
///
/// Returns the error response when the request has no route, its body is too large or too late, or
/// this process cannot serve it.
async fn route_request(
    cx: &Rc<Shared>,
    parts: Parts,
    head: RequestHead,
    body: Incoming,
    may_have_run: Rc<Cell<bool>>,
    request_guard: &mut RequestGuard,
) -> Result<Call, ErrorResponse> {
    let arrived_at = cx.now();
    if cx.phase.get() == Phase::Closing {
        return Err(ErrorResponse::NotRun(UNAVAILABLE_RETRY_AFTER));
    }
    let Some(table) = cx.router.borrow().registry().table().cloned() else {
        return Err(ErrorResponse::NotRun(UNAVAILABLE_RETRY_AFTER));
    };

    let host = parts.headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or_default();
    let matched = table.find(host, parts.uri.path(), head.key.as_deref());
    let (route, workspace) = matched.map_err(|error| route_error_response(cx, error))?;
    let workspace_hash = workspace.map_or(0, Shares::name_hash);
    let client_timeout = head.remaining.unwrap_or(route.timeout);
    let waited = cx.overload.borrow().waiting_time(arrived_at);
    let mut remaining = client_timeout.min(route.timeout).saturating_sub(waited);
    if let Some(stop) = cx.stop.get() {
        remaining = remaining.min(stop.answer_by.since(arrived_at));
    }
    if let Some(retry_after) = check_overload(cx, workspace_hash, remaining) {
        let mut router = cx.router.borrow_mut();
        router.record_refused(arrived_at, &route.name, workspace, head.prompt.as_ref());
        cx.metrics.record_decline(SHORT_OF_TIME);
        let mut counts = cx.workspace_counts.borrow_mut();
        counts.record_refused(workspace, head.prompt.as_ref(), SHORT_OF_TIME);
        return Err(ErrorResponse::Busy(retry_after));
    }
    request_guard.accept();
    let service =
        route.service_for(head.split_id()).ok_or(ErrorResponse::NotRun(UNAVAILABLE_RETRY_AFTER))?;

    let retry_margin = route.timeout.mul_f64(RETRY_MARGIN_FRACTION);
    let mut info = CallInfo {
        route: route.name.clone(),
        service: service.clone(),
        workspace: workspace.cloned(),
        version: None,
        goes_on: false,
        prompt: head.prompt.clone(),
        identity: None,
        target: route.target,
        remaining,
        is_client_retry: client_timeout + retry_margin < route.timeout,
    };
    let body = read_body(body, table.limits.max_body_bytes, request_guard);
    let body = timeout(remaining, body).await.map_err(|_| ErrorResponse::BodyTimedOut)??;
    let deadline = arrived_at + remaining;
    let identity = Rc::new(LazyIdentity::new(&parts, &info, &body));
    if cx.router.borrow().quarantine().watches_requests() {
        info.identity = Some(identity.get());
    }
    Ok(Call {
        parts,
        head,
        body,
        route: route.clone(),
        info,
        identity,
        may_have_run,
        arrived_at,
        deadline,
    })
}

/// Returns the time after which the client should retry if this router is short of processor time for
/// its request, or read it when no time remained.
fn check_overload(cx: &Shared, workspace: u32, remaining: Duration) -> Option<Duration> {
    let mut overload = cx.overload.borrow_mut();
    let refusal = overload.check(workspace);
    refusal.or_else(|| remaining.is_zero().then(|| overload.refuse()))
}

/// Returns the error response for a request without a route.
///
/// While the registry state may be stale, the router does not claim that a route or key does not
/// exist.
fn route_error_response(cx: &Shared, error: RouteError) -> ErrorResponse {
    if !cx.is_registry_fresh() {
        return ErrorResponse::NotRun(UNAVAILABLE_RETRY_AFTER);
    }

    match error {
        RouteError::NoRoute => ErrorResponse::NoRoute,
        RouteError::UnknownKey => ErrorResponse::UnknownKey,
    }
}

/// Reads a request body into memory.
///
/// # Errors
///
/// Returns the error response when the body is too large, ends early or exceeds the free buffer
/// memory of the process.
async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    request_guard: &mut RequestGuard,
) -> Result<Bytes, ErrorResponse> {
    let declared_bytes = body.size_hint().lower();
    if declared_bytes > max_bytes as u64 {
        return Err(ErrorResponse::TooLarge);
    }

    let declared_bytes = declared_bytes as usize;
    let mut buf = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ErrorResponse::BadRequest)?;
        let Ok(data) = frame.into_data() else { continue };
        let len = buf.len() + data.len();
        if len > max_bytes {
            return Err(ErrorResponse::TooLarge);
        }
        if len > buf.capacity() {
            let capacity = grown_capacity(buf.capacity(), len, declared_bytes);
            if !request_guard.try_hold(capacity) {
                return Err(ErrorResponse::NotRun(UNAVAILABLE_RETRY_AFTER));
            }
            buf.reserve_exact(capacity - buf.len());
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.into())
}

/// Returns the capacity of a buffer that has to grow to `len` bytes. It doubles, so that bytes are rarely copied,
/// but to no more than is declared; the declared bytes may never arrive.
fn grown_capacity(capacity: usize, len: usize, declared_bytes: usize) -> usize {
    let doubled = (2 * capacity).max(INITIAL_BODY_CAPACITY_BYTES);
    if declared_bytes >= len { doubled.min(declared_bytes).max(len) } else { doubled.max(len) }
}
