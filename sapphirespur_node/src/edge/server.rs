//! HTTP servers for clients, the load balancer, operators and other routers.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep_until};

use super::client_stream::ClientStream;
use super::connect::set_socket_options;
use super::delivered_body::DeliveredBody;
use super::delivery::Delivery;
use super::delivery_stream::{DeliveryStream, MAX_UNSENT_BYTES};
use super::handle::handle;
use super::shared::{Phase, Shared};
use super::snapshot;
use super::status::{STATUS_PATH, status};
use super::told_changes;
use crate::http::limit_unsent;
use crate::start::StartError;

/// Length of the queue of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 1024;

/// Delay after a failed accept, for example for lack of descriptors, and between checks for a free
/// connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time for which a connection without a request stays open while connections are being closed.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Content type of the metrics.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Factor on the configured idle timeout, so that clients close idle connections first.
const IDLE_TIMEOUT_FACTOR: u32 = 2;

/// Opens a listener on `address`.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub(super) fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    let bind = || {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(LISTEN_BACKLOG)?;
        TcpListener::from_std(socket.into())
    };

    bind().map_err(|source| StartError::Listen { address, source })
}

/// Accepts and serves client connections until the process stops; then closes the listener after
/// the connections that wait to be accepted.
pub(super) async fn serve_clients(listener: TcpListener, cx: Rc<Shared>) {
    loop {
        wait_for_free_connection(&cx).await;
        tokio::select! {
            stream = accept(&listener) => spawn_client(stream, &cx),
            () = cx.stop_accepting.notified() => break,
        }
    }

    while let Some(stream) = accept(&listener).now_or_never() {
        spawn_client(stream, &cx);
    }
}

/// Serves a connection in a task of its own.
fn spawn_client(stream: TcpStream, cx: &Rc<Shared>) {
    // In a flood, most connections close after a refusal and need no options.
    if !cx.overload.borrow().is_refusing()
        && let Err(e) =
            set_socket_options(&stream).and_then(|()| limit_unsent(&stream, MAX_UNSENT_BYTES))
    {
        log::debug!(error = e.to_string().as_str(); "failed to set socket options");
    }
    // Counted before the task starts: many connections may be accepted before the first task runs.
    let guard = ConnectionGuard::new(cx);
    actix_rt::spawn(serve_client(stream, guard));
}

/// Closes idle connections until the process may accept another one.
async fn wait_for_free_connection(cx: &Shared) {
    let mut is_logged = false;
    while cx.connections.get() >= cx.settings().limits.max_connections {
        if !is_logged {
            log::warn!(connections = cx.connections.get(); "idle connections closed to make room");
            is_logged = true;
        }
        cx.closing.notify_waiters();
        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
    }
}

