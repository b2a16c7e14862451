//! HTTP servers that run on their own threads.

use std::convert::Infallible;
use std::io;
use std::net::TcpListener;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpService, Request, Response, StatusCode};
use actix_rt::net::TcpStream;
use actix_server::{Server, ServerHandle};
use actix_service::fn_service;
use serde::Serialize;

/// Timeout for receiving the head of a request.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for the peer to complete the close of a connection.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which an idle connection is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);

/// Timeout for open connections to finish when the server stops, in seconds.
const SHUTDOWN_TIMEOUT_S: u64 = 2;

/// Starts a server on `workers` threads; `make_handler` creates the request handler of a thread.
///
/// # Errors
///
/// Returns an error when the listener cannot be used.
pub fn start_server<M, H, F>(
    name: &str,
    listener: TcpListener,
    workers: usize,
    make_handler: M,
) -> io::Result<ServerHandle>
where
    M: Fn() -> H + Clone + Send + 'static,
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let server = Server::build()
        .workers(workers)
        .disable_signals()
        .shutdown_timeout(SHUTDOWN_TIMEOUT_S)
        .listen(name, listener, move || {
            let handler = make_handler();
            HttpService::build()
                .client_request_timeout(REQUEST_HEAD_TIMEOUT)
                .client_disconnect_timeout(DISCONNECT_TIMEOUT)
                .keep_alive(KEEP_ALIVE_TIMEOUT)
                .h1_allow_half_closed(false)
                .on_connect_ext(|stream: &TcpStream, _| disable_nagle(stream))
                .h1(fn_service(move |req: Request| {
                    let response = handler(req);
                    async move { Ok::<_, Infallible>(response.await) }
                }))
                .tcp()
        })?
        .run();

    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

/// Returns a plain-text response.
pub fn text_response(status: StatusCode, text: &'static str) -> Response<BoxBody> {
    Response::build(status)
        .insert_header(("content-type", "text/plain"))
        .body(text)
        .map_into_boxed_body()
}

/// Returns a response with `value` as JSON; its status is 500 when `value` cannot be serialised.
pub fn json_response(value: &impl Serialize) -> Response<BoxBody> {
    match serde_json::to_vec(value) {
        Ok(body) => Response::build(StatusCode::OK)
            .insert_header(("content-type", "application/json"))
            .body(body)
            .map_into_boxed_body(),
        Err(_) => text_response(StatusCode::INTERNAL_SERVER_ERROR, "the state has no encoding"),
    }
}

/// Disables Nagle's algorithm, which would hold back the end of a short response until the peer
/// acknowledges the data before it.
fn disable_nagle(stream: &TcpStream) {
    // A connection that rejects the option is slower but still works.
    let _ = stream.set_nodelay(true);
}
