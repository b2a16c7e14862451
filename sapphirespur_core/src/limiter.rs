//! Concurrency limit of one upstream, found from the latency that its sidecar measures.

use std::time::Duration;

use crate::time::Time;

/// Longest healthy time to first token.
pub const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(1_400);

/// Longest healthy mean time between tokens.
pub const TOKEN_GAP_TARGET: Duration = Duration::from_millis(41);

/// Time to first token that is evidence of a cold upstream.
pub const COLD_FIRST_TOKEN_THRESHOLD: Duration = Duration::from_millis(5_600);

/// Least time between two reductions for slow answers.
const REDUCTION_INTERVAL: Duration = Duration::from_secs(1);

/// Pause before the next trial after the first failure; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause before the next trial.
const MAX_PAUSE: Duration = Duration::from_secs(3);

/// Longest time by which a load report lags behind the upstream.
pub const MAX_REPORT_LAG: Duration = Duration::from_secs(3);

/// What the load reports have said since the last failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reported {
    /// The upstream sends no reports.
    Nothing,
    /// The last report said cold.
    Cold,
    /// All reports since a time said warm.
    WarmSince(Time),
}

/// Phase of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Bears little; the limit grows with each round of healthy answers.
    Cold,
    /// Has carried its full number of requests at healthy latency since the last failure.
    Warm,
}

/// What was measured of one finished request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Sample {
    /// Time from the call to the first token.
    pub first_token: Option<Duration>,
    /// Mean time between tokens.
    pub token_gap: Option<Duration>,
}

/// Epoch of the limit in which a request started; evidence counts only in its own epoch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Epoch(u64);

/// Controller of the limit.
#[derive(Clone, Debug)]
pub struct Limiter {
    cold_slots: u32,
    slots: u32,
    limit: u32,
    phase: Phase,
    healthy: u32,
    epoch: Epoch,
    failures: u32,
    paused_until: Time,
    last_reduction: Time,
    reported: Reported,
}

impl Limiter {
    /// Creates a limiter for an upstream that may be cold, and that may send load reports.
    pub fn new(cold_slots: u32, slots: u32, has_load_reports: bool) -> Self {
        // Until its first report, a reporting upstream counts as cold.
        let reported = if has_load_reports { Reported::Cold } else { Reported::Nothing };

        Self {
            cold_slots,
            slots,
            limit: cold_slots,
            phase: Phase::Cold,
            healthy: 0,
            epoch: Epoch(0),
            failures: 0,
            paused_until: Time::default(),
            last_reduction: Time::default(),
            reported,
        }
    }

    /// Returns the phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the epoch to which a request that starts now belongs.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns how many requests the upstream bears at once now.
    pub fn limit(&self, now: Time) -> u32 {
        if now < self.paused_until { 0 } else { self.limit }
    }

    /// Returns the end of the pause after a failure, when there is one.
    pub fn paused_until(&self, now: Time) -> Option<Time> {
        (now < self.paused_until).then_some(self.paused_until)
    }

    /// Takes new bounds from the configuration.
    pub fn set_bounds(&mut self, cold_slots: u32, slots: u32) {
        self.cold_slots = cold_slots;
        self.slots = slots;
        self.limit = self.limit.clamp(cold_slots.min(slots), slots);
        if self.limit < slots {
            self.healthy = 0;
        }
    }

    /// Takes the measurement of a request that finished; `saturated` tells whether the limit bound.
    pub fn on_finished(&mut self, now: Time, epoch: Epoch, sample: Sample, saturated: bool) {
        if epoch != self.epoch {
            return;
        }

        self.failures = 0;
        if sample.is_healthy() {
            self.on_healthy(now, saturated);
        } else {
            self.on_slow(now);
        }
    }

    /// Takes a first token that came `after` the call.
    ///
    /// Of an upstream that has reported warm for long enough, it counts as much as a whole answer.
    pub fn on_first_token(&mut self, now: Time, epoch: Epoch, latency: Duration) {
        let is_reported_warm = matches!(self.reported, Reported::WarmSince(_));
        let is_healthy = latency <= FIRST_TOKEN_TARGET;
        let counts = is_reported_warm && is_healthy && self.phase == Phase::Cold;
        if counts && epoch == self.epoch {
            self.on_healthy(now, true);
        }
    }

    /// Takes the upstream for cold, for it has been without work.
    pub fn on_reopened(&mut self) {
        if self.reported != Reported::Nothing {
            self.reported = Reported::Cold;
        }
        self.fall_back();
    }

    /// Takes evidence that the upstream is cold or gone: an error or a broken latency.
    pub fn on_failed(&mut self, now: Time, epoch: Epoch) {
        if epoch != self.epoch {
            return;
        }

        let doublings = self.failures.min(16);
        self.paused_until = now + (FIRST_PAUSE * (1 << doublings)).min(MAX_PAUSE);
        if self.reported != Reported::Nothing {
            // A report of before the failure must not count.
            self.reported = Reported::Cold;
        }
        self.failures += 1;
        self.fall_back();
    }

    /// Takes a load report, which may be stale: it can hold the limit down, and never raises it.
    pub fn on_report(&mut self, now: Time, cold: bool) {
        if cold {
            self.reported = Reported::Cold;
            if self.phase == Phase::Warm {
                self.fall_back();
            }
            return;
        }

        if !matches!(self.reported, Reported::WarmSince(_)) {
            self.reported = Reported::WarmSince(now);
        }
    }

    /// Tells whether an upstream that was cold may get more work than it bears when cold.
    ///
    /// Healthy answers alone don't show that: a cold upstream is healthy within its bounds.
    fn may_grow(&self, now: Time) -> bool {
        match self.reported {
            Reported::Nothing => true,
            Reported::Cold => false,
            Reported::WarmSince(since) => now.since(since) >= MAX_REPORT_LAG,
        }
    }

    fn fall_back(&mut self) {
        self.phase = Phase::Cold;
        self.limit = self.cold_slots;
        self.healthy = 0;
        self.epoch.0 += 1;
    }

    fn on_healthy(&mut self, now: Time, saturated: bool) {
        if !saturated && self.phase == Phase::Warm {
            return;
        }
        self.healthy += 1;
        if self.healthy < self.limit || (self.phase == Phase::Cold && !self.may_grow(now)) {
            return;
        }

        self.healthy = 0;
        let step = match self.phase {
            Phase::Cold => self.limit,
            Phase::Warm => 1,
        };
        self.limit = (self.limit + step).min(self.slots);
        if self.limit == self.slots {
            self.phase = Phase::Warm;
        }
    }

    fn on_slow(&mut self, now: Time) {
        self.healthy = 0;
        if now.since(self.last_reduction) < REDUCTION_INTERVAL {
            return;
        }

        self.last_reduction = now;
        let reduced = self.limit - (self.limit / 10).max(1).min(self.limit);
        self.limit = reduced.max(self.cold_slots);
    }
}

impl Sample {
    fn is_healthy(&self) -> bool {
        self.first_token.is_none_or(|span| span <= FIRST_TOKEN_TARGET)
            && self.token_gap.is_none_or(|span| span <= TOKEN_GAP_TARGET)
    }
}
