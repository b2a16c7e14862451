//! Time over which the paces of a service's upstreams change.

use std::time::Duration;

use crate::edge::load::PaceStep;

/// Estimate of how long an unusual pace lasts on average: the observed time of unusual paces per
/// change.
#[derive(Clone, Copy, Debug)]
pub struct PaceTime {
    /// Time for which unusual paces were observed, in seconds.
    observed_s: f64,
    /// Changes in that time.
    changes: f64,
}

impl PaceTime {
    /// Shortest and longest estimate.
    const RANGE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(3));

    /// Estimate before the first observations.
    const INITIAL: Duration = Duration::from_millis(500);

    /// Time constants of the decay in the mean time of an unusual pace. Avoiding an upstream that has
    /// recovered takes its whole capacity, while sending one request to a slow one renews its figures.
    const DECAYS: u32 = 4;

    /// Changes for which the initial estimate counts.
    const INITIAL_CHANGES: f64 = 4.0;

    /// Changes above which old observations lose weight.
    const MAX_CHANGES: f64 = 64.0;

    /// Longest time between two figures that show that nothing has changed in between. Slow upstreams
    /// get little work, so a change often shows only after a longer time, which counts as this.
    const MAX_ELAPSED: Duration = Duration::from_secs(1);

    /// Slowdown from which on a pace counts as unusual.
    const MIN_SLOWDOWN: f64 = 0.2;

    /// Part of a slowdown that must go for a change: smaller differences are fluctuation.
    const CHANGED_PART: f64 = 0.5;

    /// Returns how long an unusual pace lasts on average.
    pub fn get(&self) -> Duration {
        let (shortest, longest) = Self::RANGE;
        Duration::from_secs_f64(self.observed_s / self.changes).clamp(shortest, longest)
    }

    /// Returns the time constant with which paces decay to the usual one.
    pub(super) fn decay(&self) -> Duration {
        self.get() / Self::DECAYS
    }

    /// Records two successive figures of an upstream.
    pub(super) fn record(&mut self, step: PaceStep) {
        if step.before.abs() < Self::MIN_SLOWDOWN {
            return;
        }
        let elapsed = step.elapsed.min(Self::MAX_ELAPSED).as_secs_f64();
        if (step.after - step.before).abs() > step.before.abs() * Self::CHANGED_PART {
            // The change came at some time in between.
            self.observed_s += elapsed / 2.0;
            self.changes += 1.0;
        } else if step.elapsed < Self::MAX_ELAPSED {
            self.observed_s += elapsed;
        }
        if self.changes > Self::MAX_CHANGES {
            self.observed_s /= 2.0;
            self.changes /= 2.0;
        }
    }
}

impl Default for PaceTime {
    fn default() -> Self {
        let observed_s = Self::INITIAL.as_secs_f64() * Self::INITIAL_CHANGES;
        Self { observed_s, changes: Self::INITIAL_CHANGES }
    }
}
