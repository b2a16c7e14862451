//! Concurrency limit of one upstream, adapted to the latency that its sidecar measures.

use std::time::Duration;

use crate::time::Time;

/// Maximum time to first token of a healthy answer.
pub const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(1_400);

/// Maximum mean time between tokens of a healthy answer.
pub const TOKEN_GAP_TARGET: Duration = Duration::from_millis(41);

/// Time to first token above which the upstream is considered cold.
pub const COLD_FIRST_TOKEN_THRESHOLD: Duration = Duration::from_millis(5_600);

/// Minimum time between two reductions of the limit for slow answers.
const REDUCTION_INTERVAL: Duration = Duration::from_secs(1);

/// Pause after the first failure; doubles with each consecutive failure.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Maximum pause after a failure.
const MAX_PAUSE: Duration = Duration::from_secs(3);

/// Maximum time by which a load report lags behind the upstream's state.
pub const MAX_REPORT_LAG: Duration = Duration::from_secs(3);

/// State of the upstream according to its load reports; a failure or a reopening discards earlier
/// ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReportedState {
    /// The upstream sends no load reports.
    NoReports,
    /// The last report said cold, or none has arrived yet.
    Cold,
    /// All reports since this time said warm.
    WarmSince(Time),
}

/// Whether an upstream is cold or warm, as the limiter estimates it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The upstream sustains few concurrent requests; the limit grows with each round of healthy
    /// answers.
    Cold,
    /// The limit has reached the slots at healthy latency since the last failure.
    Warm,
}

/// Latency measurements of one finished request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LatencySample {
    /// Time from the call to the first token; absent without tokens.
    pub first_token: Option<Duration>,
    /// Mean time between tokens; absent with fewer than two tokens.
    pub token_gap: Option<Duration>,
}

/// Epoch of the limit, which ends when the limit falls back to the cold slots.
///
/// Results of a request count only in the epoch in which it was called.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Epoch(u64);

/// Adaptive concurrency limit of one upstream.
///
/// Starts at the cold slots, doubles up to the slots while cold, then follows latency by additive
/// increase and multiplicative decrease.
#[derive(Clone, Debug)]
pub struct Limiter {
    cold_slots: u32,
    slots: u32,
    limit: u32,
    phase: Phase,
    /// Healthy answers counted towards the next increase of the limit.
    healthy_answers: u32,
    epoch: Epoch,
    /// Number of failures since a request last finished; each doubles the next pause.
    failures: u32,
    paused_until: Time,
    last_reduction: Time,
    reported: ReportedState,
}

impl Limiter {
    /// Creates a limiter for an upstream, which is assumed to be cold.
    pub fn new(cold_slots: u32, slots: u32, has_load_reports: bool) -> Self {
        // An upstream with load reports counts as cold until its first report.
        let reported =
            if has_load_reports { ReportedState::Cold } else { ReportedState::NoReports };

        Self {
            cold_slots,
            slots,
            limit: cold_slots,
            phase: Phase::Cold,
            healthy_answers: 0,
            epoch: Epoch(0),
            failures: 0,
            paused_until: Time::default(),
            last_reduction: Time::default(),
            reported,
        }
    }

    /// Returns the phase of the upstream.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the epoch of a request that is called now.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the current limit of concurrent requests; zero during a pause after a failure.
    pub fn limit(&self, now: Time) -> u32 {
        if now < self.paused_until { 0 } else { self.limit }
    }

    /// Returns the end of the current pause after a failure; `None` outside a pause.
    pub fn paused_until(&self, now: Time) -> Option<Time> {
        (now < self.paused_until).then_some(self.paused_until)
    }

    /// Sets new bounds from the configuration and clamps the limit to them.
    pub fn set_bounds(&mut self, cold_slots: u32, slots: u32) {
        self.cold_slots = cold_slots;
        self.slots = slots;
        self.limit = self.limit.clamp(cold_slots.min(slots), slots);
        if self.limit < slots {
            self.healthy_answers = 0;
        }
    }

