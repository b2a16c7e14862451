//! Request that has been sent to an upstream.

use crate::name::Name;
use crate::time::Time;

/// State of one request at an upstream, from placement to its end.
#[derive(Clone, Debug)]
pub struct InFlightRequest {
    /// Identity of the upstream's process instance.
    pub upstream: Name,
    /// Start time of the upstream's process instance, in milliseconds since the Unix epoch; none
    /// when its registry entry has none.
    pub started_ms: Option<u64>,
    /// Route that matched the request.
    pub route: Name,
    /// Service that runs the request.
    pub service: Name,
    /// Prompt tokens that the upstream has to prefill.
    pub prefill_tokens: u64,
    /// Prompt tokens in the upstream's prefill queue at placement, including this request.
    pub queued_tokens: u64,
    /// When the request was placed.
    pub placed_at: Time,
    /// When the first event arrived; none before.
    pub first_event_at: Option<Time>,
    /// Number of events received.
    pub events: u32,
    /// When the latest event arrived; the placement time before the first one.
    pub last_event_at: Time,
}

/// How a request to one upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendOutcome {
    /// The upstream completed the response.
    Answered,
    /// The upstream responded with an error.
    Failed,
    /// The connection could not be opened, was reset or closed early.
    Broken,
    /// The upstream reported that it did not run the request.
    Rejected,
    /// The upstream did not run the request and asked for a pause.
    Paused,
    /// A different upstream now has the address.
    Misdirected,
    /// No response arrived in time.
    NoResponse,
    /// The upstream stopped accepting requests before the request was sent.
    Withdrawn,
    /// The client disconnected or its deadline passed.
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
            Self::Paused => "paused",
            Self::Misdirected => "misdirected",
            Self::NoResponse => "silent",
            Self::Withdrawn => "withdrawn",
            Self::Abandoned => "abandoned",
        }
    }
}
