//! Routes from hosts and paths to services.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::hash::stable_hash;
use crate::name::Name;

/// Kind of the calls on a route, which determines whether they may be retried.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RouteKind {
    /// Plain calls that may run more than once.
    Idempotent,
    /// Plain calls that run at most once per client attempt.
    NonIdempotent,
    /// Calls that are answered with a stream of events.
    Stream {
        /// Whether a stream may continue at another upstream.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a call that may already have run may be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether responses are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Service of a route with its weight in the traffic split.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Split {
    /// Service that receives this fraction of the traffic.
    pub service: Name,
    /// Weight relative to the other splits of the route.
    pub weight: u32,
}

/// Rule that sends matching requests to one or more services.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Name that identifies the route in logs, metrics and usage.
    pub name: Name,
    /// Prefix of the request paths that the route matches.
    pub path_prefix: String,
    /// Kind of the calls, which determines whether they may be retried.
    pub kind: RouteKind,
    /// Longest time until the final response.
    pub timeout: Duration,
    /// Target latency of the first event, or of the response of a plain call.
    pub target: Duration,
    /// Longest time between two events of a stream, beyond which it counts as late; none when it does
    /// not matter.
    pub gap_limit: Option<Duration>,
    /// Services among which the route's traffic is split, with their weights.
    pub splits: Vec<Split>,
    /// Maximum number of upstreams that may run one client attempt.
    pub attempts: u32,
    /// Whether requests need no key.
    pub is_open: bool,
}

impl Route {
    /// Returns the service for the request `id`; the same on every router. None when the route has
    /// no services.
    pub fn service_for(&self, id: &str) -> Option<&Name> {
        let total: u64 = self.splits.iter().map(|split| u64::from(split.weight)).sum();
        if total == 0 {
            return self.splits.first().map(|split| &split.service);
        }

        let mut point = stable_hash(&[id.as_bytes()]) % total;
        for split in &self.splits {
            let weight = u64::from(split.weight);
            if point < weight {
                return Some(&split.service);
            }
            point -= weight;
        }
        None
    }
}
