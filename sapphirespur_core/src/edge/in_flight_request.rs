//! Request that has been sent to an upstream.

use std::sync::Arc;

use crate::edge::{
    Judged, LoadUse, LossEvidence, QuarantineKey, RequestIdentity, RequestWork, RolloutMark,
};
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
    /// Version of the upstream's software.
    pub version: Name,
    /// Route that matched the request.
    pub route: Name,
    /// Service that runs the request.
    pub service: Name,
    /// Identities of the prompt's segments that other requests may share.
    pub segments: Arc<[u64]>,
    /// Identity of the request; none while it is not needed.
    pub identity: Option<RequestIdentity>,
    /// Prompt tokens that the upstream has to prefill.
    pub prefill_tokens: u64,
    /// Prompt tokens in the upstream's prefill queue at placement, including this request.
    pub queued_tokens: u64,
    /// Predicted and remaining work; none for a plain call.
    pub work: Option<RequestWork>,
    /// Reported load on which the placement was based; none when the upstream reports none.
    pub load: Option<LoadUse>,
    /// When the request was placed.
    pub placed_at: Time,
    /// Whether the response says where it ends; otherwise it ends with its connection.
    pub is_framed: bool,
    /// When the first event arrived; none before.
    pub first_event_at: Option<Time>,
    /// Number of events received.
    pub events: u32,
    /// When the latest event arrived; the placement time before the first one.
    pub last_event_at: Time,
    /// Roll-out that was running when the request was placed.
    pub rollout: RolloutMark,
    /// How far the response has been judged for that roll-out.
    pub judged: Judged,
}

impl InFlightRequest {
    /// Events up to which a response counts as just begun.
    const FIRST_EVENTS: u32 = 1;

    /// Returns whether the upstream has not begun to respond, or only just: if it is lost now, this
    /// request may be the cause.
    pub fn has_just_begun(&self) -> bool {
        self.events <= Self::FIRST_EVENTS
    }

    /// Returns what of the request may be quarantined.
    pub(super) fn quarantine_keys(&self) -> impl Iterator<Item = QuarantineKey> {
        let segments = self.segments.iter().map(|id| QuarantineKey::Segment(*id));
        self.identity.map(QuarantineKey::Request).into_iter().chain(segments)
    }

    /// Returns how strongly the loss of the upstream speaks against this request.
    pub(super) fn loss_evidence(&self) -> LossEvidence {
        if self.first_event_at.is_some() && self.events == 0 {
            LossEvidence::MidStart
        } else {
            LossEvidence::Nearby
        }
    }

    /// Returns whether a response that ended well shows that the upstream survives the request: one
    /// that does not say where it ends may have been cut by a crash as it began.
    pub(super) fn proves_survival(&self) -> bool {
        self.is_framed || !self.has_just_begun()
    }
}

/// How a request to one upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendOutcome {
    /// The upstream completed the response.
    Answered,
    /// The upstream responded with an error.
    Failed,
    /// The connection could not be opened, or what arrived on it is no response to the request.
    Broken,
    /// The connection ended before the response did.
    Disconnected,
    /// The response is too large by itself, or the largest of those that filled the memory for responses.
    TooLarge,
    /// The memory for responses was full, because of others.
    NoMemory,
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
    /// Length from which on a response that finds no memory is one of the large ones, in bytes.
    const LARGE_RESPONSE_BYTES: usize = 16 * 1024;

    /// Returns the outcome of a send whose response finds no memory after `bytes` of its body or event.
    pub fn without_memory(bytes: usize) -> Self {
        if bytes > Self::LARGE_RESPONSE_BYTES { Self::TooLarge } else { Self::NoMemory }
    }

    /// Returns a short name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::Broken => "broken",
            Self::Disconnected => "disconnected",
            Self::TooLarge => "too_large",
            Self::NoMemory => "no_memory",
            Self::Rejected => "rejected",
            Self::Paused => "paused",
            Self::Misdirected => "misdirected",
            Self::NoResponse => "silent",
            Self::Withdrawn => "withdrawn",
            Self::Abandoned => "abandoned",
        }
    }
}
