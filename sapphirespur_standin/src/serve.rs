//! HTTP server loop and response helpers that the stand-ins share.

use std::convert::Infallible;
use std::io;
use std::net::TcpListener;

use actix_http::body::BoxBody;
use actix_http::{HttpService, Request, Response, StatusCode};
use actix_rt::net::TcpStream;
use actix_server::Server;
use actix_service::fn_service;
use bytes::BytesMut;
use futures::StreamExt;
use serde::Serialize;

/// Serves `handler` on `listener` with `workers` threads until the process ends.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub async fn serve<H, F>(listener: TcpListener, workers: usize, handler: H) -> io::Result<()>
where
    H: Fn(Request) -> F + Clone + Send + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    Server::build()
        .workers(workers)
        .shutdown_timeout(1)
        .listen("standin", listener, move || {
            let handler = handler.clone();
            HttpService::build()
                .h1_allow_half_closed(false)
                .on_connect_ext(|stream: &TcpStream, _| disable_send_delay(stream))
                .h1(fn_service(move |req: Request| {
                    let response = handler(req);
                    async move { Ok::<_, Infallible>(response.await) }
                }))
                .tcp()
        })?
        .run()
        .await
}

/// Reads the body of a request; one that breaks off is returned as far as it was received.
pub async fn read_body(req: &mut Request) -> Vec<u8> {
    let mut payload = req.take_payload();
    let mut body = BytesMut::new();
    while let Some(Ok(chunk)) = payload.next().await {
        body.extend_from_slice(&chunk);
    }

    body.to_vec()
}

/// Returns a 200 response with `value` as JSON.
pub fn json_response(value: &impl Serialize) -> Response<BoxBody> {
    Response::build(StatusCode::OK)
        .insert_header(("content-type", "application/json"))
        .body(serde_json::to_vec(value).unwrap_or_default())
        .map_into_boxed_body()
}

/// Returns a plain-text response.
pub fn text_response(status: StatusCode, text: &str) -> Response<BoxBody> {
    Response::build(status)
        .insert_header(("content-type", "text/plain"))
        .body(text.to_owned())
        .map_into_boxed_body()
}

/// Disables Nagle's algorithm, with which the end of a short response would wait for an
/// acknowledgement.
fn disable_send_delay(stream: &TcpStream) {
    // Without the option the connection is slower but still correct.
    let _ = stream.set_nodelay(true);
}
