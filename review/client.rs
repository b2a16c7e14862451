//! Client of the routers.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Connection, Message};

/// Request of a client.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub remaining_ms: u64,
    /// Further headers, as whole lines.
    pub headers: &'a str,
    pub body: &'a str,
}

impl Request<'_> {
    /// Returns the bytes of the request.
    pub fn encode(&self) -> String {
        let Request { method, host, path, id, remaining_ms, headers, body } = self;
        let length = match body.len() {
            0 if *method == "GET" => String::new(),
            length => format!("Content-Length: {length}\r\n"),
        };
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Sapphirespur-Attempt-Id: {id}\r\n\
             X-Sapphirespur-Deadline-Remaining: {remaining_ms}\r\n{headers}{length}\r\n{body}"
        )
    }
}

/// Answer as the client received it.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// Head and what was read of the body; none when the connection ended before the head.
    pub message: Option<Message>,
    /// Whether the body is complete by its framing.
    pub is_complete: bool,
    /// Error of the connection; empty without one.
    pub error: String,
}

impl Reply {
    /// Returns the status; zero without a head.
    pub fn status(&self) -> u16 {
        self.message.as_ref().map_or(0, Message::status)
    }

    /// Returns the body as text.
    pub fn body(&self) -> String {
        self.message
            .as_ref()
            .map(|message| String::from_utf8_lossy(&message.body).into_owned())
            .unwrap_or_default()
    }

    /// Returns a header of the answer.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.message.as_ref().and_then(|message| message.header(name))
    }
}

/// Opens a connection; the platform's clients allow one second for it.
pub fn connect(address: SocketAddr) -> io::Result<Connection> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    Ok(Connection::new(stream))
}

/// Sends a request on a connection and reads the answer until the client's deadline.
pub fn exchange(connection: &mut Connection, request: &Request<'_>) -> Reply {
    let timeout = Duration::from_millis(request.remaining_ms.max(1));
    let _ = connection.stream.set_read_timeout(Some(timeout));
    if let Err(e) = connection.write(request.encode().as_bytes()) {
        return Reply { error: e.to_string(), ..Reply::default() };
    }
    read_reply(connection)
}

/// Reads an answer.
pub fn read_reply(connection: &mut Connection) -> Reply {
    let mut message = match connection.read_head() {
        Ok(Some(message)) => message,
        Ok(None) => return Reply { error: "closed".to_owned(), ..Reply::default() },
        Err(e) => return Reply { error: e.to_string(), ..Reply::default() },
    };
    let (is_complete, error) = match connection.read_body(&mut message, true) {
        Ok(is_complete) => (is_complete, String::new()),
        Err(e) => (false, e.to_string()),
    };
    Reply { message: Some(message), is_complete, error }
}

/// Sends a request on a new connection.
pub fn send(address: SocketAddr, request: &Request<'_>) -> Reply {
    match connect(address) {
        Ok(mut connection) => exchange(&mut connection, request),
        Err(e) => Reply { error: e.to_string(), ..Reply::default() },
    }
}

/// Returns the identifiers of the events of a body that are complete, in order; -1 where there is none.
pub fn event_ids(body: &str) -> Vec<i64> {
    let mut events: Vec<&str> = body.split("\n\n").collect();
    // What follows the last blank line is no event.
    events.pop();
    events
        .iter()
        .map(|event| {
            let id = event.lines().find_map(|line| line.strip_prefix("id:"));
            id.and_then(|id| id.trim().parse().ok()).unwrap_or(-1)
        })
        .collect()
}
