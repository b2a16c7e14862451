//! Way of a request from its head to its answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::{Body, Incoming};
use hyper::header::HOST;
use hyper::http::request::Parts;
use sapphirespur_core::edge::{CallInfo, RouteError};
use tokio::time::timeout;

use super::answer::{Answer, Final};
use super::dialect::RequestHead;
use super::hop_headers;
use super::in_flight::Presence;
use super::send::Call;
use super::shared::{Phase, Shared};
use super::{plain, stream};

/// Time after which a client should come back when this process cannot serve at all.
const ELSEWHERE: Duration = Duration::from_millis(300);

/// Memory that is taken for a body before any of it is in, in bytes.
const FIRST_BODY_BYTES: usize = 16 * 1024;

/// Part of the time that a client waits which must have passed for it to count as returned.
const RETURNED_PART: f64 = 0.02;

/// Answers a request.
pub(super) async fn handle(cx: Rc<Shared>, req: Request<Incoming>) -> Answer {
    let mut presence = Presence::new(&cx);
    let (mut parts, body) = req.into_parts();
    let head = match cx.dialect.parse_request_head(&parts.headers) {
        Ok(head) => head,
        Err(e) => {
            if cx.may_log() {
                log::warn!(path = parts.uri.path(), error = e.to_string().as_str(); "request refused: malformed");
            }
            return Final::BadRequest.answer(&*cx.dialect, "");
        }
    };

    hop_headers::remove_hop_by_hop(&mut parts.headers);
    let id = head.attempt_id.clone();
    match route(&cx, parts, head, body, &mut presence).await {
        Ok(call) if call.route.kind.is_stream() => stream::answer(cx, call, presence).await,
        Ok(call) => plain::answer(&cx, call).await,
        Err(refusal) => {
            if cx.may_log() {
                log::info!(request = id.as_str(), status = refusal.status().as_u16(); "request refused: not routed");
            }
            refusal.answer(&*cx.dialect, &id)
        }
    }
}

/// Finds the route of a request and reads its body.
async fn route(
    cx: &Rc<Shared>,
    parts: Parts,
    head: RequestHead,
    body: Incoming,
    presence: &mut Presence,
) -> Result<Call, Final> {
    let arrived = cx.now();
    if cx.phase.get() == Phase::Closing {
        return Err(Final::NotRun(ELSEWHERE));
    }
    let Some(table) = cx.router.borrow().registry().table().cloned() else {
        return Err(Final::NotRun(ELSEWHERE));
    };

    let host = parts.headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or_default();
    let found = table.find(host, parts.uri.path(), head.key.as_deref());
    let (route, workspace) = found.map_err(|miss| refuse(cx, miss))?;
    let service = route.service_for(&head.attempt_id).ok_or(Final::NotRun(ELSEWHERE))?;

    let waits = head.remaining.unwrap_or(route.timeout);
    let remaining = waits.min(route.timeout);
    let returned_after = route.timeout.mul_f64(RETURNED_PART);
    let info = CallInfo {
        route: route.name.clone(),
        service: service.clone(),
        workspace: workspace.cloned(),
        prompt: head.prompt.clone(),
        target: route.target,
        remaining,
        is_client_retry: waits + returned_after < route.timeout,
    };
    let body = read_body(body, table.limits.max_body_bytes, presence);
    let body = timeout(remaining, body).await.map_err(|_| Final::BodyTimedOut)??;
    let until = arrived + remaining;
    Ok(Call { parts, head, body, route: route.clone(), info, arrived, until })
}

/// Returns the answer for a request without a route; a process that may know too little does not
/// say that a route or key does not exist.
fn refuse(cx: &Shared, miss: RouteError) -> Final {
    if !cx.is_record_fresh() {
        return Final::NotRun(ELSEWHERE);
    }

    match miss {
        RouteError::NoRoute => Final::NoRoute,
        RouteError::UnknownKey => Final::UnknownKey,
    }
}

async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    presence: &mut Presence,
) -> Result<Bytes, Final> {
    let announced = body.size_hint().lower();
    if announced > max_bytes as u64 {
        return Err(Final::TooLarge);
    }

    // What is announced may never come.
    let mut buf = BytesMut::with_capacity((announced as usize).min(FIRST_BODY_BYTES));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Final::BadRequest)?;
        let Ok(data) = frame.into_data() else { continue };
        if buf.len() + data.len() > max_bytes {
            return Err(Final::TooLarge);
        }
        if !presence.buffer(data.len()) {
            return Err(Final::NotRun(ELSEWHERE));
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}
