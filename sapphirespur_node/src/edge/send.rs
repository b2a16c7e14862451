//! One send of a call to one upstream.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::http::response;
use hyper::{Request, Uri};
use sapphirespur_core::edge::{CallInfo, Placement, Route, SendOutcome};
use sapphirespur_core::time::Time;
use tokio::time::timeout;

use super::connect::{HttpConnection, connect};
use super::dialect::{RequestHead, ResponseHead, UpstreamRequestHead};
use super::hop_headers;
use super::in_flight::Claim;
use super::pool::PoolKey;
use super::shared::Shared;

/// Time within which a connection to an upstream must open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest answer that is held in memory, in bytes.
const MAX_WHOLE_BYTES: usize = 8 * 1024 * 1024;

/// Call of a client, ready to be sent.
pub(super) struct Call {
    /// Head as the client sent it, without headers of its connection.
    pub parts: Parts,
    /// What the head tells.
    pub head: RequestHead,
    /// Body.
    pub body: Bytes,
    /// Route.
    pub route: Route,
    /// What decisions need.
    pub info: CallInfo,
    /// When the head was read.
    pub arrived: Time,
    /// When the final answer is due.
    pub until: Time,
}

/// Answer whose head is in.
pub(super) struct Reply {
    /// Head.
    pub parts: response::Parts,
    /// What the head tells.
    pub head: ResponseHead,
    /// Body.
    pub body: Incoming,
    /// Connection.
    pub link: Link,
}

/// Connection with what is needed to keep it.
pub(super) struct Link {
    connection: HttpConnection,
    key: PoolKey,
    idle: Option<Duration>,
    is_closing: bool,
}

impl Link {
    /// Keeps the connection for other requests, after the end of its answer.
    pub fn keep(self, cx: &Shared) {
        if !self.is_closing {
            cx.pool.borrow_mut().put(cx.now(), self.key, self.connection, self.idle);
        }
    }
}

/// Result of a send whose head is in, or why there is none.
pub(super) enum Sent {
    /// Upstream answers.
    Reply(Box<Reply>),
    /// Request did not run; another upstream may.
    NotRun(SendOutcome),
    /// Request may have run.
    Unknown(SendOutcome),
}

impl Call {
    /// Returns the time that is left.
    pub fn left(&self, now: Time) -> Duration {
        self.until.since(now)
    }

    /// Returns the request for an upstream.
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
            remaining: self.left(cx.now()),
            last_event_id,
        };
        cx.dialect.write_upstream_headers(req.headers_mut(), head);
        req
    }
}

/// Sends a call and waits at most `patience` for the head of the answer.
pub(super) async fn send(
    cx: &Rc<Shared>,
    call: &Call,
    placement: &Placement,
    claim: &mut Claim,
    last_event_id: Option<u64>,
    patience: Duration,
) -> Sent {
    let key = PoolKey {
        instance: placement.instance.clone(),
        started_ms: placement.request.started_ms,
        address: placement.address,
    };
    let kept = cx.pool.borrow_mut().take(cx.now(), &key);
    let mut connection = match kept {
        Some(connection) => connection,
        None => match connect(placement.address, CONNECT_TIMEOUT).await {
            Ok(connection) => connection,
            Err(e) => {
                cx.pool.borrow_mut().close(placement.address);
                log::debug!(upstream = placement.instance.as_str(), error = e.to_string().as_str(); "connect failed");
                return Sent::NotRun(SendOutcome::Broken);
            }
        },
    };
    if connection.ready().await.is_err() {
        return Sent::NotRun(SendOutcome::Broken);
    }

    let req = call.request(cx, placement, last_event_id);
    let response = match timeout(patience, connection.send(req)).await {
        Ok(Ok(response)) => response,
        Ok(Err(e)) if e.is_canceled() => return Sent::NotRun(SendOutcome::Broken),
        Ok(Err(_)) => {
            cx.pool.borrow_mut().close(placement.address);
            return Sent::Unknown(SendOutcome::Broken);
        }
        Err(_) => return Sent::Unknown(SendOutcome::NoResponse),
    };

    claim.first_event();
    let (parts, body) = response.into_parts();
    let head = cx.dialect.parse_response_head(
        parts.status.as_u16(),
        &parts.headers,
        &call.head.attempt_id,
    );
    let link = Link {
        connection,
        key,
        idle: hop_headers::keep_alive_timeout(&parts.headers),
        is_closing: hop_headers::closes_connection(&parts.headers),
    };
    judge(cx, Reply { parts, head, body, link }).await
}

/// Decides what the head of an answer means for the request.
async fn judge(cx: &Shared, reply: Reply) -> Sent {
    if reply.head.is_misdirected || reply.head.is_not_run {
        let outcome = if reply.head.is_misdirected {
            SendOutcome::Misdirected
        } else {
            SendOutcome::Rejected
        };
        // The rest of the answer is short; the connection serves on when it ends well.
        if reply.body.collect().await.is_ok() {
            reply.link.keep(cx);
        }
        return Sent::NotRun(outcome);
    }
    if !reply.head.matches_attempt || !reply.head.is_signed || reply.head.is_encoded {
        return Sent::Unknown(SendOutcome::Broken);
    }
    Sent::Reply(Box::new(reply))
}

/// Reads a whole body, or nothing when it breaks off or is too large.
pub(super) async fn read_whole(body: &mut Incoming) -> Option<Bytes> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        if whole.len() + data.len() > MAX_WHOLE_BYTES {
            return None;
        }
        whole.extend_from_slice(&data);
    }

    Some(whole.freeze())
}

/// Returns the path and query alone, as the client sent them.
fn origin_form(uri: &Uri) -> Uri {
    match uri.path_and_query() {
        Some(path) => Uri::from(path.clone()),
        None => Uri::from_static("/"),
    }
}
