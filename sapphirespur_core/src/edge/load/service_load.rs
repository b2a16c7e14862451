//! What the upstreams of a service that tell their load have in common.

use std::time::Duration;

use crate::edge::PaceTime;

/// Learned properties of a service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceLoad {
    /// Time over which paces change.
    pub pace_time: PaceTime,
    /// Time that a plain call takes in a slot at the usual pace, in milliseconds.
    pub work_ms: f64,
}

impl ServiceLoad {
    /// Initial estimate of the time in a slot, in milliseconds.
    const INITIAL_WORK_MS: f64 = 100.0;

    /// Smoothing factor of the time in a slot.
    const SMOOTHING_FACTOR: f64 = 0.1;

    /// Records a plain call that was answered after `response_time`, with `occupied` requests per slot
    /// and a pace as expected at its placement.
    pub(super) fn record_call(&mut self, response_time: Duration, occupied: f64, pace: f64) {
        let work_ms = response_time.as_secs_f64() * 1_000.0 / (occupied.max(1.0) * pace);
        self.work_ms += Self::SMOOTHING_FACTOR * (work_ms - self.work_ms);
    }
}

impl Default for ServiceLoad {
    fn default() -> Self {
        Self { pace_time: PaceTime::default(), work_ms: Self::INITIAL_WORK_MS }
    }
}
