//! Stand-in for a plain HTTP service; counts how often each request ran.

use std::collections::BTreeMap;
use std::io;
use std::net::TcpListener;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use futures::stream;
use serde_json::json;

use crate::serve::{json_response, read_body, serve, text_response};

/// Number of runs by request: method, URI and body, separated by spaces.
type RunCounts = Arc<Mutex<BTreeMap<String, u64>>>;

/// Serves until the process ends; each call takes `latency`.
///
/// `/standin/runs` returns the number of runs of each request, `/standin/fail` returns status 500
/// and `/standin/break` breaks off its response body. These paths are not counted as runs.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub async fn run(listener: TcpListener, latency: Duration) -> io::Result<()> {
    let runs = RunCounts::default();

    serve(listener, 1, move |req| handle(runs.clone(), latency, req)).await
}

async fn handle(runs: RunCounts, latency: Duration, mut req: Request) -> Response<BoxBody> {
    let body = String::from_utf8_lossy(&read_body(&mut req).await).into_owned();
    if req.path() == "/standin/runs" {
        return json_response(&*runs.lock().unwrap_or_else(PoisonError::into_inner));
    }
    if req.path() == "/standin/fail" {
        return text_response(StatusCode::INTERNAL_SERVER_ERROR, "failed\n");
    }

    if req.path() == "/standin/break" {
        let chunks = [Ok(Bytes::from("a part of an answer")), Err(io::Error::other("broken"))];
        return Response::build(StatusCode::OK)
            .body(BodyStream::new(stream::iter(chunks)))
            .map_into_boxed_body();
    }

    let call = format!("{} {} {body}", req.method(), req.uri());
    let run = {
        let mut runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
        let count = runs.entry(call.clone()).or_default();
        *count += 1;
        *count
    };
    tokio::time::sleep(latency).await;
    json_response(&json!({ "call": call, "run": run }))
}
