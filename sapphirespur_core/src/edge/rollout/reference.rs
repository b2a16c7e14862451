//! Rates of bad responses of the old versions.

use std::time::Duration;

use crate::edge::rollout::counts::Counts;

/// Recent responses of the old versions on one route.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Reference {
    answered: f64,
    failed: f64,
    slow: f64,
}

impl Reference {
    /// Time in which the weight of a response halves.
    const HALF_LIFE: Duration = Duration::from_secs(2);

    /// Responses that are assumed without any, and the bad ones among them.
    const PRIOR: (f64, f64, f64) = (20.0, 0.1, 1.0);

    /// Adds responses. Without new ones, as at the end of a roll-out, the earlier ones keep their
    /// weight.
    pub fn add(&mut self, elapsed: Duration, counts: Counts) {
        if counts.answered == 0 && counts.bad() == 0 {
            return;
        }

        let kept = 0.5_f64.powf(elapsed.as_secs_f64() / Self::HALF_LIFE.as_secs_f64());
        self.answered = self.answered * kept + f64::from(counts.answered);
        self.failed = self.failed * kept + f64::from(counts.failed + counts.lost);
        self.slow = self.slow * kept + f64::from(counts.slow);
    }

    /// Returns the rate of failures.
    pub fn failures(&self) -> f64 {
        let (answered, failed, _) = Self::PRIOR;
        (self.failed + failed) / (self.answered + answered)
    }

    /// Returns the rate of slow responses.
    pub fn slow(&self) -> f64 {
        let (answered, _, slow) = Self::PRIOR;
        (self.slow + slow) / (self.answered + answered)
    }
}
