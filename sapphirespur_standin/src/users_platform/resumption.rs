//! Response of a runner to a stream that goes on there.

/// How the body of a response is framed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// In chunks.
    Chunked,
    /// The connection closes within the head.
    CutHead,
    /// By a content length.
    Length,
    /// By the end of the connection.
    UntilClose,
}

/// Signed response to a request with `Last-Event-Id`, whatever event that names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Resumption {
    /// Status code and reason.
    pub status: &'static str,
    /// Further headers, whole lines.
    pub headers: &'static str,
    /// Body.
    pub body: &'static str,
    /// Framing of the body.
    pub framing: Framing,
}

impl Resumption {
    /// Returns the response of a runner to a request as text.
    pub fn signed_text(&self, runner: &str, request: &str) -> String {
        self.text(&format!(
            "X-Sapphirespur-Attempt-Id: {request}\r\nX-Sapphirespur-Server-Signature: {runner}\r\n"
        ))
    }

    /// Returns the response as text; `signed` are the headers of each response.
    pub fn text(&self, signed: &str) -> String {
        let head = format!("HTTP/1.1 {}\r\n{signed}{}", self.status, self.headers);
        let (length, body) = (self.body.len(), self.body);
        match self.framing {
            Framing::Chunked if body.is_empty() => {
                format!("{head}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
            }
            Framing::Chunked => {
                format!("{head}Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n")
            }
            Framing::CutHead => format!("{head}Content-Le"),
            Framing::Length => format!("{head}Content-Length: {length}\r\n\r\n{body}"),
            Framing::UntilClose => format!("{head}\r\n{body}"),
        }
    }
}
