//! What other routers are asked for of one workspace now.

use std::time::Duration;

use crate::time::Time;

/// Tokens a second that other routers are asked for, from how their decaying sum changes: the sum itself
/// stays high for a while after a flood has moved to another router.
#[derive(Clone, Copy, Debug)]
pub(super) struct OthersDemand {
    /// Sum of the tokens asked for at the last sample.
    asked: f64,
    pub sampled_at: Time,
    /// Tokens a second between the last two samples.
    pub per_s: f64,
}

impl OthersDemand {
    /// Takes the first sample of a sum that decays in `window`, as if its rate were steady.
    pub fn new(now: Time, asked: f64, window: Duration) -> Self {
        Self { asked, sampled_at: now, per_s: asked / window.as_secs_f64() }
    }

    /// Takes another sample once reports have had the time `lag` to change the sum.
    pub fn sample(&mut self, now: Time, asked: f64, window: Duration, lag: Duration) {
        let elapsed = now.since(self.sampled_at);
        if elapsed.is_zero() || elapsed < lag {
            return;
        }

        let window_s = window.as_secs_f64();
        let kept = (-elapsed.as_secs_f64() / window_s).exp();
        let added = (asked - self.asked * kept).max(0.0);
        self.per_s = added / (window_s * (1.0 - kept));
        self.asked = asked;
        self.sampled_at = now;
    }
}
