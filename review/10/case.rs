//! Case 10: during a planned stop, the answers of clients that read nothing for three and a half seconds are cut, although
//! the router has time and holds what is left of them.

#[path = "../kit-2.rs"]
mod kit;

use std::collections::HashMap;
use std::ffi::c_void;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kit::{Arrival, Record, Router, Runner, Store, Wire};

/// Grace period of the deployment.
const GRACE: Duration = Duration::from_secs(8);

/// Clients, each with a stream that is sent this long after the signal.
const CLIENTS: usize = 12;
const SENT_AFTER: Duration = Duration::from_millis(300);

/// Events of a stream, their length in bytes and the time between two: it is made within 1.5 s.
const EVENTS: u32 = 48;
const EVENT_BYTES: usize = 700;
const EVENT_GAP: Duration = Duration::from_millis(25);

/// Bytes that a client reads before it pauses, and the length of the pause.
const READ_BEFORE_PAUSE: u64 = 6 * 1024;
const PAUSE: Duration = Duration::from_millis(3_500);

/// Receive buffer of a client, in bytes.
const RECEIVE_BUFFER: i32 = 8 * 1024;

struct Shared {
    record: Record,
    /// When runners began and finished each request.
    runs: Mutex<HashMap<String, (u64, Option<u64>)>>,
}

/// Address of a socket, as the system takes it.
#[repr(C)]
struct SockaddrIn {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const c_void, length: u32) -> i32;
    fn connect(fd: i32, address: *const SockaddrIn, length: u32) -> i32;
}

fn main() {
    let has_trouble = kit::has_trouble();
    let shared =
        Arc::new(Shared { record: Record::create("10"), runs: Mutex::default() });
    let record = shared.record.clone();
    record.say(&format!("trouble: {has_trouble}; clients pause for {PAUSE:?} as they read"));

    let store = Store::start();
    let runners: Vec<Runner> = (0..3).map(|number| start_runner(&shared, number)).collect();
    for runner in &runners {
        store.put(&runner.key(), &runner.entry("ready", kit::wall_ms(), 1));
    }
    store.put("op/config", &kit::config(1));
    let mut router = Router::start("edge-piraeus-1", &store, 160);
    // No disruption for `contact_ms` before the requests.
    thread::sleep(Duration::from_millis(4_200));

    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let wire = open(router.frontend).unwrap_or_else(|e| kit::give_up(&e.to_string()));
            (number, wire)
        })
        .collect();
    let stopped = Instant::now();
    router.signal("TERM");
    record.say(&format!("at {} ms the router gets SIGTERM", record.now_ms()));
    thread::sleep(SENT_AFTER);
    let clients: Vec<_> = clients
        .into_iter()
        .map(|(number, wire)| {
            let record = record.clone();
            thread::spawn(move || run_client(&record, wire, number, has_trouble))
        })
        .collect();

    let mut lost = 0;
    for client in clients {
        let (id, end) = client.join().expect("the client ends");
        let run = shared.runs.lock().unwrap().get(&id).copied();
        let is_cut = matches!(end, End::Cut(_));
        // Within the grace period, and its runner was done before.
        let is_lost = is_cut && run.is_some_and(|(_, done)| done.is_some());
        lost += usize::from(is_lost);
        record.line(&format!("stream {id}: {end:?}, at its runner (begun, done): {run:?} ms"));
    }
    while router.is_running() && stopped.elapsed() < GRACE + Duration::from_secs(1) {
        thread::sleep(Duration::from_millis(20));
    }
    record.say(&format!("the router ended {} ms after SIGTERM", stopped.elapsed().as_millis()));
    for line in router.log_lines("response not read") {
        record.line(&format!("router: {line}"));
    }
    record.say(&format!(
        "LOST: {lost} of {CLIENTS} streams that runners had completed were cut at their clients during the stop"
    ));
    drop(router);
    std::process::exit(if lost > 0 { kit::BROKEN } else { kit::HELD });
}

fn start_runner(shared: &Arc<Shared>, number: usize) -> Runner {
    let shared = Arc::clone(shared);
    let behaviour = move |arrival: &Arrival, wire: &mut Wire| {
        let begun = shared.record.now_ms();
        shared.runs.lock().unwrap().insert(arrival.id.clone(), (begun, None));
        wire.write(&format!(
            "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            arrival.signed
        ))?;
        for event in 1..=EVENTS {
            thread::sleep(EVENT_GAP);
            wire.write_chunk(&format!("id: {event}\ndata: {}\n\n", "x".repeat(EVENT_BYTES)))?;
        }
        wire.write("0\r\n\r\n")?;
        let done = shared.record.now_ms();
        shared.runs.lock().unwrap().insert(arrival.id.clone(), (begun, Some(done)));
        Ok(true)
    };
    let id = format!("i-draft-{number}");
    Runner::start(&id, "drafting", "piraeus", 64, Arc::new(behaviour))
}

/// How a stream ended, as the record shows it.
#[allow(dead_code)]
#[derive(Clone, Copy, Debug)]
enum End {
    /// All events came, after this many milliseconds.
    Complete(u64),
    Refused(u16),
    /// The connection ended before, after this many milliseconds.
    Cut(u64),
}

/// Connects with a small receive buffer, which has to be set before.
fn open(frontend: SocketAddr) -> io::Result<Wire> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;

    let SocketAddr::V4(frontend) = frontend else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let address = SockaddrIn {
        family: AF_INET as u16,
        port: frontend.port().to_be_bytes(),
        ip: frontend.ip().octets(),
        zero: [0; 8],
    };
    let bytes = RECEIVE_BUFFER;
    // SAFETY: the socket is new and owned by the stream; the pointers are to values of the given lengths.
    let stream = unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        let value = (&raw const bytes).cast::<c_void>();
        if setsockopt(fd, SOL_SOCKET, SO_RCVBUF, value, 4) != 0 || connect(fd, &address, 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        stream
    };
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    Ok(Wire::new(stream))
}

fn run_client(record: &Record, mut wire: Wire, number: usize, has_trouble: bool) -> (String, End) {
    let id = format!("c{number:02}");
    let sent = Instant::now();
    record.line(&format!("stream {id} is sent"));
    let result = play(&mut wire, &id, number, has_trouble);
    let after = sent.elapsed().as_millis() as u64;
    let end = match result {
        Ok(200) => End::Complete(after),
        Ok(status) => End::Refused(status),
        Err(_) => End::Cut(after),
    };
    (id, end)
}

fn play(wire: &mut Wire, id: &str, number: usize, has_trouble: bool) -> io::Result<u16> {
    let headers = "X-Sapphirespur-Model-Name: m\r\nX-Sapphirespur-Token-Usage: 826,384\r\n\
                   X-Sapphirespur-Prompt-Prefix-Hash: 5c1e07a2:198,91bd3f06:628\r\n";
    wire.write(&kit::request("/plan/x", id, number, 15_000, headers))?;
    let head = wire.read_head()?;
    if head.status() != 200 {
        return Ok(head.status());
    }
    if has_trouble {
        wire.read_exact(READ_BEFORE_PAUSE as usize)?;
        thread::sleep(PAUSE);
    }
    // The rest is read up to the last chunk.
    let mut tail = Vec::new();
    loop {
        tail.extend(wire.read_exact(1)?);
        if tail.ends_with(b"\r\n0\r\n\r\n") {
            return Ok(200);
        }
    }
}
