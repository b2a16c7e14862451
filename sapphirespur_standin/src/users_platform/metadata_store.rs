//! Stand-in for the metadata store, with paged lists, watches and faults.

use std::borrow::Cow;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::{BodyExt, Collected, Full};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// Maximum number of items on a page.
const PAGE_ITEMS: usize = 5;

/// Interval between checks for leases whose time is over.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// Prefixes of keys that only operators and upstreams may write.
const FOREIGN_PREFIXES: [&str; 2] = ["op/", "servers/"];

/// Fault with which the store answers new calls; watches that wait already are not affected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFault {
    /// Answers every call correctly.
    None,
    /// Refuses every call with 503.
    Unavailable,
    /// Accepts calls and never responds.
    Unresponsive,
    /// Executes transactions and never responds to them; other calls are answered.
    WriteResponsesLost,
}

/// Value of a key with its revisions.
#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    creation_revision: u64,
    /// Lease that removes the item when it ends; zero for none.
    lease_id: u64,
}

/// Change of a key.
#[derive(Clone, Debug)]
struct Event {
    key: String,
    revision: u64,
    /// New value; absent when the key was deleted.
    item: Option<Item>,
}

/// Lease that holds.
#[derive(Clone, Copy, Debug)]
struct Lease {
    id: u64,
    ttl: Duration,
    ends_at: Instant,
}

/// State that the connections share.
#[derive(Debug)]
struct State {
    items: RefCell<BTreeMap<String, Item>>,
    /// Changes since the last compaction, oldest first.
    events: RefCell<Vec<Event>>,
    revision: Cell<u64>,
    /// Revision of the last compaction; watches from before it get status 410.
    compacted: Cell<u64>,
    fault: Cell<StoreFault>,
    /// Number of times the store was restored from a copy.
    era: Cell<u64>,
    /// Leases that hold.
    leases: RefCell<Vec<Lease>>,
    /// Number of calls of any kind.
    call_count: Cell<u32>,
    /// Number of reads of a first page.
    list_count: Cell<u32>,
    /// Number of watch calls.
    watch_count: Cell<u32>,
    /// Wakes watches after a change, a compaction or a new fault.
    changed: Notify,
}

/// Copy of the items of a store, from which it can be restored.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    items: BTreeMap<String, Item>,
    revision: u64,
}

/// Handle of a running metadata store; clones share its state.
#[derive(Clone, Debug)]
pub struct MetadataStore {
    state: Rc<State>,
    address: SocketAddr,
}

impl State {
    fn next_revision(&self) -> u64 {
        self.revision.set(self.revision.get() + 1);
        self.revision.get()
    }

    /// Writes an item at a revision of its own.
    fn put(&self, key: &str, value: &[u8], lease_id: u64) {
        self.put_at(self.next_revision(), key, value, lease_id);
    }

    /// Writes an item at a revision that was given out.
    fn put_at(&self, revision: u64, key: &str, value: &[u8], lease_id: u64) {
        let mut items = self.items.borrow_mut();
        let creation_revision = items.get(key).map_or(revision, |item| item.creation_revision);
        let item = Item { value: value.to_vec(), revision, creation_revision, lease_id };
        items.insert(key.to_owned(), item.clone());
        drop(items);
        self.publish(Event { key: key.to_owned(), revision, item: Some(item) });
    }

    /// Deletes an item at a revision of its own; does nothing when it is absent.
    fn delete(&self, key: &str) {
        if self.items.borrow().contains_key(key) {
            self.delete_at(self.next_revision(), key);
        }
    }

    /// Deletes an item at a revision that was given out; does nothing when it is absent.
    fn delete_at(&self, revision: u64, key: &str) {
        if self.items.borrow_mut().remove(key).is_some() {
            self.publish(Event { key: key.to_owned(), revision, item: None });
        }
    }

    /// Returns whether a lease holds.
    fn holds(&self, lease_id: u64) -> bool {
        self.leases.borrow().iter().any(|lease| lease.id == lease_id)
    }

    /// Ends a lease and deletes its items; returns whether it held.
    fn end_lease(&self, lease_id: u64) -> bool {
        if !self.holds(lease_id) {
            return false;
        }
        self.leases.borrow_mut().retain(|lease| lease.id != lease_id);
        let items = self.items.borrow();
        let leased = items.iter().filter(|(_, item)| item.lease_id == lease_id);
        let keys: Vec<String> = leased.map(|(key, _)| key.clone()).collect();
        drop(items);
        for key in keys {
            self.delete(&key);
        }
        true
    }

    /// Ends leases whose time is over.
    fn expire_leases(&self) {
        let now = Instant::now();
        let leases = self.leases.borrow();
        let ended = leases.iter().filter(|lease| lease.ends_at <= now).map(|lease| lease.id);
        let ended: Vec<u64> = ended.collect();
        drop(leases);
        for lease_id in ended {
            self.end_lease(lease_id);
        }
    }

    fn publish(&self, event: Event) {
        self.events.borrow_mut().push(event);
        self.changed.notify_waiters();
    }
}

