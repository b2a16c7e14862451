//! Upstream of a plain service on which a call could be placed.

use crate::edge::LoadUse;

/// What the choice among the upstreams of a plain service depends on.
#[derive(Clone, Copy, Debug)]
pub(in crate::edge) struct PlainOption {
    /// Estimate from the newest figures; none when the upstream has told none recently.
    pub told: Option<LoadUse>,
    /// Weight of that estimate, from zero for old figures to one for new ones.
    pub confidence: f64,
    /// Requests of all routers at the upstream, as their reports say.
    pub in_flight: f64,
    /// Requests that it runs at a time.
    pub slots: f64,
    /// Requests that it is known to take, running and waiting.
    pub places: f64,
    /// Whether it is known to be full.
    pub is_full: bool,
    /// Fraction of recent requests that failed.
    pub failure_rate: f64,
    /// Cost of failures, unresponsiveness and distance, in milliseconds.
    pub avoidance_ms: f64,
}

impl PlainOption {
    /// Free places with which an upstream without any is drawn.
    const MIN_FREE: f64 = 0.5;

    /// Returns the requests at the upstream, where upstreams of the service have `usual` requests per
    /// slot on average: what is known of one upstream loses weight with its age.
    pub fn occupied(&self, usual: f64) -> f64 {
        let told = self.told.map_or(0.0, |told| told.occupied);
        told * self.confidence + usual * self.slots * (1.0 - self.confidence)
    }

    /// Returns the weight with which the upstream is drawn.
    pub fn weight(&self, usual: f64) -> f64 {
        let free = (self.places - self.occupied(usual)).max(Self::MIN_FREE);
        free * (1.0 - self.failure_rate).max(0.0)
    }

    /// Returns the cost of a call here in milliseconds, mostly the expected time to its response.
    pub fn cost_ms(&self, usual: f64, work_ms: f64) -> f64 {
        let turns = ((self.occupied(usual) + 1.0) / self.slots).max(1.0);
        let pace = self.told.map_or(1.0, |told| told.pace);
        work_ms * pace * turns + self.avoidance_ms
    }
}
