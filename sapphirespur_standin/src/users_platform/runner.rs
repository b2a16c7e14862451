//! Stand-in for a runner, with the faults of real runners.
//!
//! It writes raw bytes to the connection, because HTTP libraries cannot write malformed responses.

mod early;
mod event_stream;
mod response;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use self::early::write_early_cut;
use self::event_stream::write_event_stream;
use self::response::{write_refusal, write_response, write_without_end};
use super::behaviour::Behaviour;
use super::received_request::ReceivedRequest;
use super::resumption::{Framing, Resumption};
use super::running_request::RunningRequest;
use super::version_fault::VersionFault;
use crate::loopback::own_ip;

/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Time from the head of a response to a crash under it.
const CRASH_DELAY: Duration = Duration::from_millis(20);

/// Time from the last bytes of a response to the reset of its connection.
const RESET_DELAY: Duration = Duration::from_millis(1);

/// State that the connections share.
#[derive(Debug)]
struct State {
    id: String,
    version: RefCell<String>,
    behaviour: Cell<Behaviour>,
    fault: Cell<VersionFault>,
    /// Pauses before a plain response, and before each event of a stream.
    pace: Cell<(Duration, Duration)>,
    /// Requests that are running.
    running: Rc<Cell<usize>>,
    /// Requests that came since the fault was set.
    fault_index: Cell<u32>,
    /// Requests that got a signed 500 from the fault, or were slowed.
    bad_responses: Cell<u32>,
    requests: RefCell<Vec<ReceivedRequest>>,
    client_disconnects: Cell<u32>,
    /// Tasks that accept and serve connections; ended by a crash.
    tasks: RefCell<Vec<JoinHandle<()>>>,
    has_crashed: Cell<bool>,
}

impl State {
    /// Closes the listener and all connections.
    fn crash(&self) {
        self.has_crashed.set(true);
        for task in self.tasks.borrow_mut().drain(..) {
            task.abort();
        }
    }

    /// Returns the fault that concerns the next request; [`VersionFault::NONE`] when none does.
    fn next_fault(&self, request: &ReceivedRequest) -> (VersionFault, bool) {
        let (fault, index) = (self.fault.get(), self.fault_index.get());
        self.fault_index.set(index + 1);
        if fault == VersionFault::NONE || !fault.concerns(request, index) {
            return (VersionFault::NONE, false);
        }
        let fails = fault.fails(index);
        if fails || fault.slow_factor > 1 {
            self.bad_responses.set(self.bad_responses.get() + 1);
        }
        (fault, fails)
    }

    /// Returns whether the runner crashes under a request.
    fn crashes_under(&self, request: &ReceivedRequest) -> bool {
        let Behaviour::CrashOn(harmful) = self.behaviour.get() else { return false };
        let ids = request.shared_segments();
        ids.contains(&harmful)
    }
}

/// Handle of a running runner; clones share its state.
#[derive(Clone, Debug)]
pub struct Runner {
    state: Rc<State>,
    address: SocketAddr,
    service: String,
}

impl Runner {
    /// Number of events in a complete stream.
    pub const EVENTS_PER_STREAM: u64 = 10;

    /// Time for which a stream with [`Behaviour::StallsOnce`] stands still.
    pub const STALL: Duration = Duration::from_millis(2_600);

    /// Body of a stream with [`Behaviour::CutAt`].
    pub const TWO_EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

    /// Other body with [`Behaviour::CutAt`].
    pub const TWO_LINES: &str = "first line\nsecond line\n";

    /// End of the path of requests under which a runner crashes with [`Behaviour::CrashOnPath`].
    pub const HARMFUL_PATH: &str = "/harmful";

    /// Returns what is cut with [`Behaviour::CutAt`] for a request with this path.
    pub fn whole_response(path: &str, framing: Framing) -> Resumption {
        let (headers, body) = if is_stream_path(path) {
            ("Content-Type: text/event-stream\r\n", Self::TWO_EVENTS)
        } else {
            ("", Self::TWO_LINES)
        };
        Resumption { status: "200 OK", headers, body, framing }
    }

