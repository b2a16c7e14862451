//! Stand-in for a runner: it accepts connections, checks the expected instance, counts what it runs
//! and leaves the answer to the case.

use std::collections::HashMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Connection, Message};

/// Number of the next connection to a runner.
static NEXT_CONNECTION: AtomicUsize = AtomicUsize::new(0);

/// What a runner does after an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Then {
    /// Keeps the connection open.
    KeepOpen,
    /// Closes the connection.
    Close,
}

/// Answer of a runner to a request that it runs.
pub type Answer = dyn Fn(&Runner, &Message, &mut Connection) -> io::Result<Then> + Send + Sync;

/// Runner that serves until the process ends.
pub struct Runner {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub address: SocketAddr,
    born: u128,
    sequence: AtomicUsize,
    /// Attempt identifiers of the requests that it ran, in order.
    runs: Mutex<Vec<String>>,
    /// Whether its heartbeats go on.
    is_listed: AtomicBool,
    /// Until when it is cold.
    cold_until: Mutex<Option<Instant>>,
    /// Whether it has crashed.
    has_crashed: AtomicBool,
    /// Open connections, closed by a crash.
    connections: Mutex<HashMap<usize, TcpStream>>,
}

impl Runner {
    /// Starts a runner on a free port of a loopback address.
    pub fn start(
        told: (&str, &str, &str, u32),
        ip: &str,
        answer: impl Fn(&Runner, &Message, &mut Connection) -> io::Result<Then> + Send + Sync + 'static,
    ) -> io::Result<Arc<Self>> {
        Self::start_at(told, (ip, 0), answer)
    }

    /// Starts a runner at an address, given by its loopback address and port.
    pub fn start_at(
        (id, service, zone, slots): (&str, &str, &str, u32),
        (ip, port): (&str, u16),
        answer: impl Fn(&Runner, &Message, &mut Connection) -> io::Result<Then> + Send + Sync + 'static,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, port))?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |span| span.as_millis());
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            address: listener.local_addr()?,
            born,
            sequence: AtomicUsize::new(0),
            runs: Mutex::default(),
            is_listed: AtomicBool::new(true),
            cold_until: Mutex::default(),
            has_crashed: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        let (serving, answer): (_, Arc<Answer>) = (Arc::clone(&runner), Arc::new(answer));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.has_crashed() {
                    // The listener closes, and refuses further connections.
                    return;
                }
                let (runner, answer) = (Arc::clone(&serving), Arc::clone(&answer));
                let number = NEXT_CONNECTION.fetch_add(1, Ordering::Relaxed);
                if let Ok(copy) = stream.try_clone() {
                    runner.connections.lock().expect("not poisoned").insert(number, copy);
                }
                thread::spawn(move || {
                    // Fails when the router closes the connection.
                    let _ = runner.serve(Connection::new(stream), &*answer);
                    runner.connections.lock().expect("not poisoned").remove(&number);
                });
            }
        });
        Ok(runner)
    }

    fn serve(&self, mut connection: Connection, answer: &Answer) -> io::Result<()> {
        while let Some(request) = connection.read_request()? {
            let id = request.header("x-sapphirespur-attempt-id").unwrap_or_default().to_owned();
            if request.header("x-sapphirespur-expected-instance").is_some_and(|own| own != self.id)
            {
                let headers = format!("X-Sapphirespur-Instance-Id: {}\r\n", self.id);
                connection.respond("421 Misdirected Request", &headers, "")?;
                continue;
            }
            if id.is_empty() {
                let headers = "X-Sapphirespur-Request-Not-Executed: 1\r\n";
                connection.respond("400 Bad Request", headers, "")?;
                continue;
            }
            self.runs.lock().expect("not poisoned").push(id);
            if answer(self, &request, &mut connection)? == Then::Close {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Returns the headers of an answer: the identifier of the attempt and the signature.
    pub fn headers(&self, request: &Message) -> String {
        let id = request.header("x-sapphirespur-attempt-id").unwrap_or_default();
        format!(
            "X-Sapphirespur-Attempt-Id: {id}\r\nX-Sapphirespur-Server-Signature: {}\r\n",
            self.signature()
        )
    }

    /// Returns the signature.
    pub fn signature(&self) -> String {
        format!("sig.{}", self.id)
    }

    /// Returns the identifiers of the requests that it ran.
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().expect("not poisoned").clone()
    }

    /// Sets whether its heartbeats go on.
    pub fn set_listed(&self, is_listed: bool) {
        self.is_listed.store(is_listed, Ordering::Relaxed);
    }

    /// Makes it cold for a while, as its entries say from now on.
    pub fn set_cold(&self, span: Duration) {
        *self.cold_until.lock().expect("not poisoned") = Some(Instant::now() + span);
    }

    /// Returns how much longer it stays cold.
    pub fn cold_remaining(&self) -> Duration {
        let until = *self.cold_until.lock().expect("not poisoned");
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()))
    }

    /// Crashes: all connections close, and no further one is accepted; its heartbeats end.
    pub fn crash(&self) {
        self.has_crashed.store(true, Ordering::Relaxed);
        self.set_listed(false);
        for (_, connection) in self.connections.lock().expect("not poisoned").drain() {
            // Fails for connections that have ended.
            let _ = connection.shutdown(Shutdown::Both);
        }
        // Wakes the thread that accepts connections.
        let _ = TcpStream::connect(self.address);
    }

    /// Returns whether it has crashed.
    pub fn has_crashed(&self) -> bool {
        self.has_crashed.load(Ordering::Relaxed)
    }

    /// Returns whether its heartbeats go on.
    pub fn is_listed(&self) -> bool {
        self.is_listed.load(Ordering::Relaxed)
    }

    /// Returns its key in the store.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Returns its next entry in the store, with the given state.
    pub fn entry(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"cold_remaining_ms\":{},\"sequence\":{sequence},\"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.slots,
            self.cold_remaining().as_millis(),
            self.born
        )
    }
}
