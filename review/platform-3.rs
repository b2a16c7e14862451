//! Stand-ins for the review's scripts: the platform's store, runners, clients and the supervisor of the
//! routers. They use the standard library only and follow the users' pages.

#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), started: Instant::now() })
    }

    pub fn ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {text}", self.ms());
    }
}

// JSON

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut at = 0;
        parse_json(bytes, &mut at)
    }
}

fn skip_space(b: &[u8], at: &mut usize) {
    while *at < b.len() && b[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_json(b: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(b, at);
    match *b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(b, at);
                if *b.get(*at)? == b'}' {
                    *at += 1;
                    return Some(Json::Object(fields));
                }
                if *b.get(*at)? == b',' {
                    *at += 1;
                    continue;
                }
                let Json::Text(key) = parse_json(b, at)? else { return None };
                skip_space(b, at);
                *at += 1;
                fields.push((key, parse_json(b, at)?));
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_space(b, at);
                match *b.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(parse_json(b, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut out = Vec::new();
            loop {
                let c = *b.get(*at)?;
                *at += 1;
                match c {
                    b'"' => return String::from_utf8(out).ok().map(Json::Text),
                    b'\\' => {
                        let e = *b.get(*at)?;
                        *at += 1;
                        match e {
                            b'n' => out.push(b'\n'),
                            b't' => out.push(b'\t'),
                            b'r' => out.push(b'\r'),
                            b'u' => {
                                let code = std::str::from_utf8(b.get(*at..*at + 4)?).ok()?;
                                *at += 4;
                                let c = char::from_u32(u32::from_str_radix(code, 16).ok()?)?;
                                out.extend_from_slice(c.to_string().as_bytes());
                            }
                            other => out.push(other),
                        }
                    }
                    other => out.push(other),
                }
            }
        }
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *at;
            while *at < b.len() && matches!(b[*at], b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E')
            {
                *at += 1;
            }
            std::str::from_utf8(&b[start..*at]).ok()?.parse().ok().map(Json::Number)
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

// base64

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode64(bytes: &[u8]) -> String {
    let mut out = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for part in bytes.chunks(3) {
        let n = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= part.len() {
                out.push(ALPHABET[(n >> (18 - 6 * i) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn decode64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut n, mut bits) = (0_u32, 0);
    for c in text.bytes() {
        let Some(value) = ALPHABET.iter().position(|a| *a == c) else { continue };
        n = n << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((n >> bits) as u8);
            n &= (1 << bits) - 1;
        }
    }
    out
}

// HTTP

#[derive(Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or_default()
    }
}

/// Reads the head of a message; none at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        let (name, value) = text.split_once(':').unwrap_or((text, ""));
        message.headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Reads a body with a length or in chunks.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if message.header("transfer-encoding").is_some_and(|v| v.contains("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = line.trim().split(';').next().unwrap_or_default();
            let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut part = vec![0; size + 2];
            reader.read_exact(&mut part)?;
            if size == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&part[..size]);
        }
    }
    let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    message.body = body;
    Ok(())
}

fn percent_decode(text: &str) -> String {
    let b = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < b.len() {
        if b[i] == b'%' && i + 2 < b.len() {
            if let Ok(n) = u8::from_str_radix(&text[i + 1..i + 3], 16) {
                out.push(n);
                i += 3;
                continue;
            }
        }
        out.push(b[i]);
        i += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

// Store

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    items: BTreeMap<String, Item>,
    revision: u64,
    /// Changes by revision: key and value, or its removal.
    history: Vec<(u64, String, Option<Vec<u8>>)>,
    leases: HashMap<u64, Instant>,
    next_lease: u64,
    /// Number of restores, and the revision before which there is no history since the last one.
    era: u64,
    base: u64,
    is_away: bool,
}

/// Copy of the store's items, from which it may come back.
pub struct StoreCopy {
    items: BTreeMap<String, Item>,
    revision: u64,
}

impl StoreState {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        self.history.push((revision, key.to_owned(), Some(value.clone())));
        self.items.insert(key.to_owned(), Item { value, revision, created, lease });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, until)| **until <= now).map(|(id, _)| *id).collect();
        for id in &ended {
            self.leases.remove(id);
            self.end_lease(*id);
        }
        !ended.is_empty()
    }

    fn end_lease(&mut self, id: u64) {
        let keys: Vec<String> =
            self.items.iter().filter(|(_, i)| i.lease == id).map(|(k, _)| k.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
    }
}

/// The platform's metadata store: it is sound, and loses nothing.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let state = StoreState { revision: 1, ..StoreState::default() };
        let store = Self { state: Arc::new((Mutex::new(state), Condvar::new())), address };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    pub fn put(&self, key: &str, value: &[u8]) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        state.put(key, value.to_vec(), 0);
        // History that every watch has passed long ago is dropped.
        let excess = state.history.len().saturating_sub(2_000);
        state.history.drain(..excess);
        self.state.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        self.state.1.notify_all();
    }

    pub fn copy(&self) -> StoreCopy {
        let state = self.state.0.lock().unwrap();
        StoreCopy { items: state.items.clone(), revision: state.revision }
    }

    /// Is away for a moment, and comes back from an older copy of its items.
    pub fn restore(&self, copy: StoreCopy, away: Duration) {
        self.state.0.lock().unwrap().is_away = true;
        self.state.1.notify_all();
        thread::sleep(away);
        let mut state = self.state.0.lock().unwrap();
        state.items = copy.items;
        state.revision = copy.revision;
        state.base = copy.revision;
        state.history.clear();
        state.leases.clear();
        state.era += 1;
        state.is_away = false;
    }

    /// Returns the number of restores; none while the store is away.
    fn era(&self) -> Option<u64> {
        let state = self.state.0.lock().unwrap();
        (!state.is_away).then_some(state.era)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = read_head(&mut reader) {
            if read_body(&mut reader, &mut request).is_err() {
                return;
            }
            let Some(era) = self.era() else { return };
            let (status, body) = self.answer(&request);
            if self.era() != Some(era) {
                return;
            }
            let head = format!(
                "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {}\r\n\r\n",
                body.len()
            );
            if out.write_all(head.as_bytes()).and_then(|()| out.write_all(body.as_bytes())).is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(k, v)| (k.to_owned(), percent_decode(v)))
            .collect();
        let get = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        if state.expire() {
            changed.notify_all();
        }
        match (request.method(), path) {
            ("GET", "/api/kv-key") => match state.items.get(&get("key")) {
                Some(item) => {
                    let text = item_text(&get("key"), item);
                    (200, format!("{},\"at\":{}}}", &text[..text.len() - 1], state.revision))
                }
                None => (404, format!("{{\"at\":{}}}", state.revision)),
            },
            ("GET", "/api/kv-range") => {
                let (prefix, after) = (get("path_prefix"), get("after"));
                let (mut entries, mut bytes, mut more) = (Vec::new(), 0, false);
                for (key, item) in state.items.range(prefix.clone()..) {
                    if !key.starts_with(&prefix) {
                        break;
                    }
                    if !after.is_empty() && *key <= after {
                        continue;
                    }
                    if entries.len() >= 500 || bytes >= 1_000_000 {
                        more = true;
                        break;
                    }
                    bytes += item.value.len();
                    entries.push(item_text(key, item));
                }
                let entries = entries.join(",");
                (
                    200,
                    format!(
                        "{{\"entries\":[{entries}],\"has_more\":{more},\"at\":{}}}",
                        state.revision
                    ),
                )
            }
            ("GET", "/api/kv-watch") => {
                let (prefix, after) = (get("path_prefix"), get("after").parse().unwrap_or(0));
                let wait = Duration::from_millis(get("wait_ms").parse().unwrap_or(0));
                let until = Instant::now() + wait.min(Duration::from_secs(30));
                if state
                    .history
                    .first()
                    .is_some_and(|(first, _, _)| after + 1 < *first && state.history.len() >= 2_000)
                {
                    return (410, "{}".to_owned());
                }
                if after < state.base || after > state.revision {
                    return (410, "{}".to_owned());
                }
                loop {
                    let events: Vec<String> = state
                        .history
                        .iter()
                        .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                        .map(|(revision, key, value)| match value {
                            Some(value) => format!(
                                "{{\"key\":{},\"revision\":{revision},\"value\":\"{}\",\"creation_revision\":{revision},\"lease_id\":0}}",
                                quote(key),
                                encode64(value)
                            ),
                            None => format!("{{\"key\":{},\"revision\":{revision},\"deleted\":true}}", quote(key)),
                        })
                        .collect();
                    let now = Instant::now();
                    if !events.is_empty() || now >= until || state.is_away {
                        return (
                            200,
                            format!(
                                "{{\"events\":[{}],\"at\":{}}}",
                                events.join(","),
                                state.revision
                            ),
                        );
                    }
                    state = changed.wait_timeout(state, until - now).unwrap().0;
                }
            }
            ("POST", "/api/kv-txn") => {
                let Some(body) = Json::parse(&request.body) else { return (400, "{}".to_owned()) };
                let rows =
                    |name: &str| body.get(name).map(|l| l.list().to_vec()).unwrap_or_default();
                let key =
                    |row: &Json| row.get("key").map(|k| k.text().to_owned()).unwrap_or_default();
                let number = |row: &Json, name: &str| row.get(name).map_or(0, Json::number);
                let holds = rows("expected_revision").iter().all(|row| {
                    let known = state.items.get(&key(row)).map_or(0, |item| item.revision);
                    known == number(row, "revision")
                });
                if !holds {
                    return (412, "{\"entries\":[]}".to_owned());
                }
                let lease = |row: &Json| number(row, "lease_id");
                if rows("write")
                    .iter()
                    .any(|row| lease(row) > 0 && !state.leases.contains_key(&lease(row)))
                {
                    return (404, "{}".to_owned());
                }
                state.revision += 1;
                for row in rows("write") {
                    let value = decode64(row.get("value").map_or("", Json::text));
                    state.put(&key(&row), value, lease(&row));
                }
                for row in rows("removals") {
                    state.remove(row.text());
                }
                changed.notify_all();
                (200, format!("{{\"revision\":{}}}", state.revision))
            }
            ("POST", "/api/kv-lease") => {
                let ttl =
                    Json::parse(&request.body).and_then(|b| b.get("ttl_ms").map(Json::number));
                let ttl = ttl.unwrap_or(1_000).clamp(1_000, 600_000);
                state.next_lease += 1;
                let id = state.next_lease;
                state.leases.insert(id, Instant::now() + Duration::from_millis(ttl));
                (200, format!("{{\"lease_id\":{id},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let id: u64 = path["/api/kv-keep/".len()..].parse().unwrap_or(0);
                match state.leases.contains_key(&id) {
                    true => (200, "{}".to_owned()),
                    false => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                let id: u64 = path["/api/kv-lease-end/".len()..].parse().unwrap_or(0);
                state.leases.remove(&id);
                state.end_lease(id);
                changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"creation_revision\":{},\"lease_id\":{}}}",
        quote(key),
        encode64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

// Runners

pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Entry that a runner publishes.
pub fn entry(
    service: &str,
    address: &str,
    zone: &str,
    slots: u32,
    born: u64,
    sequence: u64,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"combined\",\
         \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":{sequence},\"born\":{born}}}"
    )
}

/// Body of a plain answer of the runner `id` to the attempt `attempt`.
pub fn plain_body(id: &str, attempt: &str) -> String {
    format!("answer of {id} to {attempt}\n")
}

/// Request as a runner reads it, with the connection on which it answers.
pub struct Arrival<'a> {
    pub request: &'a Message,
    pub out: &'a mut TcpStream,
    pub attempt: String,
}

/// Answers a request that a runner runs. Returns whether the connection is kept.
pub type Handler = dyn Fn(&Runner, &mut Arrival<'_>) -> io::Result<bool> + Send + Sync;

#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub born: u64,
    pub address: SocketAddr,
    pub record: Record,
    pub runs: Arc<Mutex<Vec<String>>>,
    handler: Arc<Handler>,
}

impl Runner {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        slots: u32,
        record: &Record,
        handler: Arc<Handler>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let runner = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            born: wall_ms(),
            address: listener.local_addr()?,
            record: record.clone(),
            runs: Arc::default(),
            handler,
        };
        let serving = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = serving.clone();
                thread::spawn(move || runner.serve(stream));
            }
        });
        Ok(runner)
    }

    /// Returns the entry of the heartbeat with this number.
    pub fn entry(&self, sequence: u64) -> String {
        entry(&self.service, &self.address.to_string(), &self.zone, self.slots, self.born, sequence)
    }

    pub fn register(&self, store: &Store) {
        store.put(&format!("servers/{}", self.id), self.entry(1).as_bytes());
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = read_head(&mut reader) {
            if read_body(&mut reader, &mut request).is_err() {
                return;
            }
            match self.answer(&request, &mut out) {
                Ok(true) => {}
                _ => return,
            }
        }
    }

    fn answer(&self, request: &Message, out: &mut TcpStream) -> io::Result<bool> {
        if request.target() == "/health" {
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Sapphirespur-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return out.write_all(head.as_bytes()).map(|()| true);
        }
        let attempt = request.header("x-sapphirespur-attempt-id").unwrap_or_default().to_owned();
        let expected = request.header("x-sapphirespur-expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            self.record.line(&format!("{} turns {attempt} away: 421", self.id));
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Sapphirespur-Instance-Id: {}\r\n\
                 X-Sapphirespur-Attempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return out.write_all(head.as_bytes()).map(|()| true);
        }
        if attempt.is_empty() {
            let head = "HTTP/1.1 400 Bad Request\r\nX-Sapphirespur-Request-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            return out.write_all(head.as_bytes()).map(|()| true);
        }
        self.record.line(&format!(
            "{} ({}) runs {attempt}: {} expected={} last-event={}",
            self.id,
            self.service,
            request.start,
            expected.unwrap_or("-"),
            request.header("last-event-id").unwrap_or("-")
        ));
        self.runs.lock().unwrap().push(attempt.clone());
        let handler = Arc::clone(&self.handler);
        handler(self, &mut Arrival { request, out, attempt })
    }

    /// Returns the head of an answer without its framing.
    pub fn head(&self, attempt: &str) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nX-Sapphirespur-Attempt-Id: {attempt}\r\n\
             X-Sapphirespur-Server-Signature: {}.{attempt}\r\n",
            self.id
        )
    }
}

