//! A single send of a call to one upstream.

use std::borrow::Cow;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Body;
use hyper::http::request::Parts;
use hyper::http::response;
use hyper::{Request, StatusCode, Uri};
use sapphirespur_core::edge::{CallInfo, Placement, Route, SendOutcome};
use sapphirespur_core::time::Time;
use tokio::time::timeout;

use super::buffer_guard::BufferGuard;
use super::buffered_body::BufferedBody;
use super::buffers::BufferKind;
use super::connect::{HttpConnection, connect_counted};
use super::dialect::{RequestHead, ResponseHead, UpstreamRequestHead};
use super::guards::UpstreamReservation;
use super::half_close::HalfClose;
use super::head_wait::HeadWait;
use super::hop_headers;
use super::lazy_identity::LazyIdentity;
use super::pool::PoolKey;
use super::received_body::ReceivedBody;
use super::response_buffer::ResponseBuffer;
use super::shared::Shared;

/// Time within which a connection to an upstream must open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest response body that is buffered, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Largest body of a refusal, in bytes, and the time within which it must end for its connection to be
/// used again.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest body of a request that counts toward no limit while an upstream that has answered still reads
/// it, in bytes.
const MAX_UNCOUNTED_BYTES: usize = 16 * 1024;

/// Request of a client with its route and body, ready to be sent.
pub(super) struct Call {
    /// Head as the client sent it, without hop-by-hop headers.
    pub parts: Parts,
    /// Information parsed from the head.
    pub head: RequestHead,
    /// Complete request body.
    pub body: Bytes,
    /// Route that matched the request.
    pub route: Route,
    /// Input of the admission decision.
    pub info: CallInfo,
    /// Identity of the request.
    pub identity: Rc<LazyIdentity>,
    /// Whether the request may have run, also for the answer of a request that is ended early.
    pub may_have_run: Rc<Cell<bool>>,
    /// Time at which the head was received.
    pub arrived_at: Time,
    /// Time by which the response must end.
    pub deadline: Time,
}

/// Response of an upstream whose head was received and whose body is still to be read.
pub(super) struct UpstreamResponse {
    /// Status and headers.
    pub parts: response::Parts,
    /// Information parsed from the head.
    pub head: ResponseHead,
    /// Body, not read yet.
    pub body: ReceivedBody,
    /// Connection on which the response arrives.
    pub connection: PooledConnection,
}

/// Connection with what is needed to return it to the pool.
pub(super) struct PooledConnection {
    connection: HttpConnection,
    key: PoolKey,
    idle_timeout: Option<Duration>,
    is_closing: bool,
    /// Length of the body of the request.
    body_bytes: usize,
}

impl PooledConnection {
    /// Returns the connection to the pool after the end of its response, unless the upstream closes
    /// it.
    pub fn return_to_pool(self, cx: &Rc<Shared>) {
        if self.is_closing || self.connection.half_close().is_closed() {
            return;
        }
        if self.body_bytes > MAX_UNCOUNTED_BYTES {
            actix_rt::spawn(self.return_when_sent(Rc::clone(cx)));
            return;
        }
        cx.pool.borrow_mut().put(cx.now(), self.key, self.connection, self.idle_timeout);
    }

    /// Returns the handle that closes the write side of the connection.
    pub fn half_close(&self) -> &HalfClose {
        self.connection.half_close()
    }

    /// Returns the address of the upstream.
    pub fn address(&self) -> SocketAddr {
        self.key.address
    }

    /// Returns the connection to the pool when the upstream has read the request, which it may answer
    /// before; closes the connection if that is not soon or the memory for bodies is full.
    async fn return_when_sent(mut self, cx: Rc<Shared>) {
        let mut guard = BufferGuard::new(&cx.buffers, BufferKind::Request);
        if !guard.try_grow(self.body_bytes) {
            return;
        }
        if let Ok(Ok(())) = timeout(DRAIN_TIMEOUT, self.connection.ready()).await {
            cx.pool.borrow_mut().put(cx.now(), self.key, self.connection, self.idle_timeout);
        }
    }
}