    /// Records the latency of a finished request.
    ///
    /// `saturated` is whether the number of running requests had reached the limit.
    pub fn on_finished(&mut self, now: Time, epoch: Epoch, sample: LatencySample, saturated: bool) {
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

    /// Records the time to first token of a running request.
    ///
    /// For a cold upstream that reports warm, a healthy first token counts as a healthy answer. The
    /// limit grows once the reports have said warm for `MAX_REPORT_LAG`.
    pub fn on_first_token(&mut self, now: Time, epoch: Epoch, latency: Duration) {
        let is_reported_warm = matches!(self.reported, ReportedState::WarmSince(_));
        let is_healthy = latency <= FIRST_TOKEN_TARGET;
        let counts = is_reported_warm && is_healthy && self.phase == Phase::Cold;
        if counts && epoch == self.epoch {
            self.on_healthy(now, true);
        }
    }

    /// Treats the upstream as cold again, because it had no work while it accepted none.
    pub fn on_reopened(&mut self) {
        if self.reported != ReportedState::NoReports {
            self.reported = ReportedState::Cold;
        }
        self.reset_to_cold();
    }

    /// Records a failure: an error, or no first token within `COLD_FIRST_TOKEN_THRESHOLD`.
    ///
    /// Either is evidence that the upstream is cold or gone, so it is paused and treated as cold.
    pub fn on_failed(&mut self, now: Time, epoch: Epoch) {
        if epoch != self.epoch {
            return;
        }

        let doublings = self.failures.min(16);
        self.paused_until = now + (FIRST_PAUSE * (1 << doublings)).min(MAX_PAUSE);
        if self.reported != ReportedState::NoReports {
            // Reports from before the failure must not count.
            self.reported = ReportedState::Cold;
        }
        self.failures += 1;
        self.reset_to_cold();
    }

    /// Records a load report.
    ///
    /// A report may be stale, so it can lower the limit or keep it low, but never raises it.
    pub fn on_report(&mut self, now: Time, cold: bool) {
        if cold {
            self.reported = ReportedState::Cold;
            if self.phase == Phase::Warm {
                self.reset_to_cold();
            }
            return;
        }

        if !matches!(self.reported, ReportedState::WarmSince(_)) {
            self.reported = ReportedState::WarmSince(now);
        }
    }

    /// Returns whether the limit of a cold upstream may grow beyond the cold slots.
    ///
    /// Healthy answers alone are no evidence of a warm upstream: a cold one also answers at healthy
    /// latency as long as it has no more requests than its cold slots.
    fn may_grow(&self, now: Time) -> bool {
        match self.reported {
            ReportedState::NoReports => true,
            ReportedState::Cold => false,
            ReportedState::WarmSince(since) => now.since(since) >= MAX_REPORT_LAG,
        }
    }

    /// Resets the limit to the cold slots and starts a new epoch.
    fn reset_to_cold(&mut self) {
        self.phase = Phase::Cold;
        self.limit = self.cold_slots;
        self.healthy_answers = 0;
        self.epoch.0 += 1;
    }

    fn on_healthy(&mut self, now: Time, saturated: bool) {
        if !saturated && self.phase == Phase::Warm {
            return;
        }
        self.healthy_answers += 1;
        if self.healthy_answers < self.limit || (self.phase == Phase::Cold && !self.may_grow(now)) {
            return;
        }

        self.healthy_answers = 0;
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
        self.healthy_answers = 0;
        if now.since(self.last_reduction) < REDUCTION_INTERVAL {
            return;
        }

        self.last_reduction = now;
        let reduced = self.limit - (self.limit / 10).max(1).min(self.limit);
        self.limit = reduced.max(self.cold_slots);
    }
}

impl LatencySample {
    fn is_healthy(&self) -> bool {
        self.first_token.is_none_or(|latency| latency <= FIRST_TOKEN_TARGET)
            && self.token_gap.is_none_or(|gap| gap <= TOKEN_GAP_TARGET)
    }
}