/// Handler that answers with a plain body after `work`.
pub fn plain(work: Duration) -> Arc<Handler> {
    Arc::new(move |runner: &Runner, arrival: &mut Arrival<'_>| {
        thread::sleep(work);
        let body = plain_body(&runner.id, &arrival.attempt);
        let text = format!(
            "{}Content-Length: {}\r\n\r\n{body}",
            runner.head(&arrival.attempt),
            body.len()
        );
        arrival.out.write_all(text.as_bytes())?;
        Ok(true)
    })
}

// Routers

/// Option of `prctl`: the signal that a process gets when the thread that started it ends, so that no
/// router outlives a script that is ended itself.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: usize = 9;

unsafe extern "C" {
    fn prctl(option: i32, signal: usize) -> i32;
}

/// Settings that the platform fills into the template, for a small deployment.
pub struct Deployment {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub memory_mb: u64,
    pub store: SocketAddr,
}

pub struct Router {
    pub name: String,
    pub ip: Ipv4Addr,
    pub frontend: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    program: PathBuf,
    child: Option<Child>,
    pub starts: u32,
}

fn is_free(address: SocketAddr) -> bool {
    TcpListener::bind(address).is_ok() && std::net::UdpSocket::bind(address).is_ok()
}

/// Returns loopback addresses at which all ports of a router are free.
pub fn free_ips(count: usize) -> Vec<Ipv4Addr> {
    let seed = wall_ms() ^ u64::from(std::process::id()) << 20;
    let mut found = Vec::new();
    for step in 0..2_000_u64 {
        let n = seed.wrapping_add(step).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
        let ip = Ipv4Addr::new(127, (n >> 16) as u8 | 1, (n >> 8) as u8, (n as u8).clamp(1, 254));
        if PORTS.iter().all(|port| is_free(SocketAddr::from((ip, *port)))) {
            found.push(ip);
        }
        if found.len() == count {
            break;
        }
    }
    found
}

