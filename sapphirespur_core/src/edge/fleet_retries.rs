//! Requests and retries of the whole fleet for one service, as this router has heard of them.

use std::collections::VecDeque;
use std::time::Duration;

use crate::edge::RetryLimits;
use crate::time::Time;

/// What the other routers reported between two samples.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Time,
    /// Requests of the whole fleet in the window before the sample.
    requests: f64,
    /// New retries of routers that still report them.
    reported: f64,
    /// New retries of routers that report them no longer.
    lost: f64,
}

/// History of the reports of the other routers, over one window.
///
/// Reports state sums over the window, which no longer contain what a router has spent that was
/// killed, is cut off or has started again. The limits still count it, so the new retries of each
/// interval are derived from consecutive sums and kept for the window.
#[derive(Clone, Debug, Default)]
pub(super) struct FleetRetries {
    samples: VecDeque<Sample>,
    /// Retries in the samples that are still reported.
    reported: f64,
}

impl FleetRetries {
    /// Shortest time between two samples; reports arrive less often.
    const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

    /// Records what the other routers report now; `requests` are those of the whole fleet.
    pub fn observe(&mut self, now: Time, window: Duration, requests: f64, retries: u32) {
        let is_recent = |sample: &Sample| now.since(sample.at) < Self::SAMPLE_INTERVAL;
        if self.samples.back().is_some_and(is_recent) {
            return;
        }

        self.expire(now, window);
        let reported = f64::from(retries);
        let new = (reported - self.reported).max(0.0);
        if reported < self.reported {
            self.mark_lost(1.0 - reported / self.reported);
        }
        self.reported = reported;
        self.samples.push_back(Sample { at: now, requests, reported: new, lost: 0.0 });
    }

    /// Returns whether the retries in each window that contains `now` fit the limits, with `expected`
    /// further ones of the fleet; `own_retries` returns those of this router since a time.
    ///
    /// A window that is not over may get no further requests. The limits go by the requests in it so
    /// far, in the window before it or in the one half a window before it, whichever are most.
    pub fn fits(
        &self,
        now: Time,
        limits: RetryLimits,
        requests: f64,
        own_retries: impl Fn(Time) -> usize,
        expected: f64,
    ) -> bool {
        let allows = |retries: f64, requests: f64| {
            retries + expected <= limits.ratio * requests + limits.allowance
        };
        let mut others = 0.0;
        let recent = |sample: &&Sample| now.since(sample.at) <= limits.window;
        for sample in self.samples.iter().rev().take_while(recent) {
            others += sample.reported + sample.lost;
            let so_far = requests - sample.requests;
            let half_before = self.requests_at(sample.at + limits.window / 2);
            let most = sample.requests.max(half_before).max(so_far);
            if !allows(others + own_retries(sample.at) as f64, most) {
                return false;
            }
        }
        allows(others + own_retries(now - limits.window) as f64, requests)
    }

    /// Returns the retries of the other routers in the window, those that are no longer reported
    /// included.
    pub fn retries(&self) -> f64 {
        self.samples.iter().map(|sample| sample.reported + sample.lost).sum()
    }

    /// Returns the requests in the window before `at`; zero if that is not over yet.
    fn requests_at(&self, at: Time) -> f64 {
        let index = self.samples.partition_point(|sample| sample.at < at);
        self.samples.get(index).map_or(0.0, |sample| sample.requests)
    }

    fn expire(&mut self, now: Time, window: Duration) {
        while let Some(sample) = self.samples.front()
            && now.since(sample.at) > window
        {
            self.reported -= sample.reported;
            self.samples.pop_front();
        }
        // What is left after many additions and subtractions is no retry.
        self.reported = self.reported.max(0.0);
    }

    /// Marks a fraction of the reported retries as those of routers that report them no longer.
    fn mark_lost(&mut self, fraction: f64) {
        for sample in &mut self.samples {
            let lost = sample.reported * fraction;
            sample.reported -= lost;
            sample.lost += lost;
        }
    }
}