/// Result of a send, once the response head is received or the send has failed.
pub(super) enum SendResult {
    /// A valid response head was received.
    Response(Box<UpstreamResponse>),
    /// The request did not run and may be sent to another upstream.
    NotRun(SendOutcome),
    /// The request may have run.
    Unknown(SendOutcome),
}

impl Call {
    /// Returns the time left until the deadline.
    pub fn time_left(&self, now: Time) -> Duration {
        self.deadline.since(now)
    }

    /// Returns the input of the admission decision, with the identity of the request if it is needed.
    pub fn admission_info(&self, is_identity_needed: bool) -> Cow<'_, CallInfo> {
        if !is_identity_needed || self.info.identity.is_some() {
            return Cow::Borrowed(&self.info);
        }
        Cow::Owned(CallInfo { identity: Some(self.identity.get()), ..self.info.clone() })
    }

    /// Builds the request to the upstream of `placement`.
    fn request(
        &self,
        cx: &Shared,
        placement: &Placement,
        last_event_id: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.parts.method.clone();
        *req.uri_mut() = origin_form(&self.parts.uri);
        *req.headers_mut() = self.parts.headers.clone();
        let head = UpstreamRequestHead {
            instance: &placement.instance,
            fetch_from: placement.fetch_from,
            workspace: self.info.workspace.as_ref(),
            remaining: self.time_left(cx.now()),
            last_event_id,
        };
        cx.dialect.write_upstream_headers(req.headers_mut(), head);
        req
    }
}

/// Sends a call and waits for the response head.
pub(super) async fn send(
    cx: &Rc<Shared>,
    call: &Call,
    placement: &Placement,
    reservation: &mut UpstreamReservation,
    last_event_id: Option<u64>,
    wait: HeadWait,
) -> SendResult {
    let key = PoolKey {
        instance: placement.instance.clone(),
        started_ms: placement.request.started_ms,
        address: placement.address,
    };
    let pooled = cx.pool.borrow_mut().take(cx.now(), &key);
    let mut connection = match pooled {
        Some(connection) => connection,
        None => match connect_counted(placement.address, CONNECT_TIMEOUT, &cx.buffers).await {
            Ok(connection) => connection,
            Err(e) => {
                cx.pool.borrow_mut().close(placement.address);
                log::debug!(upstream = placement.instance.as_str(), error = e.to_string().as_str(); "connect failed");
                return SendResult::NotRun(SendOutcome::Broken);
            }
        },
    };
    if connection.ready().await.is_err() {
        return SendResult::NotRun(SendOutcome::Broken);
    }

    // Opening a connection takes time in which the upstream may have begun to leave.
    if !cx.router.borrow().may_send(cx.now(), &placement.request) {
        return SendResult::NotRun(SendOutcome::Withdrawn);
    }
    // A router that is late may read the client's disconnect only after this.
    if call.time_left(cx.now()).is_zero() {
        return SendResult::NotRun(SendOutcome::Abandoned);
    }

    let req = call.request(cx, placement, last_event_id);
    let may_have_run = call.may_have_run.replace(true);
    let result = exchange(cx, call, connection, key, req, reservation, wait).await;
    if matches!(result, SendResult::NotRun(_)) {
        call.may_have_run.set(may_have_run);
    }
    result
}

/// Sends a request on a connection and waits for the response head.
async fn exchange(
    cx: &Rc<Shared>,
    call: &Call,
    mut connection: HttpConnection,
    key: PoolKey,
    req: Request<Full<Bytes>>,
    reservation: &mut UpstreamReservation,
    wait: HeadWait,
) -> SendResult {
    let half_close = connection.half_close().clone();
    let response = connection.send(req);
    let response = match wait.await_head(cx, call, &half_close, key.address, response).await {
        Some(Ok(response)) => response,
        Some(Err(e)) if e.is_canceled() => return SendResult::NotRun(SendOutcome::Broken),
        Some(Err(_)) if half_close.is_closed() => {
            return SendResult::Unknown(SendOutcome::NoResponse);
        }
        Some(Err(e)) => {
            cx.pool.borrow_mut().close(key.address);
            let outcome =
                if e.is_parse() { SendOutcome::Broken } else { SendOutcome::Disconnected };
            return SendResult::Unknown(outcome);
        }
        None => return SendResult::Unknown(SendOutcome::NoResponse),
    };

    let (parts, body) = response.into_parts();
    let head = cx.dialect.parse_response_head(
        parts.status.as_u16(),
        &parts.headers,
        &call.head.attempt_id,
    );
    reservation.on_head(&head, hop_headers::is_framed(&parts.headers));
    let connection = PooledConnection {
        connection,
        key,
        idle_timeout: hop_headers::keep_alive_timeout(&parts.headers),
        is_closing: hop_headers::closes_connection(&parts.headers),
        body_bytes: call.body.len(),
    };
    classify_response(cx, UpstreamResponse { parts, head, body, connection }).await
}

