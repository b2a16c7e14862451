//! Head with which a stream began.

use std::fmt;

use hyper::StatusCode;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::http::response::Parts;

/// Media type of event streams.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// What the head of a stream says of its body; the client has it, and another upstream that goes on with
/// the stream has to agree.
#[derive(Clone, Debug)]
pub(super) struct StreamHead {
    status: StatusCode,
    content_type: Option<HeaderValue>,
}

impl StreamHead {
    /// Returns the head of a response.
    pub fn new(parts: &Parts) -> Self {
        Self { status: parts.status, content_type: parts.headers.get(CONTENT_TYPE).cloned() }
    }

    /// Returns whether a response with another head may go on with the stream.
    pub fn is_continued_by(&self, other: &Self) -> bool {
        self.status == other.status && self.media_type().eq_ignore_ascii_case(other.media_type())
    }

    /// Returns whether the body may be the rest of a stream: a success of another kind is the text of an
    /// error, or has no body.
    pub fn may_go_on(&self) -> bool {
        let media_type = self.media_type();
        let is_stream = media_type.is_empty() || media_type.eq_ignore_ascii_case(EVENT_STREAM);
        self.status == StatusCode::OK && is_stream
    }

    /// Returns the media type without its parameters; empty when there is none.
    fn media_type(&self) -> &[u8] {
        let value = self.content_type.as_ref().map(HeaderValue::as_bytes).unwrap_or_default();
        value.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii()
    }
}

impl fmt::Display for StreamHead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.status.as_u16(), String::from_utf8_lossy(self.media_type()))
    }
}
