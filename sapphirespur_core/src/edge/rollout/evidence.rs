//! Rows of reports that tell how the versions of a service respond.

use serde::{Deserialize, Serialize};

/// Part of a version in a roll-out.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum RolloutRole {
    /// Version that the order names.
    Target,
    /// Any other version.
    Old,
}

/// Responses on one route since the roll-out began, at one or more routers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutEvidence {
    /// Hash of the service, the target and the attempt.
    pub rollout: u32,
    /// Hash of the route's name.
    pub route: u32,
    /// Part of the version.
    pub role: RolloutRole,
    /// Hash of the upstream's name, of a target upstream with bad responses; zero in the rows over all
    /// upstreams.
    pub upstream: u32,
    /// Requests that were sent.
    pub sent: u32,
    /// Responses that were judged.
    pub answered: u32,
    /// Responses with an error.
    pub failed: u32,
    /// Responses that were lost with their connection.
    pub lost: u32,
    /// Slow responses.
    pub slow: u32,
    /// Requests that have not ended.
    pub in_flight: u32,
}

impl RolloutEvidence {
    /// Largest count of requests that a report may state.
    const MAX_COUNT: u32 = 8_000_000;

    /// Returns a row without requests.
    pub fn empty(rollout: u32, route: u32, role: RolloutRole, upstream: u32) -> Self {
        Self {
            rollout,
            route,
            role,
            upstream,
            sent: 0,
            answered: 0,
            failed: 0,
            lost: 0,
            slow: 0,
            in_flight: 0,
        }
    }

    /// Returns what the row counts, as one value for maps.
    pub(crate) fn key(&self) -> EvidenceKey {
        let Self { rollout, route, role, upstream, .. } = *self;
        EvidenceKey { rollout, route, role, upstream }
    }

    /// Returns the bad responses.
    pub fn bad(&self) -> u32 {
        self.failed + self.lost + self.slow
    }

    /// Adds the counts of another row.
    pub fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.answered += other.answered;
        self.failed += other.failed;
        self.lost += other.lost;
        self.slow += other.slow;
        self.in_flight += other.in_flight;
    }

    /// Subtracts the counts of a row that was added before.
    pub(crate) fn subtract(&mut self, other: &Self) {
        self.sent -= other.sent;
        self.answered -= other.answered;
        self.failed -= other.failed;
        self.lost -= other.lost;
        self.slow -= other.slow;
        self.in_flight -= other.in_flight;
    }

    /// Returns whether the counts are in a range in which they can be added up.
    pub fn is_plausible(&self) -> bool {
        let counts = [self.sent, self.answered, self.failed, self.lost, self.slow, self.in_flight];
        counts.into_iter().all(|count| count <= Self::MAX_COUNT)
    }
}

/// What a row of evidence counts.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct EvidenceKey {
    /// Hash of the service, the target and the attempt.
    pub rollout: u32,
    /// Hash of the route's name.
    pub route: u32,
    /// Part of the version.
    pub role: RolloutRole,
    /// Hash of the upstream's name; zero for all upstreams.
    pub upstream: u32,
}
