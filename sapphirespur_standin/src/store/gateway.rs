//! HTTP interface of the key-value store.

use std::io;
use std::net::TcpListener;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use actix_http::body::{BodyStream, BoxBody};
use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use futures::stream;
use serde_json::{Value, json};

use crate::serve::{json_response, read_body, serve, text_response};
use crate::store::fault::{CallOutcome, Fault, FaultState};
use crate::store::kv_store::{KvStore, parse_number};

/// Interval at which a watch polls its key for changes.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);

/// State that the connections share.
#[derive(Debug, Default)]
struct State {
    kv: KvStore,
    faults: FaultState,
}

type Shared = Arc<Mutex<State>>;

/// Serves until the process ends.
///
/// `PUT /standin/fault` sets a [`Fault`]; `GET /standin/calls` returns the call counts by method.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub async fn run(listener: TcpListener) -> io::Result<()> {
    let state = Shared::default();

    serve(listener, 1, move |req| handle(state.clone(), req)).await
}

fn lock(state: &Shared) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle(state: Shared, mut req: Request) -> Response<BoxBody> {
    let body = read_body(&mut req).await;
    match req.path() {
        "/standin/fault" => {
            let Ok(fault) = serde_json::from_slice::<Fault>(&body) else {
                return text_response(StatusCode::BAD_REQUEST, "unknown fault\n");
            };
            lock(&state).faults.fault = fault;
            return text_response(StatusCode::OK, "set\n");
        }
        "/standin/calls" => return json_response(&lock(&state).faults.call_counts),
        _ => {}
    }

    let Some(method) = req.path().strip_prefix("/v3/") else {
        return text_response(StatusCode::NOT_FOUND, "unknown path\n");
    };
    let request: Value = serde_json::from_slice(&body).unwrap_or_default();
    let outcome = lock(&state).faults.on_call(method);
    let CallOutcome::Accepted { delay, is_response_lost } = outcome else {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "down\n");
    };
    tokio::time::sleep(delay).await;
    if method == "watch" {
        return watch(state, &request);
    }

    let response = apply(&mut lock(&state).kv, method, &request);
    if is_response_lost {
        // Exceeds the timeout of every client.
        tokio::time::sleep(Duration::from_secs(30)).await;
    }
    response.map_or_else(
        || text_response(StatusCode::NOT_FOUND, "unknown method\n"),
        |value| json_response(&value),
    )
}

/// Executes a call; returns `None` for an unknown method.
fn apply(kv: &mut KvStore, method: &str, request: &Value) -> Option<Value> {
    let now = Instant::now();
    kv.expire(now);

    Some(match method {
        "kv/range" => kv.range(request),
        "kv/put" => kv.put(request),
        "kv/deleterange" => kv.delete(request),
        "kv/txn" => kv.txn(request),
        "lease/grant" => {
            let ttl_s = parse_number(&request["TTL"]);
            let id = kv.grant_lease(now, ttl_s);
            json!({ "ID": id.to_string(), "TTL": ttl_s.to_string() })
        }
        "lease/keepalive" => {
            let id = parse_number(&request["ID"]);
            let ttl_s = if kv.keep_lease_alive(now, id, parse_number(&request["TTL"]).max(1)) {
                1
            } else {
                0
            };
            json!({ "result": { "ID": id.to_string(), "TTL": ttl_s.to_string() } })
        }
        "lease/revoke" => {
            kv.revoke_lease(parse_number(&request["ID"]));
            json!({})
        }
        _ => return None,
    })
}

/// Streams a `created` line, then a line for each change of the watched key; ends when the store
/// goes down.
fn watch(state: Shared, request: &Value) -> Response<BoxBody> {
    let key = json!({ "key": request["create_request"]["key"] });
    let last_seen = lock(&state).kv.range(&key)["kvs"].clone();
    let created = json!({ "result": { "created": true } });
    let first = Some(Bytes::from(format!("{created}\n")));

    let changes =
        stream::unfold((state, key, last_seen, first), |(state, key, last_seen, first)| async {
            if let Some(first) = first {
                return Some((Ok::<_, io::Error>(first), (state, key, last_seen, None)));
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
                    state.kv.range(&key)["kvs"].clone()
                };
                if kvs != last_seen {
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
