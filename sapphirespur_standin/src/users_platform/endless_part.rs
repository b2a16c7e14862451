//! Parts of responses that have no end.

/// Part of a response that has no end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndlessPart {
    /// Value of a header.
    Header,
    /// Lines of the head.
    Head,
    /// Size of a chunk.
    ChunkSize,
    /// Body in chunks.
    Body,
    /// Body of a length that no router keeps.
    LongBody,
    /// Body that ends with its connection.
    UnframedBody,
    /// Event of a stream.
    Event,
    /// Headers after the last chunk.
    Trailers,
    /// Body of a response that states that the request was not executed.
    Refusal,
    /// Body of a response that another runner than the expected one sends.
    Misdirected,
}

/// Bytes that are repeated in a body.
const FILLER: &str = "endless ";

/// Length of a long body, in bytes.
const LONG_BODY_BYTES: u64 = 1 << 40;

impl EndlessPart {
    /// Returns what is sent before the part, and the piece of the part that is repeated.
    pub(super) fn pieces(self, id_header: &str, signed: &str) -> (String, String) {
        const CHUNKED: &str = "Transfer-Encoding: chunked\r\n\r\n";
        const LINE: &str = "X-Filler: without end\r\n";

        let chunk = format!("400\r\n{}\r\n", FILLER.repeat(128));

        let ok = format!("HTTP/1.1 200 OK\r\n{signed}");
        let refusal = |status: &str| format!("HTTP/1.1 {status}\r\n{id_header}");
        match self {
            Self::Header => (format!("{ok}X-Filler: "), "without end ".to_owned()),
            Self::Head => (ok, LINE.to_owned()),
            Self::ChunkSize => (format!("{ok}{CHUNKED}"), "0000".to_owned()),
            Self::Body => (format!("{ok}{CHUNKED}"), chunk),
            Self::LongBody => {
                (format!("{ok}Content-Length: {LONG_BODY_BYTES}\r\n\r\n"), FILLER.repeat(128))
            }
            Self::UnframedBody => (format!("{ok}\r\n"), FILLER.repeat(128)),
            Self::Event => (format!("{ok}Content-Type: text/event-stream\r\n{CHUNKED}"), chunk),
            Self::Trailers => (format!("{ok}{CHUNKED}0\r\n"), LINE.to_owned()),
            Self::Refusal => {
                let head = refusal("503 Service Unavailable");
                (format!("{head}X-Sapphirespur-Request-Not-Executed: 1\r\n{CHUNKED}"), chunk)
            }
            Self::Misdirected => (refusal("421 Misdirected Request") + CHUNKED, chunk),
        }
    }
}
