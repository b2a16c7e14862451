//! HTTP side of the service.

use std::io;
use std::net::TcpListener;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use actix_http::body::{BodyStream, BoxBody};
use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use futures::stream;
use serde_json::{Value, json};

use crate::serve::{body_of, json as respond, serve, text};
use crate::store::data::{Data, number};
use crate::store::fault::{Fate, Fault, FaultState};

/// Time between two looks for changes of a watched key.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Debug, Default)]
struct State {
    data: Data,
    faults: FaultState,
}

type Shared = Arc<Mutex<State>>;

/// Serves until the process ends. `PUT /standin/fault` sets a fault, `GET /standin/calls` counts.
///
/// # Errors
///
/// Returns an error when the listener cannot be used.
pub async fn run(listener: TcpListener) -> io::Result<()> {
    let state = Shared::default();

    serve(listener, 1, move |req| handle(state.clone(), req)).await
}

fn lock(state: &Shared) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle(state: Shared, mut req: Request) -> Response<BoxBody> {
    let body = body_of(&mut req).await;
    match req.path() {
        "/standin/fault" => {
            let Ok(fault) = serde_json::from_slice::<Fault>(&body) else {
                return text(StatusCode::BAD_REQUEST, "unknown fault\n");
            };
            lock(&state).faults.fault = fault;
            return text(StatusCode::OK, "set\n");
        }
        "/standin/calls" => return respond(&lock(&state).faults.calls),
        _ => {}
    }

    let Some(method) = req.path().strip_prefix("/v3/") else {
        return text(StatusCode::NOT_FOUND, "unknown path\n");
    };
    let request: Value = serde_json::from_slice(&body).unwrap_or_default();
    let fate = lock(&state).faults.on_call(method);
    let Fate::Answered { after, is_lost } = fate else {
        return text(StatusCode::SERVICE_UNAVAILABLE, "down\n");
    };
    tokio::time::sleep(after).await;
    if method == "watch" {
        return watch(state, &request);
    }

    let answer = apply(&mut lock(&state).data, method, &request);
    if is_lost {
        // Longer than any client waits.
        tokio::time::sleep(Duration::from_secs(30)).await;
    }
    answer.map_or_else(|| text(StatusCode::NOT_FOUND, "unknown method\n"), |v| respond(&v))
}

fn apply(data: &mut Data, method: &str, request: &Value) -> Option<Value> {
    let now = Instant::now();
    data.expire(now);

    Some(match method {
        "kv/range" => data.range(request),
        "kv/put" => data.put(request),
        "kv/deleterange" => data.delete(request),
        "kv/txn" => data.txn(request),
        "lease/grant" => {
            let ttl_s = number(&request["TTL"]);
            let id = data.grant(now, ttl_s);
            json!({ "ID": id.to_string(), "TTL": ttl_s.to_string() })
        }
        "lease/keepalive" => {
            let id = number(&request["ID"]);
            let ttl_s =
                if data.keep_alive(now, id, number(&request["TTL"]).max(1)) { 1 } else { 0 };
            json!({ "result": { "ID": id.to_string(), "TTL": ttl_s.to_string() } })
        }
        "lease/revoke" => {
            data.revoke(number(&request["ID"]));
            json!({})
        }
        _ => return None,
    })
}

/// Streams a line when the watched key changes.
fn watch(state: Shared, request: &Value) -> Response<BoxBody> {
    let key = json!({ "key": request["create_request"]["key"] });
    let known = lock(&state).data.range(&key)["kvs"].clone();
    let created = json!({ "result": { "created": true } });
    let first = Some(Bytes::from(format!("{created}\n")));

    let changes = stream::unfold((state, key, known, first), |(state, key, known, first)| async {
        if let Some(first) = first {
            return Some((Ok::<_, io::Error>(first), (state, key, known, None)));
        }

        loop {
            tokio::time::sleep(WATCH_INTERVAL).await;
            let kvs = {
                let state = lock(&state);
                if state.faults.fault.down {
                    return None;
                }
                if state.faults.fault.silent_watches {
                    continue;
                }
                state.data.range(&key)["kvs"].clone()
            };
            if kvs != known {
                let event = json!({ "result": { "events": [{ "kv": kvs[0] }] } });
                let line = Bytes::from(format!("{event}\n"));
                return Some((Ok(line), (state, key, kvs, None)));
            }
        }
    });
    Response::build(StatusCode::OK)
        .insert_header(("content-type", "application/json"))
        .body(BodyStream::new(Box::pin(changes)))
        .map_into_boxed_body()
}
