//! Stand-ins and helpers of the second review: the platform's store, runners, clients, and the router
//! as a process of its own. It uses the standard library alone.

#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Stack of a thread of a stand-in, in bytes.
const STACK_BYTES: usize = 128 * 1024;

/// Returns whether the disruption of the case is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Starts a thread with a small stack.
pub fn spawn<F: FnOnce() + Send + 'static>(f: F) -> thread::JoinHandle<()> {
    thread::Builder::new().stack_size(STACK_BYTES).spawn(f).expect("a thread starts")
}

/// Processes that were started and have not ended yet.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case because it could not run, and all processes that it started.
pub fn give_up(reason: &str) -> ! {
    eprintln!("could not run: {reason}");
    for pid in CHILDREN.lock().unwrap_or_else(|e| e.into_inner()).iter() {
        let _ = Command::new("kill").arg("-KILL").arg(pid.to_string()).status();
    }
    std::process::exit(COULD_NOT_RUN)
}

/// Ends the case like [`give_up`] when its main thread panics.
fn give_up_on_panic() {
    std::panic::set_hook(Box::new(|info| {
        if thread::current().name() == Some("main") {
            give_up(&info.to_string());
        }
        eprintln!("{info}");
    }));
}

/// Returns the time of day, in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is set").as_millis() as u64
}