/// Ports of a router: frontend, ready, peers, metrics, control plane.
const PORTS: [u16; 5] = [8783, 8780, 7400, 9464, 8785];

impl Router {
    pub fn start(
        deployment: &Deployment,
        name: &str,
        zone: &str,
        ip: Ipv4Addr,
        seeds: &[Ipv4Addr],
    ) -> io::Result<Self> {
        let frontend = SocketAddr::from((ip, PORTS[0]));
        let ready = SocketAddr::from((ip, PORTS[1]));
        let template = fs::read_to_string(deployment.root.join("deploy/router.ini"))?;
        let seeds: Vec<String> = seeds.iter().map(|ip| format!("{ip}:{}", PORTS[4])).collect();
        let values = [
            ("node_name", name.to_owned()),
            ("zone", zone.to_owned()),
            ("listen_addresses.frontend", frontend.to_string()),
            ("listen_addresses.ready", ready.to_string()),
            ("ip_address", ip.to_string()),
            ("internal_port_range.0", PORTS[2].to_string()),
            ("seed_nodes", seeds.join(",")),
            ("platform.address", deployment.store.to_string()),
            ("platform.writes_per_s", "400".to_owned()),
            ("bounds.drain_ms", "2000".to_owned()),
            ("bounds.config_propagation_ms", "2000".to_owned()),
            ("bounds.evacuation_ms", "5000".to_owned()),
            ("bounds.delivery_slack_ms", "120".to_owned()),
            ("limits.memory_mb", deployment.memory_mb.to_string()),
            ("limits.file_descriptors", "4100".to_owned()),
            ("bounds.grace_period_s", "8".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.retry_allowance", "54".to_owned()),
            ("bounds.retry_window_s", "10".to_owned()),
            ("bounds.cold_overshoot", "1.5".to_owned()),
            ("bounds.cold_allowance", "5".to_owned()),
            ("bounds.quota_window_s", "4".to_owned()),
        ];
        let mut text = template;
        for (key, value) in &values {
            text = text.replace(&format!("{{{{{key}}}}}"), value);
        }
        // The platform fills in nothing where it has no value.
        while let Some(from) = text.find("{{") {
            let to = text[from..].find("}}").map_or(text.len(), |end| from + end + 2);
            text.replace_range(from..to, "");
        }
        let settings = deployment.folder.join(format!("{name}.ini"));
        fs::write(&settings, text)?;
        let program = deployment.root.join("target/release/sapphirespur-edge");
        let mut router = Self {
            name: name.to_owned(),
            ip,
            frontend,
            ready,
            settings,
            program,
            child: None,
            starts: 0,
        };
        router.launch()?;
        Ok(router)
    }

    pub fn launch(&mut self) -> io::Result<()> {
        let log =
            File::options().create(true).append(true).open(self.settings.with_extension("log"))?;
        let mut command = Command::new(&self.program);
        command
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // SAFETY: `prctl` is async-signal-safe and touches no memory of the process.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command.spawn()?;
        self.child = Some(child);
        self.starts += 1;
        Ok(())
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Returns the resident memory of the process in kilobytes; zero when it has ended.
    pub fn memory_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
    }

    /// Returns how the process has ended by itself, if it has.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status.to_string())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n";
        exchange(self.ready, request.as_bytes(), Duration::from_secs(1)).status == 200
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn wait_until(span: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + span;
    while Instant::now() < until {
        if holds() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    holds()
}

// Clients

#[derive(Debug, Default)]
pub struct Reply {
    /// Zero without an answer.
    pub status: u16,
    pub signature: String,
    pub body: Vec<u8>,
    pub is_complete: bool,
    pub error: String,
}

/// Sends a request on a new connection and reads the answer to its end.
pub fn exchange(address: SocketAddr, request: &[u8], timeout: Duration) -> Reply {
    let mut reply = Reply::default();
    if let Err(e) = try_exchange(address, request, timeout, &mut reply) {
        reply.error = e.to_string();
    }
    reply
}

fn try_exchange(
    address: SocketAddr,
    request: &[u8],
    timeout: Duration,
    reply: &mut Reply,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    let mut head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    reply.status = head.status();
    reply.signature = head.header("x-sapphirespur-server-signature").unwrap_or_default().to_owned();
    let has_frame =
        head.header("content-length").is_some() || head.header("transfer-encoding").is_some();
    let result = if has_frame {
        read_body(&mut reader, &mut head)
    } else {
        reader.read_to_end(&mut head.body).map(drop)
    };
    reply.body = std::mem::take(&mut head.body);
    reply.is_complete = result.is_ok();
    result
}

/// Returns a request of a client.
pub fn request(
    method: &str,
    host: &str,
    path: &str,
    attempt: &str,
    deadline_ms: u64,
    headers: &str,
    body: &str,
) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Sapphirespur-Attempt-Id: {attempt}\r\n\
         X-Sapphirespur-Deadline-Remaining: {deadline_ms}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Numbers of attempts, unique in a run.
pub fn attempt_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", 0x5a00_0000_0000 + NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Flag that ends the threads of a scene.
#[derive(Clone, Default)]
pub struct Stop(Arc<AtomicBool>);

impl Stop {
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Returns whether the disruption is left out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