    /// Starts a runner of `service` on a loopback address of its own.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot listen.
    pub async fn start(id: &str, service: &str) -> io::Result<Self> {
        let listener = TcpListener::bind((own_ip(), 0)).await?;
        let state = Rc::new(State {
            id: id.to_owned(),
            version: RefCell::new("v1".to_owned()),
            behaviour: Cell::new(Behaviour::Normal),
            fault: Cell::new(VersionFault::NONE),
            pace: Cell::default(),
            running: Rc::default(),
            fault_index: Cell::new(0),
            bad_responses: Cell::new(0),
            requests: RefCell::default(),
            client_disconnects: Cell::new(0),
            tasks: RefCell::default(),
            has_crashed: Cell::new(false),
        });
        let runner = Self {
            address: listener.local_addr()?,
            state: Rc::clone(&state),
            service: service.to_owned(),
        };

        let accepting = Rc::clone(&state);
        let task = actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = Rc::clone(&accepting);
                let task = actix_rt::spawn(async move {
                    // Fails when the peer closes the connection, which it may do at any time.
                    let _ = serve(&state, stream).await;
                });
                let mut tasks = accepting.tasks.borrow_mut();
                tasks.retain(|task| !task.is_finished());
                tasks.push(task);
            }
        });
        state.tasks.borrow_mut().push(task);
        Ok(runner)
    }

    /// Returns the identifier, which is also the server signature.
    pub fn id(&self) -> &str {
        &self.state.id
    }

    /// Returns the version of its software.
    pub fn version(&self) -> String {
        self.state.version.borrow().clone()
    }

    /// Sets the version of its software, as its entry names it.
    pub fn set_version(&self, version: &str) {
        *self.state.version.borrow_mut() = version.to_owned();
    }

    /// Sets the behaviour, which also applies to open connections and streams.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state.behaviour.set(behaviour);
    }

    /// Sets the fault of its software version, for requests that come from now on.
    pub fn set_fault(&self, fault: VersionFault) {
        self.state.fault.set(fault);
        self.state.fault_index.set(0);
    }

    /// Sets the pauses before a plain response, and before each event of a stream.
    pub fn set_pace(&self, before_response: Duration, before_event: Duration) {
        self.state.pace.set((before_response, before_event));
    }

    /// Stops at once, like a process that is killed. Returns how many requests were running.
    pub fn stop(&self) -> usize {
        let running = self.running_count();
        self.state.crash();
        running
    }

    /// Refuses new connections; those that are open go on.
    pub fn refuse_connections(&self) {
        // The task that accepts connections is the first one.
        if let Some(task) = self.state.tasks.borrow().first() {
            task.abort();
        }
    }

    /// Returns how many requests are running.
    pub fn running_count(&self) -> usize {
        self.state.running.get()
    }

    /// Returns how many responses the fault of its version has made bad.
    pub fn bad_responses(&self) -> u32 {
        self.state.bad_responses.get()
    }

    /// Returns the requests that it received, oldest first.
    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.state.requests.borrow().clone()
    }

    /// Returns whether it has crashed.
    pub fn has_crashed(&self) -> bool {
        self.state.has_crashed.get()
    }

    /// Returns how often a client disconnected before its response was complete.
    pub fn client_disconnects(&self) -> u32 {
        self.state.client_disconnects.get()
    }

    /// Returns its entry for the metadata store, with the given state.
    pub fn store_entry(&self, state: &str) -> Value {
        json!({
            "service": self.service,
            "address": self.address.to_string(),
            "zone": "milano",
            "version": self.version(),
            "slots": 64,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1,
        })
    }
}