/// Record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the record in the folder of the case.
    pub fn create(case: &str) -> Self {
        give_up_on_panic();
        let path = format!("review/{case}/record.txt");
        let file = File::create(&path).unwrap_or_else(|e| give_up(&format!("{path}: {e}")));
        Self { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Returns the milliseconds since the start of the case.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Writes a line with the present time.
    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms {text}\n", self.now_ms());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line, and shows it.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

// ---------------------------------------------------------------------------------------------
// JSON and base64, as far as the store needs them.

/// Value of a JSON text.
#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(HashMap<String, Json>),
}

impl Json {
    /// Parses a text; none when it is malformed.
    pub fn parse(text: &[u8]) -> Option<Self> {
        let mut at = 0;
        let value = parse_value(text, &mut at)?;
        Some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        if let Self::Table(table) = self { table.get(name) } else { None }
    }

    pub fn items(&self) -> &[Json] {
        if let Self::List(items) = self { items } else { &[] }
    }

    pub fn text(&self) -> &str {
        if let Self::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Self::Number(number) = self { *number as u64 } else { 0 }
    }
}

fn skip_space(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(text: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(text, at);
    match *text.get(*at)? {
        b'{' => {
            *at += 1;
            let mut table = HashMap::new();
            loop {
                skip_space(text, at);
                match *text.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(table));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Json::Text(name) = parse_value(text, at)? else { return None };
                        skip_space(text, at);
                        if *text.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        table.insert(name, parse_value(text, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(text, at);
                match *text.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(text, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut out = Vec::new();
            loop {
                let byte = *text.get(*at)?;
                *at += 1;
                match byte {
                    b'"' => return String::from_utf8(out).ok().map(Json::Text),
                    b'\\' => {
                        let byte = *text.get(*at)?;
                        *at += 1;
                        out.push(match byte {
                            b'n' => b'\n',
                            b't' => b'\t',
                            byte => byte,
                        });
                    }
                    byte => out.push(byte),
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
            while text.get(*at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                *at += 1;
            }
            std::str::from_utf8(&text[start..*at]).ok()?.parse().ok().map(Json::Number)
        }
    }
}

/// Encodes bytes in standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for index in 0..4 {
            if index <= chunk.len() {
                out.push(char::from(DIGITS[(bits >> (18 - 6 * index) & 63) as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---------------------------------------------------------------------------------------------
// HTTP messages.

/// Head of a message: its first line, and its headers with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    fn length(&self) -> Option<usize> {
        self.get("content-length")?.parse().ok()
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }
}

/// Connection that is read message by message.
pub struct Wire {
    pub stream: TcpStream,
    buf: Vec<u8>,
    at: usize,
    /// Bytes that were read in all.
    pub received: u64,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new(), at: 0, received: 0 }
    }

    /// Connects within a second.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, Duration::from_secs(1))?))
    }

    fn fill(&mut self) -> io::Result<()> {
        if self.at > 0 {
            self.buf.drain(..self.at);
            self.at = 0;
        }
        let mut piece = [0; 8192];
        let count = self.stream.read(&mut piece)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.received += count as u64;
        self.buf.extend_from_slice(&piece[..count]);
        Ok(())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            let rest = &self.buf[self.at..];
            if let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
                let line = String::from_utf8_lossy(&rest[..end]).trim_end().to_owned();
                self.at += end + 1;
                return Ok(line);
            }
            self.fill()?;
        }
    }

    /// Reads the head of the next message.
    pub fn read_head(&mut self) -> io::Result<Head> {
        let mut head = Head { line: self.read_line()?, ..Head::default() };
        loop {
            let line = self.read_line()?;
            if line.is_empty() {
                return Ok(head);
            }
            if let Some((name, value)) = line.split_once(':') {
                head.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    pub fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() - self.at < length {
            self.fill()?;
        }
        let body = self.buf[self.at..self.at + length].to_vec();
        self.at += length;
        Ok(body)
    }

    /// Reads the body that follows a head.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if !head.is_chunked() {
            return self.read_exact(head.length().unwrap_or(0));
        }
        let mut body = Vec::new();
        loop {
            let line = self.read_line()?;
            let length = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            if length == 0 {
                self.read_line()?;
                return Ok(body);
            }
            body.extend(self.read_exact(length)?);
            self.read_line()?;
        }
    }

    pub fn write(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    pub fn write_chunk(&mut self, text: &str) -> io::Result<()> {
        self.write(&format!("{:x}\r\n{text}\r\n", text.len()))
    }
}

// ---------------------------------------------------------------------------------------------
// The platform's store.

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct StoreState {
    items: BTreeMap<String, Item>,
    /// Revision, key and item of each change; none for a removal.
    log: Vec<(u64, String, Option<Item>)>,
    revision: u64,
    leases: u64,
}

impl StoreState {
    fn write(&mut self, key: &str, value: String, lease: u64, revision: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.log.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str, revision: u64) {
        if self.items.remove(key).is_some() {
            self.log.push((revision, key.to_owned(), None));
        }
    }
}

/// Stand-in of the platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    /// Starts the store on a free port.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| give_up(&e.to_string()));
        let state =
            StoreState { items: BTreeMap::new(), log: Vec::new(), revision: 1, leases: 100 };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let store = Self { address: listener.local_addr().unwrap(), shared };
        let serving = store.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                spawn(move || {
                    let _ = store.serve(Wire::new(stream));
                });
            }
        });
        store
    }

    /// Writes a value, as the operator or a runner does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.write(key, base64(value.as_bytes()), 0, revision);
        self.shared.1.notify_all();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.remove(key, revision);
        self.shared.1.notify_all();
    }

    fn serve(&self, mut wire: Wire) -> io::Result<()> {
        loop {
            let head = wire.read_head()?;
            let body = wire.read_body(&head)?;
            let method = head.line.split(' ').next().unwrap_or("").to_owned();
            let (status, answer) = self.call(&method, head.path(), &body);
            wire.write(&format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            ))?;
        }
    }

    fn call(&self, method: &str, target: &str, body: &[u8]) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), decode_query(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        match (method, path) {
            ("GET", "/api/kv-key") => self.read(&text("key")),
            ("GET", "/api/kv-range") => self.range(&text("path_prefix"), &text("after")),
            ("GET", "/api/kv-watch") => {
                let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or(0));
                self.watch(&text("path_prefix"), text("after").parse().unwrap_or(0), wait)
            }
            ("POST", "/api/kv-txn") => self.transact(body),
            ("POST", "/api/kv-lease") => {
                let ttl = Json::parse(body).and_then(|body| Some(body.get("ttl_ms")?.number()));
                let mut state = self.shared.0.lock().unwrap();
                state.leases += 1;
                let ttl = ttl.unwrap_or(1_000);
                (200, format!("{{\"lease_id\":{},\"ttl_ms\":{ttl}}}", state.leases))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => (200, "{\"ttl_ms\":60000}".into()),
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => (200, "{}".into()),
            _ => (404, "{}".into()),
        }
    }

    fn read(&self, key: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        match state.items.get(key) {
            Some(item) => {
                let fields = item_fields(key, item);
                (200, format!("{{{fields},\"at\":{}}}", state.revision))
            }
            None => (404, format!("{{\"at\":{}}}", state.revision)),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        const PAGE: usize = 500;
        let state = self.shared.0.lock().unwrap();
        let matching: Vec<_> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .take(PAGE + 1)
            .collect();
        let entries: Vec<String> = matching
            .iter()
            .take(PAGE)
            .map(|(key, item)| format!("{{{}}}", item_fields(key, item)))
            .collect();
        let has_more = matching.len() > PAGE;
        let (entries, at) = (entries.join(","), state.revision);
        (200, format!("{{\"entries\":[{entries}],\"has_more\":{has_more},\"at\":{at}}}"))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .log
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => format!("{{{}}}", item_fields(key, item)),
                    None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(body) = Json::parse(body) else { return (400, "{}".into()) };
        let rows = |name: &str| body.get(name).map(Json::items).unwrap_or_default().to_vec();
        let field = |row: &Json, name: &str| row.get(name).map(|v| v.text().to_owned());
        let mut state = self.shared.0.lock().unwrap();
        for row in rows("expected_revision") {
            let key = field(&row, "key").unwrap_or_default();
            let known = state.items.get(&key).map_or(0, |item| item.revision);
            if row.get("revision").map_or(0, Json::number) != known {
                return (412, "{\"entries\":[]}".into());
            }
        }
        state.revision += 1;
        let revision = state.revision;
        for row in rows("write") {
            let key = field(&row, "key").unwrap_or_default();
            let value = field(&row, "value").unwrap_or_default();
            let lease = row.get("lease_id").map_or(0, Json::number);
            state.write(&key, value, lease, revision);
        }
        for key in rows("removals") {
            state.remove(key.text(), revision);
        }
        self.shared.1.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

fn item_fields(key: &str, item: &Item) -> String {
    format!(
        "\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"creation_revision\":{},\"lease_id\":{}",
        item.value, item.revision, item.created, item.lease
    )
}

fn decode_query(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let decoded = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok()))
            .flatten();
        match decoded {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

// ---------------------------------------------------------------------------------------------
// Runners.

/// Request at a runner.
pub struct Arrival {
    pub head: Head,
    /// Identifier of the client's attempt.
    pub id: String,
    /// Headers of each response of a runner to it.
    pub signed: String,
}

/// What a runner does with a request; returns whether the connection stays open.
pub type Behaviour = dyn Fn(&Arrival, &mut Wire) -> io::Result<bool> + Send + Sync;

/// Stand-in of a runner. It answers 421 to requests that name another instance.
pub struct Runner {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: u32,
    pub address: SocketAddr,
    is_down: Arc<AtomicBool>,
    is_closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Runner {
    /// Starts a runner on a free port.
    pub fn start(
        id: &str,
        service: &'static str,
        zone: &'static str,
        slots: u32,
        behaviour: Arc<Behaviour>,
    ) -> Self {
        Self::start_at("127.0.0.1:0", id, service, zone, slots, behaviour)
    }

    /// Starts a runner at an address.
    pub fn start_at(
        address: &str,
        id: &str,
        service: &'static str,
        zone: &'static str,
        slots: u32,
        behaviour: Arc<Behaviour>,
    ) -> Self {
        let listener = TcpListener::bind(address).unwrap_or_else(|e| give_up(&e.to_string()));
        let address = listener.local_addr().unwrap();
        let is_down = Arc::new(AtomicBool::new(false));
        let is_closed = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (down, open, name) = (Arc::clone(&is_down), Arc::clone(&streams), id.to_owned());
        let closed = Arc::clone(&is_closed);
        spawn(move || {
            for stream in listener.incoming().flatten() {
                // A runner that has ended accepts nothing: its listener closes here.
                if down.load(Ordering::SeqCst) {
                    break;
                }
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().push(copy);
                }
                let (behaviour, name) = (Arc::clone(&behaviour), name.clone());
                spawn(move || {
                    let _ = serve_runner(Wire::new(stream), &name, &*behaviour);
                });
            }
            drop(listener);
            closed.store(true, Ordering::SeqCst);
        });
        Self { id: id.to_owned(), service, zone, slots, address, is_down, is_closed, streams }
    }

    /// Ends the runner as the end of its process does: its port closes, and its connections.
    pub fn stop(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        while !self.is_closed.load(Ordering::SeqCst) {
            // Wakes the thread that accepts, which then drops the listener.
            let _ = TcpStream::connect(self.address);
            thread::sleep(Duration::from_millis(1));
        }
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns the entry that the runner writes to the store.
    pub fn entry(&self, state: &str, born: u64, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{born}}}",
            self.service, self.address, self.zone, self.slots
        )
    }

    /// Returns the key of the entry.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }
}

