//! Decision about a request that has arrived.

use std::net::SocketAddr;
use std::time::Duration;

use crate::edge::InFlightRequest;
use crate::name::Name;

/// Place for a request.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Claim on the upstream.
    pub request: InFlightRequest,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Name of the upstream's start, which it checks.
    pub instance: Name,
    /// Upstream from which this one takes over kept parts of the prompt.
    pub fetch_from: Option<SocketAddr>,
    /// Expected time to the first event or answer.
    pub expected: Duration,
}

/// Reason why a request is not placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeclineReason {
    /// No upstream of the service takes work.
    NoUpstream,
    /// All upstreams of the service are cold and have what they bear.
    Cold,
    /// Answer would come too late.
    Overloaded,
    /// Workspace has its share and upstreams are busy.
    OverShare,
    /// Fleet has sent too many requests more than once.
    RetryBudget,
}

impl DeclineReason {
    /// Returns a short name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoUpstream => "no_upstream",
            Self::Cold => "cold",
            Self::Overloaded => "overloaded",
            Self::OverShare => "over_share",
            Self::RetryBudget => "repeat_budget",
        }
    }
}

/// Refusal of a request that was not run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decline {
    /// Reason.
    pub reason: DeclineReason,
    /// When room is expected.
    pub retry_after: Duration,
    /// Expected time to the first event at the best upstream, had it been placed.
    pub expected: Option<Duration>,
    /// What the workspace would have had, as a part of its share.
    pub share_usage: f64,
    /// How busy the upstreams are: zero when idle, one when they are just in time.
    pub pressure: f64,
    /// How many times their share workspaces may have while upstreams are not busy.
    pub over_share_factor: f64,
}

/// Decision about a request.
pub type Admission = Result<Placement, Decline>;