impl MetadataStore {
    /// Starts a store on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot listen.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let state = Rc::new(State {
            items: RefCell::default(),
            events: RefCell::default(),
            revision: Cell::new(1),
            compacted: Cell::new(0),
            fault: Cell::new(StoreFault::None),
            era: Cell::new(1),
            leases: RefCell::default(),
            call_count: Cell::new(0),
            list_count: Cell::new(0),
            watch_count: Cell::new(0),
            changed: Notify::new(),
        });
        let store = Self { address: listener.local_addr()?, state: Rc::clone(&state) };

        let expiring = Rc::downgrade(&state);
        actix_rt::spawn(async move {
            while let Some(state) = expiring.upgrade() {
                state.expire_leases();
                drop(state);
                tokio::time::sleep(EXPIRY_INTERVAL).await;
            }
        });
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = Rc::clone(&state);
                actix_rt::spawn(async move {
                    let service = service_fn(move |req| handle(Rc::clone(&state), req));
                    // Fails when the client disconnects, which is normal.
                    let _ = Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
        Ok(store)
    }

    /// Returns the address on which the store listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how often the first page of a list was read, which starts a new listing.
    pub fn list_count(&self) -> u32 {
        self.state.list_count.get()
    }

    /// Returns how many calls of any kind arrived.
    pub fn call_count(&self) -> u32 {
        self.state.call_count.get()
    }

    /// Returns how many watch calls arrived.
    pub fn watch_count(&self) -> u32 {
        self.state.watch_count.get()
    }

    /// Sets the fault; `StoreFault::None` ends it.
    pub fn set_fault(&self, fault: StoreFault) {
        self.state.fault.set(fault);
        self.state.changed.notify_waiters();
    }

    /// Writes a JSON value.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, value.to_string().as_bytes());
    }

    /// Writes a value of arbitrary bytes, for example malformed JSON.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        self.state.put(key, value, 0);
    }

    /// Deletes a key; does nothing when it is absent.
    pub fn delete(&self, key: &str) {
        self.state.delete(key);
    }

    /// Ends all leases and deletes their items.
    pub fn end_leases(&self) {
        let leases: Vec<u64> = self.state.leases.borrow().iter().map(|lease| lease.id).collect();
        for lease_id in leases {
            self.state.end_lease(lease_id);
        }
    }

    /// Ends the lease of an item, as if its time was over; returns whether there is one.
    pub fn expire_lease_of(&self, key: &str) -> bool {
        let lease_id = self.state.items.borrow().get(key).map(|item| item.lease_id);
        lease_id.is_some_and(|lease_id| self.state.end_lease(lease_id))
    }

    /// Returns the bytes of an item; none when there is none.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        Some(self.state.items.borrow().get(key)?.value.clone())
    }

    /// Returns an item as JSON; null when there is none or it is not JSON.
    pub fn json(&self, key: &str) -> Value {
        let value = self.value(key).unwrap_or_default();
        serde_json::from_slice(&value).unwrap_or_default()
    }

    /// Returns the keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let items = self.state.items.borrow();
        items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Returns a copy of all items.
    pub fn take_copy(&self) -> StoreCopy {
        StoreCopy { items: self.state.items.borrow().clone(), revision: self.state.revision.get() }
    }

    /// Restores the store from a copy: later changes are gone, their revisions are given out again,
    /// and the era rises. Waiting watches go on as if nothing had happened.
    pub fn restore(&self, copy: &StoreCopy) {
        *self.state.items.borrow_mut() = copy.items.clone();
        self.state.leases.borrow_mut().clear();
        self.state.revision.set(copy.revision);
        self.state.events.borrow_mut().retain(|event| event.revision <= copy.revision);
        self.state.era.set(self.state.era.get() + 1);
        self.state.changed.notify_waiters();
    }

    /// Drops the history of changes; watches from an earlier revision get status 410 instead of the
    /// lost events.
    pub fn compact(&self) {
        self.state.compacted.set(self.state.revision.get());
        self.state.events.borrow_mut().clear();
        self.state.changed.notify_waiters();
    }
}

async fn handle(
    state: Rc<State>,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    state.call_count.set(state.call_count.get() + 1);
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
fn json_response(state: &State, status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = status;
    response.headers_mut().insert("store-era", HeaderValue::from(state.era.get()));
    response
}

/// Returns a parameter of the query, percent-decoded.
fn query_parameter<'a>(query: &'a str, name: &str) -> Option<Cow<'a, str>> {
    let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
    percent_decode_str(value).decode_utf8().ok()
}

/// Returns an item.
fn key(state: &State, query: &str) -> (StatusCode, Value) {
    let key = query_parameter(query, "key").unwrap_or_default();
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
    let prefix = query_parameter(query, "path_prefix").unwrap_or_default();
    let after = query_parameter(query, "after").unwrap_or_default();
    if after.is_empty() {
        state.list_count.set(state.list_count.get() + 1);
    }
    let items = state.items.borrow();
    let mut found = items.iter().filter(|(key, _)| {
        key.starts_with(&*prefix) && (after.is_empty() || key.as_str() > &*after)
    });
    let entries: Vec<Value> =
        found.by_ref().take(PAGE_ITEMS).map(|(key, item)| item_json(key, item)).collect();

    json!({"entries": entries, "has_more": found.next().is_some(), "at": state.revision.get()})
}

/// Returns the changes after a revision, or waits for one for at most `wait_ms`.
async fn watch(state: &State, query: &str) -> (StatusCode, Value) {
    state.watch_count.set(state.watch_count.get() + 1);
    let prefix = query_parameter(query, "path_prefix").unwrap_or_default();
    let after: u64 =
        query_parameter(query, "after").and_then(|text| text.parse().ok()).unwrap_or(0);
    let wait_ms = query_parameter(query, "wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
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
