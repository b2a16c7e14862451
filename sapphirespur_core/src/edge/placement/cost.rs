//! Terms of the cost of placing a request on an upstream.

/// Cost of placing a request on an upstream, in milliseconds by cause.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cost {
    /// Expected time to the first event.
    pub delay_ms: f64,
    /// Time that the response takes after its first event.
    pub generation_ms: f64,
    /// Delay that the request causes for those in the same batch: by its prefill, and by its output
    /// where work is estimated.
    pub batch_delay_ms: f64,
    /// Running streams that become late by a pause.
    pub pause_ms: f64,
    /// Prefill of segments that other upstreams have cached, or the occupied slots of plain calls.
    pub affinity_ms: f64,
    /// Failures, unresponsiveness and distance.
    pub avoidance_ms: f64,
}

impl Cost {
    /// Returns the sum of the terms; lower is better.
    pub fn total_ms(&self) -> f64 {
        self.delay_ms
            + self.generation_ms
            + self.batch_delay_ms
            + self.pause_ms
            + self.affinity_ms
            + self.avoidance_ms
    }
}