fn serve_runner(mut wire: Wire, name: &str, behaviour: &Behaviour) -> io::Result<()> {
    loop {
        let head = wire.read_head()?;
        wire.read_body(&head)?;
        if head.get("x-sapphirespur-expected-instance").is_some_and(|expected| expected != name) {
            wire.write(&format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Sapphirespur-Instance-Id: {name}\r\nContent-Length: 0\r\n\r\n"
            ))?;
            continue;
        }
        let id = head.get("x-sapphirespur-attempt-id").unwrap_or("").to_owned();
        let signed = format!(
            "X-Sapphirespur-Attempt-Id: {id}\r\nX-Sapphirespur-Server-Signature: {name}.{id}\r\n"
        );
        if !behaviour(&Arrival { head, id, signed }, &mut wire)? {
            return Ok(());
        }
    }
}

// ---------------------------------------------------------------------------------------------
// The router.

/// Router process, with settings from the template of the deploy file; killed when dropped.
pub struct Router {
    child: Child,
    pub frontend: SocketAddr,
    pub ready: SocketAddr,
    folder: PathBuf,
}

impl Router {
    /// Starts a router in front of a store, with the settings of a machine of katharotis-rounds, and
    /// waits until it is ready.
    pub fn start(name: &str, store: &Store, memory_mb: u32) -> Self {
        let ip = free_ip();
        Self::start_at(name, store, memory_mb, ip, free_port(&[ip]), &format!("{ip}:1"))
    }

