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

    /// Responses that are assumed without any, with the rates of all routes.
    const PRIOR: f64 = 20.0;

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

    /// Returns the rates of bad responses; on a route with few responses, they are close to those of
    /// all routes.
    pub fn rates(&self, all: &Self) -> Rates {
        let rate = |own: f64, all_bad: f64| {
            let prior = Self::PRIOR * all_bad / all.answered.max(Self::PRIOR);
            let responses = self.answered + Self::PRIOR;
            let rate = ((own + prior) / responses).min(1.0);
            rate + (rate * (1.0 - rate) / responses).sqrt()
        };
        Rates { failures: rate(self.failed, all.failed), slow: rate(self.slow, all.slow) }
    }
}

/// Rates of bad responses that a version has at most if it is like the old ones: the measured ones and
/// a standard deviation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rates {
    /// Rate of failures.
    pub failures: f64,
    /// Rate of slow responses.
    pub slow: f64,
}