/// Accepts the next connection; retries after errors.
async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(e) => {
                log::warn!(error = e.to_string().as_str(); "accept failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Counts a client connection until dropped.
struct ConnectionGuard(Rc<Shared>);

impl ConnectionGuard {
    fn new(cx: &Rc<Shared>) -> Self {
        cx.connections.set(cx.connections.get() + 1);
        Self(Rc::clone(cx))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

/// Serves one client connection until it closes.
async fn serve_client(stream: TcpStream, guard: ConnectionGuard) {
    let cx = &guard.0;
    let limits =
        cx.router.borrow().registry().table().map(|table| table.limits).unwrap_or_default();
    let has_request = Cell::new(false);
    let delivery = Delivery::new(cx);
    let peer = stream.peer_addr();
    let service = service_fn(|req| {
        let cx = Rc::clone(cx);
        let delivery = Rc::clone(&delivery);
        let is_first = !has_request.replace(true);
        delivery.on_request();
        async move {
            // A client that waited to be accepted may have left; its request is dropped when that is read.
            if is_first {
                tokio::task::yield_now().await;
            }
            let mut response = handle(Rc::clone(&cx), req, &delivery).await;
            cx.metrics.record_response(response.status().as_u16());
            let is_refusal = response.status() == StatusCode::SERVICE_UNAVAILABLE;
            let is_closing = cx.phase.get() == Phase::Closing;
            if is_closing || is_refusal && cx.closes_refused_client() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response.map(|body| DeliveredBody::new(body, delivery)))
        }
    });
    let stream = DeliveryStream::new(ClientStream::new(stream), Rc::clone(&delivery));
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout * IDLE_TIMEOUT_FACTOR)
        .max_buf_size(limits.max_header_bytes.max(16 * 1024))
        .serve_connection(TokioIo::new(stream), service);

    let mut connection = pin!(connection);
    // A connection that was just accepted may have a request that is not read yet; its response
    // closes it.
    let mut is_closing = cx.phase.get() == Phase::Closing;
    let mut close_at = is_closing.then(|| Instant::now() + FIRST_REQUEST_TIMEOUT);
    loop {
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(e) = result {
                    log::debug!(error = e.to_string().as_str(); "client connection closed with an error");
                }
                log_unread(cx, &delivery, peer);
                return;
            }
            () = cx.closing.notified(), if !is_closing => {
                is_closing = true;
                let wait = if has_request.get() { Duration::ZERO } else { FIRST_REQUEST_TIMEOUT };
                close_at = Some(Instant::now() + wait);
            }
            () = sleep_until(close_at.unwrap_or_else(Instant::now)), if close_at.is_some() => {
                close_at = None;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Counts and logs a response that was ended since its client did not read it.
fn log_unread(cx: &Shared, delivery: &Delivery, peer: io::Result<SocketAddr>) {
    let Some(reason) = delivery.unread_reason() else { return };
    cx.metrics.record_unread_response(reason.as_str());
    if cx.may_log_failure() {
        log::warn!(
            client = peer.map(|peer| peer.to_string()).unwrap_or_default().as_str(),
            reason = reason.as_str(),
            blocked_ms = delivery.blocked_for().as_millis() as u64,
            bytes = delivery.bytes();
            "response not read"
        );
    }
}

/// Serves the load balancer's readiness checks.
pub(super) async fn serve_readiness(listener: TcpListener, cx: Rc<Shared>) {
    serve_simple(listener, move |req| {
        let is_readiness_path = req.uri().path() == cx.dialect.readiness_path();
        let status = match (is_readiness_path, cx.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        if is_readiness_path {
            cx.overload.borrow_mut().on_readiness_check(status == StatusCode::OK);
        }
        respond(status, "text/plain", Bytes::new())
    })
    .await;
}

/// Serves status, metrics, snapshots and changes of the registry to operators, collectors and other
/// routers.
pub(super) async fn serve_admin(listener: TcpListener, cx: Rc<Shared>) {
    serve_simple(listener, move |req| match req.uri().path() {
        STATUS_PATH => match serde_json::to_vec(&status(&cx)) {
            Ok(body) => respond(StatusCode::OK, "application/json", body.into()),
            Err(_) => respond(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", Bytes::new()),
        },
        "/metrics" => match cx.metrics.encode(&cx) {
            Ok(text) => respond(StatusCode::OK, METRICS_CONTENT_TYPE, text.into()),
            Err(_) => respond(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", Bytes::new()),
        },
        snapshot::PATH => match snapshot::encode(&cx) {
            Some(body) => respond(StatusCode::OK, "application/octet-stream", body),
            None => respond(StatusCode::SERVICE_UNAVAILABLE, "text/plain", Bytes::new()),
        },
        path if path.starts_with(told_changes::PREFIX) => match told_changes::encode(&cx, path) {
            Some(body) => respond(StatusCode::OK, "application/octet-stream", body),
            None => respond(StatusCode::SERVICE_UNAVAILABLE, "text/plain", Bytes::new()),
        },
        _ => respond(StatusCode::NOT_FOUND, "text/plain", Bytes::new()),
    })
    .await;
}

fn respond(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Answers each request on a listener with the result of `respond`; request bodies are not read.
async fn serve_simple<F>(listener: TcpListener, respond: F)
where
    F: Fn(Request<Incoming>) -> Response<Full<Bytes>> + 'static,
{
    let respond = Rc::new(respond);
    loop {
        let stream = accept(&listener).await;
        let respond = Rc::clone(&respond);
        actix_rt::spawn(async move {
            let service = service_fn(move |req| {
                let response = respond(req);
                async move { Ok::<_, Infallible>(response) }
            });
            let served = Builder::new().serve_connection(TokioIo::new(stream), service).await;
            if let Err(e) = served {
                log::debug!(error = e.to_string().as_str(); "connection closed with an error");
            }
        });
    }
}