    /// Starts a router at an address, with the port at which all routers hear one another, and the first
    /// addresses to look for others.
    pub fn start_at(
        name: &str,
        store: &Store,
        memory_mb: u32,
        ip: Ipv4Addr,
        peers: u16,
        seeds: &str,
    ) -> Self {
        let (frontend, ready) = (free_port(&[ip]), free_port(&[ip]));
        let memory = memory_mb.to_string();
        let fields = [
            ("node_name", name.to_owned()),
            ("zone", "piraeus".to_owned()),
            ("listen_addresses.frontend", format!("{ip}:{frontend}")),
            ("listen_addresses.ready", format!("{ip}:{ready}")),
            ("ip_address", ip.to_string()),
            ("internal_port_range.0", peers.to_string()),
            ("seed_nodes", seeds.to_owned()),
            ("platform.address", store.address.to_string()),
            ("platform.writes_per_s", "400".to_owned()),
            ("bounds.drain_ms", "2000".to_owned()),
            ("bounds.config_propagation_ms", "2000".to_owned()),
            ("bounds.evacuation_ms", "5000".to_owned()),
            ("bounds.delivery_slack_ms", "120".to_owned()),
            ("limits.memory_mb", memory),
            ("limits.file_descriptors", "4100".to_owned()),
            ("bounds.grace_period_s", "8".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.retry_allowance", "54".to_owned()),
            ("bounds.retry_window_s", "10".to_owned()),
            ("bounds.cold_overshoot", "1.5".to_owned()),
            ("bounds.cold_allowance", "5".to_owned()),
            ("bounds.quota_window_s", "4".to_owned()),
            // Not in force on this deployment.
            ("bounds.exposure_share", String::new()),
            ("bounds.exposure_allowance", String::new()),
            ("bounds.rollback_ms", String::new()),
        ];
        let mut text = fs::read_to_string("deploy/router.ini")
            .unwrap_or_else(|e| give_up(&format!("deploy/router.ini: {e}")));
        for (name, value) in fields {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        let folder = new_folder();
        let settings = folder.join("settings.toml");
        fs::write(&settings, text).unwrap_or_else(|e| give_up(&e.to_string()));
        let log = File::create(folder.join("log")).unwrap_or_else(|e| give_up(&e.to_string()));
        let child = Command::new("target/release/sapphirespur-edge")
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| give_up(&format!("target/release/sapphirespur-edge: {e}")));
        CHILDREN.lock().unwrap().push(child.id());
        let router = Self {
            child,
            frontend: SocketAddr::new(ip.into(), frontend),
            ready: SocketAddr::new(ip.into(), ready),
            folder,
        };
        router.wait_until_ready();
        router
    }

    fn wait_until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.is_ready() {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        give_up("the router does not become ready");
    }

    /// Asks for readiness, as the platform does.
    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut wire = Wire::connect(self.ready)?;
            wire.stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            wire.write("GET /api/readiness HTTP/1.1\r\nHost: router\r\nConnection: close\r\n\r\n")?;
            Ok(wire.read_head()?.status())
        };
        ask().is_ok_and(|status| status == 200)
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the memory in use, in kilobytes; none when the process has ended.
    pub fn memory_kb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").arg(format!("-{name}")).arg(self.pid().to_string()).status();
        if !status.is_ok_and(|status| status.success()) {
            give_up("the signal cannot be sent");
        }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let pid = self.child.id();
        CHILDREN.lock().unwrap_or_else(|e| e.into_inner()).retain(|known| *known != pid);
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the lines of the log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns a port that is free on each of some addresses.
pub fn free_port(ips: &[Ipv4Addr]) -> u16 {
    for _ in 0..100 {
        let listener = TcpListener::bind((ips[0], 0)).unwrap_or_else(|e| give_up(&e.to_string()));
        let port = listener.local_addr().unwrap().port();
        if ips[1..].iter().all(|ip| TcpListener::bind((*ip, port)).is_ok()) {
            return port;
        }
    }
    give_up("no free port")
}

/// Returns a loopback address on which the port of the metrics is free.
pub fn free_ip() -> Ipv4Addr {
    const METRICS_PORT: u16 = 9464;
    for attempt in 0..200_u64 {
        let seed = wall_ms().wrapping_mul(2_654_435_761).wrapping_add(attempt * 40_503);
        let ip = Ipv4Addr::new(127, 60 + (seed >> 8 & 63) as u8, (seed >> 16) as u8, 2 + (seed & 127) as u8);
        if TcpListener::bind((ip, METRICS_PORT)).is_ok() {
            return ip;
        }
    }
    give_up("no free loopback address")
}

fn new_folder() -> PathBuf {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let count = COUNT.fetch_add(1, Ordering::SeqCst);
    let folder = std::env::temp_dir().join(format!("review-2-{}-{count}", std::process::id()));
    fs::create_dir_all(&folder).unwrap_or_else(|e| give_up(&e.to_string()));
    folder
}

// ---------------------------------------------------------------------------------------------
// The operator.

/// Returns a configuration like that of katharotis-rounds: streams of `drafting`, calls of `office-app`.
pub fn config(version: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, attempts: u32, timeout: u32, target: u32| {
        let is_stream = kind == "streaming";
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"host.example\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":{timeout},\"target_latency_ms\":{target},\"priority\":1,\"service\":\"{service}\",\
             \"attempts\":{attempts},\"anonymous_access\":false,\"session_affinity\":{is_stream},\
             \"stream_resumption\":false,\"gap_target_ms\":400}}"
        )
    };
    let routes = [
        route("plan", "streaming", "drafting", 1, 15_000, 800),
        route("book", "non_idempotent", "office-app", 1, 3_000, 150),
        route("lookup", "idempotent", "office-app", 2, 3_000, 150),
    ];
    let tenants: Vec<String> = (0..16)
        .map(|n| format!("{{\"name\":\"tenant-{n}\",\"api_keys\":[\"key-{n}\"],\"priority\":1}}"))
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"drafting\",\"health_path\":\"/health\",\"connection_limit\":360,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_start_s\":3.0,\"cold_per_s\":8.9,\"inference_engine\":{{\"slots\":64,\"kv_cache_tokens\":392589,\
         \"token_bytes\":18432,\"link_bandwidth_mbps\":740000.0,\"migrations\":true,\"backups\":true,\"stride\":6,\
         \"most\":12,\"pin_duration_ms\":4000.0,\"hold_ms\":2000.0,\"handle_ttl_s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"office-app\",\"health_path\":\"/health\",\"connection_limit\":100,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000,\"tokens_per_s\":320000}},\"tenants\":[{}]}}",
        routes.join(","),
        tenants.join(",")
    )
}

/// Returns a request of a client without a body.
pub fn request(path: &str, id: &str, tenant: usize, deadline_ms: u64, headers: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: host.example\r\nX-Sapphirespur-Attempt-Id: {id}\r\n{headers}\
         X-Sapphirespur-Deadline-Remaining: {deadline_ms}\r\nApi-Key: key-{}\r\nContent-Length: 0\r\n\r\n",
        tenant % 16
    )
}
