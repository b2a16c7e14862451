//! Head with which a stream began.

use std::fmt;

use hyper::StatusCode;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::http::response::Parts;

/// Media type of event streams.
const EVENT_STREAM: &str = "text/event-stream";

/// What the head of a stream says of its body; the client has it, and another upstream that goes on with
/// the stream has to agree.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct StreamHead {
    status: StatusCode,
    /// Media type in lower case, without parameters; empty when there is none.
    media_type: String,
}

impl StreamHead {
    /// Returns the head of a response.
    pub fn new(parts: &Parts) -> Self {
        let media_type = parts.headers.get(CONTENT_TYPE).map(HeaderValue::as_bytes);
        let media_type = media_type.and_then(|value| value.split(|byte| *byte == b';').next());
        let media_type = String::from_utf8_lossy(media_type.unwrap_or_default());
        Self { status: parts.status, media_type: media_type.trim().to_ascii_lowercase() }
    }

    /// Returns whether the body may be the rest of a stream: a success of another kind is the text of an
    /// error, or has no body.
    pub fn may_go_on(&self) -> bool {
        self.status == StatusCode::OK && matches!(&*self.media_type, "" | EVENT_STREAM)
    }
}

impl fmt::Display for StreamHead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.status.as_u16(), self.media_type)
    }
}
