//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Head of a message, and its body where it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a header, given by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(own, _)| own == name).map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response; zero when there is none.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// Returns the path of a request, with its query.
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Connection with the bytes that were read and not used.
pub struct Connection {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new() }
    }

    /// Reads more bytes; returns false at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }

    /// Waits until the other side has sent something that is not used yet.
    ///
    /// # Errors
    ///
    /// Returns an error when it closes the connection instead.
    pub fn wait_for_bytes(&mut self) -> io::Result<()> {
        if self.buf.is_empty() && !self.fill()? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(())
    }

    /// Reads a head; returns none at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|window| window == b"\r\n\r\n") {
                break at + 4;
            }
            if !self.fill()? {
                return Ok(None);
            }
        };
        let head: Vec<u8> = self.buf.drain(..end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.lines();
        let mut message =
            Message { line: lines.next().unwrap_or_default().to_owned(), ..Message::default() };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        Ok(Some(message))
    }

    /// Reads `count` bytes of a body.
    fn read_exact(&mut self, count: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buf.len() < count {
            if !self.fill()? {
                return Ok(None);
            }
        }
        Ok(Some(self.buf.drain(..count).collect()))
    }

    fn read_line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(at) = self.buf.windows(2).position(|window| window == b"\r\n") {
                let line: Vec<u8> = self.buf.drain(..at + 2).collect();
                return Ok(Some(String::from_utf8_lossy(&line[..at]).into_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads the body of a message into it. Returns whether the body is complete by its own framing.
    pub fn read_body(&mut self, message: &mut Message, is_response: bool) -> io::Result<bool> {
        let is_chunked = message
            .header("transfer-encoding")
            .is_some_and(|value| value.to_ascii_lowercase().contains("chunked"));
        if is_chunked {
            loop {
                let Some(line) = self.read_line()? else { return Ok(false) };
                let size = line.split(';').next().unwrap_or_default().trim().to_owned();
                let Ok(size) = usize::from_str_radix(&size, 16) else { return Ok(false) };
                let Some(data) = self.read_exact(size + 2)? else {
                    let rest = std::mem::take(&mut self.buf);
                    message.body.extend_from_slice(&rest);
                    return Ok(false);
                };
                if size == 0 {
                    return Ok(true);
                }
                message.body.extend_from_slice(&data[..size]);
            }
        }
        if let Some(length) = message.header("content-length") {
            let length: usize = length.parse().unwrap_or(0);
            return Ok(match self.read_exact(length)? {
                Some(body) => {
                    message.body = body;
                    true
                }
                None => {
                    message.body = std::mem::take(&mut self.buf);
                    false
                }
            });
        }
        if !is_response || matches!(message.status(), 204 | 304) {
            return Ok(true);
        }
        while self.fill()? {}
        message.body = std::mem::take(&mut self.buf);
        Ok(true)
    }

    /// Reads a whole message; returns none at the end of the connection.
    pub fn read_request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        Ok(self.read_body(&mut message, false)?.then_some(message))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes a response with a length.
    pub fn respond(&mut self, status: &str, headers: &str, body: &str) -> io::Result<()> {
        let length = body.len();
        let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
        self.write(text.as_bytes())
    }
}
