//! Calls of the metadata store, answered from its state.

use std::borrow::Cow;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures::stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Collected, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};

use super::{Event, Item, Lease, State, StoreFault};

/// Maximum number of items on a page.
const PAGE_ITEMS: usize = 5;

/// Bytes of values after which a page ends.
const PAGE_BYTES: usize = 1_000_000;

/// Prefixes of keys that only operators and upstreams may write.
const FOREIGN_PREFIXES: [&str; 2] = ["op/", "servers/"];

/// Pieces per second in which a response is sent whose rate is limited.
const PIECES_PER_S: u32 = 20;

/// Body of a response.
pub(super) type ResponseBody = UnsyncBoxBody<Bytes, Infallible>;

/// Answers a call.
pub(super) async fn handle(
    state: Rc<State>,
    req: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let call = state.call_count.get() + 1;
    state.call_count.set(call);
    if state.refusal_interval.get() > 0 && call.is_multiple_of(state.refusal_interval.get()) {
        return Ok(json_response(&state, StatusCode::TOO_MANY_REQUESTS, &json!({})));
    }
    let query = req.uri().query().unwrap_or_default().to_owned();
    match state.fault.get() {
        StoreFault::Unavailable => {
            return Ok(json_response(&state, StatusCode::SERVICE_UNAVAILABLE, &json!({})));
        }
        StoreFault::Unresponsive => {
            std::future::pending::<()>().await;
        }
        StoreFault::None | StoreFault::WriteResponsesLost => {}
    }

    let method = req.method().clone();
    let path = req.uri().path().to_owned();
    let request_body = req.into_body().collect().await.map(Collected::to_bytes).unwrap_or_default();
    let request_body: Value = serde_json::from_slice(&request_body).unwrap_or_default();
    let (status, body) = match path.as_str() {
        "/api/kv-key" => key(&state, &query),
        "/api/kv-txn" => transact(&state, &request_body),
        "/api/kv-lease" => lease(&state, &request_body),
        "/api/kv-range" => (StatusCode::OK, range(&state, &query)),
        "/api/kv-watch" => watch(&state, &query).await,
        _ => match (method, path.rsplit_once('/')) {
            (Method::POST, Some(("/api/kv-keep", id))) => renew_lease(&state, id),
            (Method::DELETE, Some(("/api/kv-lease-end", id))) => end_lease(&state, id),
            _ => (StatusCode::NOT_FOUND, json!({})),
        },
    };
    if path == "/api/kv-txn" && state.fault.get() == StoreFault::WriteResponsesLost {
        std::future::pending::<()>().await;
    }
    Ok(json_response(&state, status, &body))
}

/// Returns a response with the era of the store and a JSON body.
fn json_response(state: &State, status: StatusCode, body: &Value) -> Response<ResponseBody> {
    let body = Bytes::from(body.to_string());
    let mut response = Response::new(match state.bytes_per_s.get() {
        Some(bytes_per_s) => paced_body(body, bytes_per_s),
        None => UnsyncBoxBody::new(Full::new(body)),
    });
    *response.status_mut() = status;
    response.headers_mut().insert("store-era", HeaderValue::from(state.era.get()));
    response
}

/// Returns a body that is sent piece by piece.
fn paced_body(body: Bytes, bytes_per_s: usize) -> ResponseBody {
    let piece_bytes = (bytes_per_s / PIECES_PER_S as usize).max(1);
    let pieces = stream::unfold(body, move |mut rest| async move {
        if rest.is_empty() {
            return None;
        }
        tokio::time::sleep(Duration::from_secs(1) / PIECES_PER_S).await;
        let piece = rest.split_to(piece_bytes.min(rest.len()));
        Some((Ok(Frame::data(piece)), rest))
    });
    UnsyncBoxBody::new(StreamBody::new(pieces))
}

/// Returns a parameter of the query, percent-decoded if the store does so.
fn query_parameter<'a>(state: &State, query: &'a str, name: &str) -> Option<Cow<'a, str>> {
    let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
    if !state.decodes_queries.get() {
        return Some(Cow::Borrowed(value));
    }
    percent_decode_str(value).decode_utf8().ok()
}

/// Returns an item.
fn key(state: &State, query: &str) -> (StatusCode, Value) {
    let key = query_parameter(state, query, "key").unwrap_or_default();
    match state.items.borrow().get(key.as_ref()) {
        Some(item) => (StatusCode::OK, item_json(&key, item)),
        None => (StatusCode::NOT_FOUND, json!({})),
    }
}

/// Grants a lease.
fn lease(state: &State, body: &Value) -> (StatusCode, Value) {
    let ttl = Duration::from_millis(body["ttl_ms"].as_u64().unwrap_or_default());
    let id = state.next_revision();
    state.leases.borrow_mut().push(Lease { id, ttl, ends_at: Instant::now() + ttl });
    (StatusCode::OK, json!({"lease_id": id, "ttl_ms": body["ttl_ms"]}))
}

