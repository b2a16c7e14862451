//! Request that was sent to an upstream.

use crate::name::Name;
use crate::time::Time;

/// Claim of one request on one upstream, from placement to its end.
#[derive(Clone, Debug)]
pub struct InFlightRequest {
    /// Upstream.
    pub upstream: Name,
    /// Start of the upstream that the request was placed at.
    pub started_ms: Option<u64>,
    /// Route.
    pub route: Name,
    /// Service.
    pub service: Name,
    /// Prompt tokens that the upstream has to read.
    pub prefill_tokens: u64,
    /// Prompt tokens that were ahead, these included.
    pub queued_tokens: u64,
    /// When the request was placed.
    pub placed_at: Time,
    /// When the first event came.
    pub first_event_at: Option<Time>,
    /// Events that came.
    pub events: u32,
    /// When the last of them came.
    pub last_event_at: Time,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendOutcome {
    /// Answered by the upstream, whole.
    Answered,
    /// Answered with a failure of the upstream.
    Failed,
    /// Connection could not be opened, was reset or broke off.
    Broken,
    /// Upstream said that it did not run the request.
    Rejected,
    /// Another upstream holds the address.
    Misdirected,
    /// Nothing came in time.
    NoResponse,
    /// Client left or time ran out.
    Abandoned,
}

impl SendOutcome {
    /// Returns a short name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::Broken => "broken",
            Self::Rejected => "rejected",
            Self::Misdirected => "misdirected",
            Self::NoResponse => "silent",
            Self::Abandoned => "abandoned",
        }
    }
}