/// Classifies a response by its head.
async fn classify_response(cx: &Rc<Shared>, upstream_response: UpstreamResponse) -> SendResult {
    // A late second copy of an earlier response says nothing about this request, and nobody has asked for
    // another protocol.
    let is_informational = upstream_response.parts.status.is_informational();
    if upstream_response.head.is_of_other_attempt || is_informational {
        return SendResult::Unknown(SendOutcome::Broken);
    }
    if upstream_response.head.is_misdirected || upstream_response.head.is_not_run {
        let outcome = if upstream_response.head.is_misdirected {
            SendOutcome::Misdirected
        } else if upstream_response.head.pause.is_some() {
            SendOutcome::Paused
        } else {
            SendOutcome::Rejected
        };
        // A second copy of a refusal that names no attempt could be taken for that of the next request.
        if upstream_response.head.matches_attempt {
            actix_rt::spawn(drain(Rc::clone(cx), upstream_response));
        }
        return SendResult::NotRun(outcome);
    }
    if !upstream_response.head.matches_attempt
        || !upstream_response.head.is_signed
        || upstream_response.head.is_encoded
    {
        return SendResult::Unknown(SendOutcome::Broken);
    }
    SendResult::Response(Box::new(upstream_response))
}

/// Reads the rest of a refusal, which is short, and returns its connection to the pool; closes the
/// connection if the response does not end soon.
async fn drain(cx: Rc<Shared>, mut refusal: UpstreamResponse) {
    if let Ok(true) = timeout(DRAIN_TIMEOUT, discard(&mut refusal.body)).await {
        refusal.connection.return_to_pool(&cx);
    }
}

/// Reads the body of a refusal and drops it; returns whether it has ended, and not too late.
async fn discard(body: &mut ReceivedBody) -> bool {
    let mut read_bytes = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return false };
        read_bytes += frame.data_ref().map_or(0, Bytes::len);
        if read_bytes > MAX_REFUSAL_BYTES {
            return false;
        }
    }
    true
}

/// Reads the body of a response to its end.
///
/// # Errors
///
/// Returns the outcome of the send when the body ends early, or is too large by itself or together
/// with what the process has buffered. One that says at its start that it is too large is not read.
pub(super) async fn read_to_end(
    cx: &Shared,
    body: &mut ReceivedBody,
) -> Result<BufferedBody, SendOutcome> {
    let declared = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if declared > MAX_RESPONSE_BYTES {
        return Err(SendOutcome::TooLarge);
    }
    let mut buffer = ResponseBuffer::new(&cx.buffers, declared);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| SendOutcome::Disconnected)?;
        let Ok(data) = frame.into_data() else { continue };
        if buffer.len() + data.len() > MAX_RESPONSE_BYTES {
            return Err(SendOutcome::TooLarge);
        }
        if !buffer.try_push(&data) {
            return Err(SendOutcome::without_memory(buffer.len()));
        }
    }
    Ok(BufferedBody::new(buffer.into_parts()))
}

/// Returns whether a status says that the upstream has failed. Statuses from 600 on have no meaning and are to be taken for
/// those of a server's failure (RFC 9110, section 15).
pub(super) fn is_failure(status: StatusCode) -> bool {
    status.as_u16() >= StatusCode::INTERNAL_SERVER_ERROR.as_u16()
}

/// Returns the path and query of a URI, as the client sent them.
fn origin_form(uri: &Uri) -> Uri {
    match uri.path_and_query() {
        Some(path) => Uri::from(path.clone()),
        None => Uri::from_static("/"),
    }
}
