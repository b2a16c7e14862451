//! Admission of requests by a router that is short of processor time.

use std::time::Duration;

use crate::collections::HashMap;
use crate::edge::water_fill;
use crate::time::Time;

/// Refuses requests while the router's own work is late, so that the ones that it takes are served
/// in time. Workspaces with the most requests at this router are refused first.
#[derive(Clone, Debug)]
pub struct OverloadGuard {
    /// Fraction of the requests to refuse.
    refused_fraction: f64,
    /// Requests in the current interval, by the hash of the workspace's name.
    requests: HashMap<u32, u64>,
    /// Requests in the interval before.
    previous: HashMap<u32, u64>,
    /// Accepted requests that ended in the current interval.
    finished: u64,
    /// Accepted requests that ended in the interval before.
    previous_finished: u64,
    interval_end: Time,
    /// Requests that each workspace may send in an interval.
    limit: u64,
    /// Number of refused requests, which spreads their retry-after times.
    refused: u64,
    /// Since when requests are refused without a break; none while none is.
    refusing_since: Option<Time>,
    /// Until when the router asks for no new connections.
    relief_until: Time,
    /// Readiness checks in a row that said that the router is not ready.
    failed_checks: u32,
    /// Lateness of the last tick.
    lateness: Duration,
    /// When the next tick is due; none before the first one.
    next_tick: Option<Time>,
}

impl OverloadGuard {
    /// Lateness of a tick beyond which requests are refused: a request passes through the queue of
    /// tasks several times.
    const MAX_LATENESS: Duration = Duration::from_millis(100);

    /// Lateness of a tick below which fewer requests are refused. In between, the refused fraction
    /// stays, so that the router is neither late nor idle.
    const CALM_LATENESS: Duration = Duration::from_millis(30);

    /// Length of the intervals in which requests are counted.
    const INTERVAL: Duration = Duration::from_millis(500);

    /// Increase of the refused fraction in [`Self::INCREASE_TIME`] if ticks are late by twice the
    /// maximum or more. Late ticks are rare, so that each counts for all the time that it covers.
    const INCREASE: f64 = 0.08;

    /// Time in which the refused fraction rises by [`Self::INCREASE`].
    const INCREASE_TIME: Duration = Duration::from_millis(100);

    /// Decrease of the refused fraction for each calm tick; it is gone within two seconds.
    const DECREASE: f64 = 0.06;

    /// Upper bound of the refused fraction.
    const MAX_REFUSED_FRACTION: f64 = 0.97;

    /// Part of the requests that ended in the last interval that is accepted at least, so that one
    /// late tick does not leave the router idle. Less than all, since a queue has to shrink.
    const MIN_ACCEPTED: f64 = 0.75;

    /// Refusals for each closed connection of a refused client. With each one closed, all clients
    /// would leave before the refused fraction has followed.
    const REFUSALS_PER_MOVE: u64 = 2;

    /// Refused fraction beyond which the router asks for no new connections at once.
    const MOST: f64 = 0.5;

    /// Time with refusals after which the router asks for no new connections.
    const RELIEF_AFTER: Duration = Duration::from_millis(1_000);

    /// Time for which it asks for none.
    const RELIEF_DURATION: Duration = Duration::from_millis(3_000);

    /// Range of the retry-after time: another router takes the request.
    const RETRY_AFTER_RANGE_S: (f64, f64) = (0.05, 0.35);

    /// Failed readiness checks in a row after which the load balancer opens no new connections here.
    const CHECKS_TO_LEAVE: u32 = 2;

    /// Golden ratio, whose multiples have evenly spread fractional parts.
    const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