/// Serves the requests of a connection until it is closed.
async fn serve(state: &State, mut stream: TcpStream) -> io::Result<()> {
    let mut buf = Vec::new();
    while let Some(mut request) = read_head(&mut stream, &mut buf).await? {
        if let Behaviour::EarlyResponse(millis) = state.behaviour.get() {
            state.requests.borrow_mut().push(request.clone());
            respond(state, &mut stream, &request).await?;
            tokio::time::sleep(Duration::from_millis(millis)).await;
            read_body(&mut stream, &mut buf, &mut request).await?;
            continue;
        }
        if let Behaviour::EarlyCut(cut) = state.behaviour.get() {
            state.requests.borrow_mut().push(request.clone());
            return write_early_cut(&state.id, &mut stream, &mut buf, &request, cut).await;
        }
        if let Behaviour::SlowBody(millis) = state.behaviour.get() {
            let pause = Duration::from_millis(millis);
            read_body_slowly(&mut stream, &mut buf, &request, pause).await?;
        }
        if !read_body(&mut stream, &mut buf, &mut request).await? {
            return Ok(());
        }
        state.requests.borrow_mut().push(request.clone());
        let _running = RunningRequest::begin(&state.running);
        let keep_alive = respond(state, &mut stream, &request).await.inspect_err(|_| {
            state.client_disconnects.set(state.client_disconnects.get() + 1);
        })?;
        if !keep_alive {
            return Ok(());
        }
    }
    Ok(())
}

