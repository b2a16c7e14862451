//! Stand-in for the VM list of the platform, which shows changes only after a lag.

use std::io;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};

use crate::serve::{read_body, serve, text_response};

/// The list that is served and the one that will replace it.
#[derive(Debug)]
struct State {
    current: Vec<u8>,
    /// Next list with the time from which it is served.
    pending: Option<(Instant, Vec<u8>)>,
}

/// Serves the list until the process ends; `PUT /vms` replaces it after `lag`.
///
/// A second `PUT` within the lag replaces the pending list and restarts the lag.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub async fn run(listener: TcpListener, lag: Duration, initial: Vec<u8>) -> io::Result<()> {
    let state = Arc::new(Mutex::new(State { current: initial, pending: None }));

    serve(listener, 1, move |req| handle(state.clone(), lag, req)).await
}

async fn handle(state: Arc<Mutex<State>>, lag: Duration, mut req: Request) -> Response<BoxBody> {
    let body = read_body(&mut req).await;
    let Ok(mut state) = state.lock() else {
        return text_response(StatusCode::INTERNAL_SERVER_ERROR, "broken");
    };
    let now = Instant::now();
    if state.pending.as_ref().is_some_and(|(visible_from, _)| *visible_from <= now)
        && let Some((_, list)) = state.pending.take()
    {
        state.current = list;
    }

    match *req.method() {
        Method::GET => Response::build(StatusCode::OK)
            .insert_header(("content-type", "application/json"))
            .body(state.current.clone())
            .map_into_boxed_body(),
        Method::PUT => {
            state.pending = Some((now + lag, body));
            text_response(StatusCode::OK, "accepted\n")
        }
        _ => text_response(StatusCode::METHOD_NOT_ALLOWED, "unknown method\n"),
    }
}
