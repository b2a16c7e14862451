//! VM list; what is put appears after a lag.

use std::io;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};

use crate::serve::{body_of, serve, text};

#[derive(Debug)]
struct State {
    shown: Vec<u8>,
    next: Option<(Instant, Vec<u8>)>,
}

/// Serves the list until the process ends; `PUT /vms` replaces it after `lag`.
///
/// # Errors
///
/// Returns an error when the listener cannot be used.
pub async fn run(listener: TcpListener, lag: Duration, initial: Vec<u8>) -> io::Result<()> {
    let state = Arc::new(Mutex::new(State { shown: initial, next: None }));

    serve(listener, 1, move |req| handle(state.clone(), lag, req)).await
}

async fn handle(state: Arc<Mutex<State>>, lag: Duration, mut req: Request) -> Response<BoxBody> {
    let body = body_of(&mut req).await;
    let Ok(mut state) = state.lock() else {
        return text(StatusCode::INTERNAL_SERVER_ERROR, "broken");
    };
    let now = Instant::now();
    if state.next.as_ref().is_some_and(|(due, _)| *due <= now)
        && let Some((_, list)) = state.next.take()
    {
        state.shown = list;
    }

    match *req.method() {
        Method::GET => Response::build(StatusCode::OK)
            .insert_header(("content-type", "application/json"))
            .body(state.shown.clone())
            .map_into_boxed_body(),
        Method::PUT => {
            state.next = Some((now + lag, body));
            text(StatusCode::OK, "accepted\n")
        }
        _ => text(StatusCode::METHOD_NOT_ALLOWED, "unknown method\n"),
    }
}