/// Renews a lease that holds.
fn renew_lease(state: &State, id: &str) -> (StatusCode, Value) {
    let mut leases = state.leases.borrow_mut();
    let lease = leases.iter_mut().find(|lease| lease.id.to_string() == id);
    let Some(lease) = lease else { return (StatusCode::NOT_FOUND, json!({})) };
    lease.ends_at = Instant::now() + lease.ttl;
    (StatusCode::OK, json!({"lease_id": lease.id, "ttl_ms": lease.ttl.as_millis() as u64}))
}

/// Ends a lease and deletes its items.
fn end_lease(state: &State, id: &str) -> (StatusCode, Value) {
    let has_ended = id.parse().is_ok_and(|lease_id| state.end_lease(lease_id));
    let status = if has_ended { StatusCode::OK } else { StatusCode::NOT_FOUND };
    (status, json!({}))
}

/// Executes a transaction if its conditions hold, at one revision.
fn transact(state: &State, body: &Value) -> (StatusCode, Value) {
    let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    let key = |row: &Value| row["key"].as_str().unwrap_or_default().to_owned();
    let current = |key: &str| state.items.borrow().get(key).map_or(0, |item| item.revision);
    let removals: Vec<String> = rows("removals").iter().filter_map(text).collect();
    let written = rows("write").iter().map(key).collect::<Vec<_>>();
    let is_foreign = |key: &String| FOREIGN_PREFIXES.iter().any(|prefix| key.starts_with(prefix));
    if written.iter().chain(&removals).any(is_foreign) {
        return (StatusCode::FORBIDDEN, json!({}));
    }
    if rows("expected_revision").iter().any(|row| row["revision"] != current(&key(row))) {
        return (StatusCode::PRECONDITION_FAILED, json!({"entries": []}));
    }
    let lease_id = |row: &Value| row["lease_id"].as_u64().unwrap_or_default();
    let holds = |row: &Value| lease_id(row) == 0 || state.holds(lease_id(row));
    if !rows("write").iter().all(holds) {
        return (StatusCode::NOT_FOUND, json!({}));
    }
    let revision = state.next_revision();
    for row in rows("write") {
        let value = STANDARD.decode(row["value"].as_str().unwrap_or_default()).unwrap_or_default();
        state.put_at(revision, &key(&row), &value, lease_id(&row));
    }
    for key in removals {
        state.delete_at(revision, &key);
    }
    (StatusCode::OK, json!({"revision": revision}))
}

/// Returns the text of a JSON string.
fn text(value: &Value) -> Option<String> {
    value.as_str().map(str::to_owned)
}

/// Returns a page of the keys with the prefix, after the key of the previous page.
fn range(state: &State, query: &str) -> Value {
    let prefix = query_parameter(state, query, "path_prefix").unwrap_or_default();
    let after = query_parameter(state, query, "after").unwrap_or_default();
    if after.is_empty() {
        state.list_count.set(state.list_count.get() + 1);
    }
    let items = state.items.borrow();
    let mut found = items.iter().filter(|(key, _)| {
        key.starts_with(&*prefix) && (after.is_empty() || key.as_str() > &*after)
    });
    let (mut entries, mut bytes) = (Vec::new(), 0);
    while entries.len() < PAGE_ITEMS
        && bytes < PAGE_BYTES
        && let Some((key, item)) = found.next()
    {
        bytes += item.value.len();
        entries.push(item_json(key, item));
    }

    json!({"entries": entries, "has_more": found.next().is_some(), "at": state.revision.get()})
}

/// Returns the changes after a revision, or waits for one for at most `wait_ms`.
async fn watch(state: &State, query: &str) -> (StatusCode, Value) {
    state.watch_count.set(state.watch_count.get() + 1);
    let prefix = query_parameter(state, query, "path_prefix").unwrap_or_default();
    let after: u64 =
        query_parameter(state, query, "after").and_then(|text| text.parse().ok()).unwrap_or(0);
    let wait_ms =
        query_parameter(state, query, "wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        // A revision that the store has not given out yet is one from before a restore.
        if after < state.compacted.get() || after > state.revision.get() {
            return (StatusCode::GONE, json!({}));
        }
        let events: Vec<Value> = state
            .events
            .borrow()
            .iter()
            .filter(|event| event.revision > after && event.key.starts_with(&*prefix))
            .map(event_json)
            .collect();
        let remaining = deadline.saturating_duration_since(Instant::now());
        if !events.is_empty() || remaining.is_zero() {
            return (StatusCode::OK, json!({"events": events, "at": state.revision.get()}));
        }
        // Woken by a change or by the timeout, the loop checks both again.
        let _ = tokio::time::timeout(remaining, state.changed.notified()).await;
    }
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({
        "key": key,
        "value": STANDARD.encode(&item.value),
        "revision": item.revision,
        "creation_revision": item.creation_revision,
        "lease_id": item.lease_id,
    })
}

fn event_json(event: &Event) -> Value {
    match &event.item {
        Some(item) => item_json(&event.key, item),
        None => json!({"key": event.key, "revision": event.revision, "deleted": true}),
    }
}
