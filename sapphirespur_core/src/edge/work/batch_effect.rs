//! Effect of one more request in a batch on the time between events.

/// Numbers of requests at one upstream and the times between events that went with them, on average.
#[derive(Clone, Copy, Debug, Default)]
pub struct BatchMean {
    requests: f64,
    interval_ms: f64,
    is_known: bool,
}

/// Least-squares estimate over the upstreams of a service. Only changes at the same upstream count, as
/// upstreams differ in speed.
#[derive(Clone, Copy, Debug, Default)]
pub struct BatchEffect {
    squares: f64,
    products: f64,
}

impl BatchEffect {
    /// Fraction of an upstream's sample in its means, and of all samples in the sums: ticks of some
    /// seconds.
    const SMOOTHING_FACTOR: f64 = 0.02;

    /// Records the requests at an upstream and the time between its events, in milliseconds.
    pub fn record(&mut self, mean: &mut BatchMean, requests: f64, interval_ms: f64) {
        if !std::mem::replace(&mut mean.is_known, true) {
            (mean.requests, mean.interval_ms) = (requests, interval_ms);
            return;
        }
        let (more, longer) = (requests - mean.requests, interval_ms - mean.interval_ms);
        mean.requests += Self::SMOOTHING_FACTOR * more;
        mean.interval_ms += Self::SMOOTHING_FACTOR * longer;
        self.squares += more * more;
        self.products += more * longer;
    }

    /// Lets earlier samples lose weight.
    pub fn decay(&mut self) {
        self.squares *= 1.0 - Self::SMOOTHING_FACTOR;
        self.products *= 1.0 - Self::SMOOTHING_FACTOR;
    }

    /// Returns the time that one more request adds between two events of each stream, in milliseconds;
    /// zero while it cannot be told.
    pub fn ms_per_request(&self) -> f64 {
        if self.squares > 0.0 { (self.products / self.squares).max(0.0) } else { 0.0 }
    }
}