    /// Records that a tick came `lateness` after it was due.
    pub fn on_tick(&mut self, now: Time, lateness: Duration) {
        self.lateness = lateness;
        if lateness > Self::MAX_LATENESS {
            let excess = lateness.as_secs_f64() / Self::MAX_LATENESS.as_secs_f64() - 1.0;
            let covered = 1.0 + lateness.as_secs_f64() / Self::INCREASE_TIME.as_secs_f64();
            self.refused_fraction += Self::INCREASE * excess.min(1.0) * covered;
        }
        if lateness < Self::CALM_LATENESS {
            self.refused_fraction -= Self::DECREASE;
        }
        if now >= self.interval_end {
            self.interval_end = now + Self::INTERVAL;
            self.previous = std::mem::take(&mut self.requests);
            self.previous_finished = std::mem::take(&mut self.finished);
        }
        let counts: Vec<u64> = self.previous.values().copied().collect();
        let total = counts.iter().sum::<u64>() as f64;
        let min_accepted = self.previous_finished as f64 * Self::MIN_ACCEPTED / total.max(1.0);
        let max_refused = (1.0 - min_accepted).clamp(0.0, Self::MAX_REFUSED_FRACTION);
        self.refused_fraction = self.refused_fraction.clamp(0.0, max_refused);
        self.ask_for_relief(now, lateness);

        let accepted = total * (1.0 - self.refused_fraction);
        self.limit = water_fill(&counts, accepted as u64).max(1);
    }

    /// Asks for relief while most requests are refused, or some from [`Self::RELIEF_AFTER`] on, until
    /// the ticks are calm: the refusals keep them nearly in time, and the refused clients would come
    /// back.
    fn ask_for_relief(&mut self, now: Time, lateness: Duration) {
        if !self.is_refusing() {
            self.refusing_since = None;
            return;
        }
        let since = *self.refusing_since.get_or_insert(now);
        let is_lasting = now.since(since) >= Self::RELIEF_AFTER;
        let refuses_most = self.refused_fraction > Self::MOST;
        if (is_lasting || refuses_most) && lateness >= Self::CALM_LATENESS {
            self.relief_until = now + Self::RELIEF_DURATION;
        }
    }

    /// Counts a request of a workspace. Returns `None` if it may be served, or the time after which
    /// the client should retry.
    pub fn check(&mut self, workspace: u32) -> Option<Duration> {
        let count = self.requests.entry(workspace).or_default();
        *count += 1;
        if self.refused_fraction <= 0.0 || *count <= self.limit {
            return None;
        }

        Some(self.refuse())
    }

    /// Counts a refused request. Returns the time after which the client should retry.
    pub fn refuse(&mut self) -> Duration {
        self.refused += 1;
        let (min, max) = Self::RETRY_AFTER_RANGE_S;
        let position = (self.refused as f64 * Self::GOLDEN_RATIO).fract();
        Duration::from_secs_f64(min + (max - min) * position)
    }

    /// Records when the next tick is due.
    pub fn expect_tick(&mut self, at: Time) {
        self.next_tick = Some(at);
    }

    /// Returns how long a request that is read now may have waited for it: as long as the router's own
    /// work is late.
    pub fn waiting_time(&self, now: Time) -> Duration {
        let overdue = self.next_tick.map_or(Duration::ZERO, |at| now.since(at));
        let waiting = self.lateness.max(overdue);
        if waiting < Self::CALM_LATENESS { Duration::ZERO } else { waiting }
    }

    /// Returns the fraction of the requests that the router refuses.
    pub fn refused_fraction(&self) -> f64 {
        self.refused_fraction
    }

    /// Returns whether the router is refusing requests.
    pub fn is_refusing(&self) -> bool {
        self.refused_fraction > 0.0
    }

    /// Records that an accepted request has ended.
    pub fn on_finished(&mut self) {
        self.finished += 1;
    }

    /// Records the answer to a readiness check of the load balancer.
    pub fn on_readiness_check(&mut self, is_ready: bool) {
        self.failed_checks = if is_ready { 0 } else { self.failed_checks.saturating_add(1) };
    }

    /// Returns whether the connection of the client that was refused last is to be closed: the load
    /// balancer opens a new one at another router.
    pub fn moves_client(&self) -> bool {
        self.is_refusing()
            && self.failed_checks >= Self::CHECKS_TO_LEAVE
            && self.refused.is_multiple_of(Self::REFUSALS_PER_MOVE)
    }

    /// Returns whether the router asks for no new connections.
    pub fn wants_relief(&self, now: Time) -> bool {
        now < self.relief_until
    }
}

impl Default for OverloadGuard {
    fn default() -> Self {
        Self {
            refused_fraction: 0.0,
            requests: HashMap::default(),
            previous: HashMap::default(),
            finished: 0,
            previous_finished: 0,
            interval_end: Time::default(),
            limit: u64::MAX,
            refused: 0,
            refusing_since: None,
            relief_until: Time::default(),
            failed_checks: 0,
            lateness: Duration::ZERO,
            next_tick: None,
        }
    }
}
