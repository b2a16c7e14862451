//! Route of requests to services.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::hash::stable_hash;
use crate::name::Name;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RouteKind {
    /// Plain calls that may run more than once.
    Idempotent,
    /// Plain calls that run at most once for each attempt of a client.
    NonIdempotent,
    /// Streams of events; `resumable` ones may go on at another upstream.
    Stream {
        /// Whether a stream may go on at another upstream.
        resumable: bool,
    },
}

impl RouteKind {
    /// Tells whether a call that may have run may be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Tells whether answers are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Part of the traffic of a route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Split {
    /// Service.
    pub service: Name,
    /// Weight against the other parts.
    pub weight: u32,
}

/// Route of requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Name.
    pub name: Name,
    /// Start of the paths that it takes.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time until the final answer.
    pub timeout: Duration,
    /// Time within which an answer has its full worth.
    pub target: Duration,
    /// Services with their weights.
    pub splits: Vec<Split>,
    /// Most upstreams that may run one attempt of a client.
    pub attempts: u32,
    /// Whether requests need no key.
    pub is_open: bool,
}

impl Route {
    /// Returns the service for the request `id`, the same for every router.
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