/// Reads a request up to its body; returns `None` at the end of the connection or for a head that
/// is too large.
async fn read_head(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
) -> io::Result<Option<ReceivedRequest>> {
    let head_bytes = loop {
        if let Some(end) = buf.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        if buf.len() > MAX_HEAD_BYTES || stream.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buf[..head_bytes]).into_owned();
    buf.drain(..head_bytes);

    let mut lines = head.lines();
    let mut request = ReceivedRequest {
        line: lines.next().unwrap_or_default().to_owned(),
        ..ReceivedRequest::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            request.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    Ok(Some(request))
}

/// Reads the body of a request; returns false when the connection ends within it.
async fn read_body(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
    request: &mut ReceivedRequest,
) -> io::Result<bool> {
    let length = request.body_length();
    while buf.len() < length {
        if stream.read_buf(buf).await? == 0 {
            return Ok(false);
        }
    }
    request.body = buf.drain(..length).collect();
    Ok(true)
}

/// Buffers a request body at 1 KB for each `pause`, up to the end of the connection.
async fn read_body_slowly(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
    request: &ReceivedRequest,
    pause: Duration,
) -> io::Result<()> {
    const BYTES_PER_READ: u64 = 1_024;

    while buf.len() < request.body_length() {
        tokio::time::sleep(pause).await;
        if stream.take(BYTES_PER_READ).read_buf(buf).await? == 0 {
            break;
        }
    }
    Ok(())
}

/// Responds to a request; returns whether the connection stays open.
async fn respond(
    state: &State,
    stream: &mut TcpStream,
    request: &ReceivedRequest,
) -> io::Result<bool> {
    let id = request.header("x-sapphirespur-attempt-id").unwrap_or_default().to_owned();
    let id_header = format!("X-Sapphirespur-Attempt-Id: {id}\r\n");
    let stated = match state.behaviour.get() {
        Behaviour::Leaving => "Server-Leaving: 1\r\n".to_owned(),
        Behaviour::LimitNamed(per_mille) => {
            format!("Server-Limit: {}\r\n", f64::from(per_mille) / 1_000.0)
        }
        Behaviour::LoadReported(load) => format!("X-Sapphirespur-Server-Load: {load}\r\n"),
        _ => String::new(),
    };
    let signed = format!("{id_header}{stated}X-Sapphirespur-Server-Signature: {}\r\n", state.id);
    let is_stream = is_stream_path(&request.line);
    let (fault, fails) = state.next_fault(request);
    let (before_response, before_event) = state.pace.get();
    if !is_stream && !before_response.is_zero() {
        tokio::time::sleep(before_response * fault.slow_factor).await;
    }
    match state.behaviour.get() {
        Behaviour::Full => {
            write_refusal(stream, &id_header).await?;
            Ok(true)
        }
        Behaviour::PauseRequested(millis) => {
            let seconds = millis as f64 / 1_000.0;
            write_refusal(stream, &format!("{id_header}Retry-After: {seconds}\r\n")).await?;
            Ok(true)
        }
        Behaviour::LeavingAndFull => {
            write_refusal(stream, &format!("{id_header}Server-Leaving: 1\r\n")).await?;
            Ok(true)
        }
        Behaviour::Misdirected => {
            write_response(stream, "421 Misdirected Request", &id_header, "").await?;
            Ok(true)
        }
        _ if fails => {
            write_response(stream, "500 Internal Server Error", &signed, "failed").await?;
            Ok(true)
        }
        Behaviour::ServerError => {
            write_response(stream, "500 Internal Server Error", &signed, "failed").await?;
            Ok(true)
        }
        Behaviour::CutAt { bytes, framing, is_reset } => {
            let text = Runner::whole_response(&request.line, framing).signed_text(&state.id, &id);
            stream.write_all(&text.as_bytes()[..bytes.min(text.len())]).await?;
            if is_reset {
                // What was sent arrives before the reset, which would discard it.
                tokio::time::sleep(RESET_DELAY).await;
                SockRef::from(&*stream).set_linger(Some(Duration::ZERO))?;
            }
            Ok(false)
        }
        Behaviour::Status(status) => {
            write_response(stream, status, &signed, "odd").await?;
            Ok(true)
        }
        Behaviour::DropResponse => Ok(false),
        Behaviour::CrashOnPath if request.is_harmful() => {
            tokio::time::sleep(CRASH_DELAY).await;
            state.crash();
            Ok(false)
        }
        Behaviour::NoResponse => {
            // The client sends nothing more on this connection, so any read result means that it
            // disconnected.
            let _ = stream.read_u8().await;
            state.client_disconnects.set(state.client_disconnects.get() + 1);
            Ok(false)
        }
        Behaviour::Unsigned => {
            write_response(stream, "200 OK", &id_header, "forged").await?;
            Ok(true)
        }
        Behaviour::WrongAttemptId => {
            let headers = signed.replace(&id, "ffffffffffffffff");
            write_response(stream, "200 OK", &headers, "of another request").await?;
            Ok(true)
        }
        Behaviour::ExtraResponse => {
            write_response(stream, "200 OK", &signed, &format!("answer to {id}")).await?;
            write_response(stream, "200 OK", &signed, "second answer").await?;
            Ok(true)
        }
        Behaviour::DelayedExtraResponse(millis) if !is_stream => {
            let text = format!("answer to {id}");
            write_response(stream, "200 OK", &signed, &text).await?;
            tokio::time::sleep(Duration::from_millis(millis)).await;
            write_response(stream, "200 OK", &signed, "second answer").await?;
            Ok(true)
        }
        Behaviour::DelayedExtraRefusal(millis) => {
            write_response(stream, "200 OK", &signed, &format!("answer to {id}")).await?;
            tokio::time::sleep(Duration::from_millis(millis)).await;
            write_refusal(stream, &id_header).await?;
            Ok(true)
        }
        Behaviour::RefusalTwice(millis) => {
            write_refusal(stream, "").await?;
            tokio::time::sleep(Duration::from_millis(millis)).await;
            write_refusal(stream, "").await?;
            Ok(true)
        }
        Behaviour::DelayedResponse(millis) if !is_stream => {
            tokio::time::sleep(Duration::from_millis(millis)).await;
            write_response(stream, "200 OK", &signed, &format!("answer to {id}")).await?;
            Ok(true)
        }
        Behaviour::Endless { part, pause_ms } => {
            let pieces = part.pieces(&id_header, &signed);
            write_without_end(stream, pieces, Duration::from_millis(pause_ms)).await
        }
        Behaviour::LargeBody(bytes) if !is_stream => {
            write_response(stream, "200 OK", &signed, &"x".repeat(bytes)).await?;
            Ok(true)
        }
        Behaviour::NoContentLength if !is_stream => {
            let text = format!("HTTP/1.1 200 OK\r\n{signed}\r\nanswer to {id}");
            stream.write_all(text.as_bytes()).await?;
            Ok(false)
        }
        _ if is_stream => {
            let pause = before_event * fault.slow_factor;
            write_event_stream(state, stream, request, &signed, pause).await
        }
        _ => {
            write_response(stream, "200 OK", &signed, &format!("answer to {id}")).await?;
            Ok(true)
        }
    }
}

/// Returns whether requests with a path are answered with event streams.
fn is_stream_path(path: &str) -> bool {
    path.contains("/stream/")
}
