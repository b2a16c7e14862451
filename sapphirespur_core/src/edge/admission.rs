//! Result of admission control for a request.

use std::net::SocketAddr;
use std::time::Duration;

use crate::edge::InFlightRequest;
use crate::name::Name;

/// Upstream on which a request has been placed.
#[derive(Clone, Debug)]
pub struct Placement {
    /// State of the request until it ends.
    pub request: InFlightRequest,
    /// Address of the upstream's HTTP server.
    pub address: SocketAddr,
    /// Identity of the upstream's process instance, sent along so that the upstream can verify it.
    pub instance: Name,
    /// Upstream from which this one fetches cached prompt segments; none when nothing is fetched.
    pub fetch_from: Option<SocketAddr>,
    /// Expected time to the first event of a stream, or to the response of a plain call.
    pub expected_delay: Duration,
}

/// Reason why a request is declined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeclineReason {
    /// No upstream of the service accepts requests.
    NoUpstream,
    /// No upstream runs the version that began the stream, and none of it is expected back.
    VersionGone,
    /// Each upstream of the service that accepts requests has asked this router for a pause.
    Paused,
    /// Each available upstream of the service is cold and at this router's limit, or was already
    /// tried for the request.
    Cold,
    /// Each available upstream has named a limit of which this router's part is used up, or was
    /// already tried for the request.
    Limited,
    /// Each upstream of a plain service that the request may go to is known to be full.
    Full,
    /// The response would be too late, or all connections of the upstreams are in use.
    Overloaded,
    /// The workspace has used its share and the upstreams are busy.
    OverShare,
    /// Upstreams have ended under the request before, or under a segment of its prompt.
    Quarantined,
    /// The retry budget of the service is exhausted.
    RetryBudget,
}

impl DeclineReason {
    /// Returns a short name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoUpstream => "no_upstream",
            Self::VersionGone => "version_gone",
            Self::Paused => "paused",
            Self::Cold => "cold",
            Self::Limited => "limited",
            Self::Full => "full",
            Self::Overloaded => "overloaded",
            Self::OverShare => "over_share",
            Self::Quarantined => "quarantined",
            Self::RetryBudget => "repeat_budget",
        }
    }
}

/// Why a request was declined, and when the client should retry; the request was not run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decline {
    /// Reason why the request was declined.
    pub reason: DeclineReason,
    /// Time after which the client should retry.
    pub retry_after: Duration,
    /// Expected time to the first event at the best upstream; none when there was no candidate.
    pub expected_delay: Option<Duration>,
    /// Usage of the workspace with this request included, as a ratio to its share; zero when no
    /// candidate was evaluated.
    pub share_usage: f64,
    /// Pressure on the upstreams: zero when idle, one when responses are just in time.
    pub pressure: f64,
    /// Multiple of its share that a workspace may use while upstreams are not busy.
    pub over_share_factor: f64,
}

/// Placement of a request, or why it was declined.
pub type Admission = Result<Placement, Decline>;
