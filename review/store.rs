//! Stand-in for the platform's metadata store: lists, watches, leases and transactions.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::json::{Json, quote};

/// Largest number of items on a page, and the bytes of values after which it ends.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// Changes with their revisions; none where the key was deleted.
    events: Vec<(u64, String, Option<Item>)>,
    revision: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
    /// Whether every call is refused with 503.
    is_down: bool,
}

/// Store that serves until the process ends.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    /// Starts a store on a free port of a loopback address.
    pub fn start(ip: &str) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let state = State { revision: 1, ..State::default() };
        let store = Self { state: Arc::new((Mutex::new(state), Condvar::new())), address };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(request)) = connection.read_request() {
                        let (status, body) = store.handle(&request);
                        let headers = "Content-Type: application/json\r\nStore-Era: 1\r\n";
                        if connection.respond(status, headers, &body).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.expire();
            }
        });
        Ok(store)
    }

    /// Writes an item, as an operator or a runner does.
    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("not poisoned");
        state.revision += 1;
        let revision = state.revision;
        state.write(revision, key, value.as_bytes().to_vec(), 0);
        changed.notify_all();
    }

    /// Deletes an item.
    pub fn delete(&self, key: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("not poisoned");
        state.revision += 1;
        let revision = state.revision;
        state.remove(revision, key);
        changed.notify_all();
    }

    /// Sets whether the store is down.
    pub fn set_down(&self, is_down: bool) {
        let (state, changed) = &*self.state;
        state.lock().expect("not poisoned").is_down = is_down;
        changed.notify_all();
    }

    fn expire(&self) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("not poisoned");
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            state.end_lease(id);
            changed.notify_all();
        }
    }

    fn handle(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().expect("not poisoned");
        if state.is_down {
            return ("503 Service Unavailable", "{}".to_owned());
        }
        match path {
            "/api/kv-key" => state.key(parameter(query, "key")),
            "/api/kv-range" => state.range(query),
            "/api/kv-txn" => {
                let response = state.transact(&body);
                changed.notify_all();
                response
            }
            "/api/kv-lease" => state.grant(&body),
            "/api/kv-watch" => {
                drop(state);
                self.watch(query)
            }
            _ => match path.rsplit_once('/') {
                Some(("/api/kv-keep", id)) => state.keep(id.parse().unwrap_or(0)),
                Some(("/api/kv-lease-end", id)) => {
                    state.end_lease(id.parse().unwrap_or(0));
                    changed.notify_all();
                    ("200 OK", "{}".to_owned())
                }
                _ => ("404 Not Found", "{}".to_owned()),
            },
        }
    }

    fn watch(&self, query: &str) -> (&'static str, String) {
        let prefix = parameter(query, "path_prefix");
        let after: u64 = parameter(query, "after").parse().unwrap_or(0);
        let wait: u64 = parameter(query, "wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().expect("not poisoned");
        loop {
            if state.is_down {
                return ("503 Service Unavailable", "{}".to_owned());
            }
            if after > state.revision {
                return ("410 Gone", "{}".to_owned());
            }
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => format!(
                        "{{\"key\":{},\"revision\":{revision},\"deleted\":true}}",
                        quote(key)
                    ),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = state.revision;
                return ("200 OK", format!("{{\"events\":[{}],\"at\":{at}}}", events.join(",")));
            }
            state = changed.wait_timeout(state, left).expect("not poisoned").0;
        }
    }
}

impl State {
    fn write(&mut self, revision: u64, key: &str, value: Vec<u8>, lease: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, revision: u64, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let leased = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = leased.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.remove(self.revision, &key);
        }
    }

    fn key(&self, key: &str) -> (&'static str, String) {
        match self.items.get(key) {
            Some(item) => ("200 OK", item_json(key, item)),
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn range(&self, query: &str) -> (&'static str, String) {
        let (prefix, after) = (parameter(query, "path_prefix"), parameter(query, "after"));
        let mut found = self.items.iter().filter(|(key, _)| {
            key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
        });
        let (mut page, mut bytes) = (Vec::new(), 0);
        while page.len() < PAGE_ITEMS
            && bytes < PAGE_BYTES
            && let Some((key, item)) = found.next()
        {
            bytes += item.value.len();
            page.push(item_json(key, item));
        }
        let has_more = found.next().is_some();
        let (entries, at) = (page.join(","), self.revision);
        ("200 OK", format!("{{\"entries\":[{entries}],\"has_more\":{has_more},\"at\":{at}}}"))
    }

    fn grant(&mut self, body: &Json) -> (&'static str, String) {
        let ttl = body.get("ttl_ms").integer();
        self.revision += 1;
        let (id, span) = (self.revision, Duration::from_millis(ttl));
        self.leases.insert(id, (span, Instant::now() + span));
        ("200 OK", format!("{{\"lease_id\":{id},\"ttl_ms\":{ttl}}}"))
    }

    fn keep(&mut self, id: u64) -> (&'static str, String) {
        let Some((ttl, until)) = self.leases.get_mut(&id) else {
            return ("404 Not Found", "{}".to_owned());
        };
        *until = Instant::now() + *ttl;
        ("200 OK", format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
    }

    fn transact(&mut self, body: &Json) -> (&'static str, String) {
        let is_foreign = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        let writes = body.get("write").list();
        let removals = body.get("removals").list();
        if writes.iter().any(|row| is_foreign(row.get("key").text()))
            || removals.iter().any(|key| is_foreign(key.text()))
        {
            return ("403 Forbidden", "{}".to_owned());
        }
        let holds = |row: &Json| {
            let current = self.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            row.get("revision").integer() == current
        };
        if !body.get("expected_revision").list().iter().all(holds) {
            return ("412 Precondition Failed", "{\"entries\":[]}".to_owned());
        }
        let has_lease = |row: &Json| {
            let lease = row.get("lease_id").integer();
            lease == 0 || self.leases.contains_key(&lease)
        };
        if !writes.iter().all(has_lease) {
            return ("404 Not Found", "{}".to_owned());
        }
        self.revision += 1;
        let revision = self.revision;
        for row in writes {
            let value = decode_base64(row.get("value").text());
            self.write(revision, row.get("key").text(), value, row.get("lease_id").integer());
        }
        for key in removals {
            self.remove(revision, key.text());
        }
        ("200 OK", format!("{{\"revision\":{revision}}}"))
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"creation_revision\":{},\"lease_id\":{}}}",
        quote(key),
        encode_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn parameter<'a>(query: &'a str, name: &str) -> &'a str {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(own, _)| *own == name).map_or("", |(_, value)| value)
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for place in 0..4 {
            if place <= group.len() {
                out.push(ALPHABET[(bits >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

fn decode_base64(text: &str) -> Vec<u8> {
    let digits = text.bytes().filter_map(|c| ALPHABET.iter().position(|own| *own == c));
    let (mut bits, mut count, mut out) = (0_u32, 0, Vec::new());
    for digit in digits {
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    out
}
