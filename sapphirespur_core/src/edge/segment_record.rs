//! Losses of upstreams under one prompt segment.

use std::time::Duration;

use crate::edge::{FleetNews, LossEvidence, SegmentReport};
use crate::time::Time;

/// Upstreams that were lost as they began to respond to requests with one prompt segment, since the
/// last whole response to such a request.
#[derive(Clone, Debug, Default)]
pub(super) struct SegmentRecord {
    /// Sum of the weights of the losses that count: each under a request that was sent after the loss before it.
    pub suspicion: u32,
    /// When the last loss that counts happened.
    pub lost_at: Time,
    /// When a request with the segment was last answered whole; none since the record was created.
    pub answered_at: Option<Time>,
    /// Whether a request with the segment has ever been answered whole.
    pub is_proven: bool,
    /// When a request with the segment was last tried although it is quarantined.
    pub tried_at: Option<Time>,
    /// When the record last changed here.
    pub changed_at: Time,
}

impl SegmentRecord {
    /// Suspicion at which a segment is quarantined that no response has ever been whole with.
    const LIMIT: u32 = 2 * LossEvidence::MidStart.weight();

    /// Suspicion at which a segment is quarantined that was fine before: it is more likely that
    /// another segment of the same requests is the cause, which is quarantined first.
    const PROVEN_LIMIT: u32 = 2 * Self::LIMIT;

    /// Time from a loss to the first trial of a quarantined segment.
    const TRIAL_DELAY: Duration = Duration::from_secs(5);

    /// Factor by which the delay grows with each trial that costs another upstream.
    const TRIAL_DELAY_FACTOR: u32 = 4;

    /// Longest delay between trials.
    const MAX_TRIAL_DELAY: Duration = Duration::from_secs(600);

    /// Time after which a trial that no router has made is open to one more router.
    const TRIAL_HANDOVER: Duration = Duration::from_secs(1);

    /// Records the loss of an upstream under a request that was sent at `sent_at`.
    ///
    /// Upstreams that are lost at the same time may have a common cause, so a loss counts only if
    /// its request was sent after the one before.
    pub fn on_lost(&mut self, now: Time, sent_at: Time, evidence: LossEvidence) {
        if self.suspicion > 0 && sent_at <= self.lost_at {
            return;
        }

        self.suspicion = self.suspicion.saturating_add(evidence.weight());
        self.lost_at = now;
        self.changed_at = now;
    }

    /// Records a whole response.
    pub fn on_answered(&mut self, now: Time) {
        if self.suspicion > 0 {
            self.changed_at = now;
        }
        self.suspicion = 0;
        self.answered_at = Some(now);
        self.is_proven = true;
    }

    /// Records the send of a request that is tried.
    pub fn on_tried(&mut self, now: Time) {
        self.tried_at = Some(now);
        self.changed_at = now;
    }

    /// Returns whether requests with the segment are refused, but for trials.
    pub fn is_quarantined(&self) -> bool {
        self.suspicion >= self.limit()
    }

    /// Returns when the next trial is due.
    pub fn trial_due_at(&self) -> Time {
        let excess = self.suspicion.saturating_sub(self.limit());
        let trials = excess / LossEvidence::MidStart.weight();
        let factor = Self::TRIAL_DELAY_FACTOR.saturating_pow(trials);
        let delay = Self::TRIAL_DELAY.saturating_mul(factor).min(Self::MAX_TRIAL_DELAY);
        let last = self.tried_at.map_or(self.lost_at, |tried_at| tried_at.max(self.lost_at));
        last + delay
    }

    /// Returns whether the router with this rank for the segment may try a request now. The first
    /// one may when the trial is due; the others follow, as it may get no such request.
    pub fn may_try(&self, now: Time, rank: usize) -> bool {
        let due_at = self.trial_due_at();
        let handovers = u32::try_from(rank).unwrap_or(u32::MAX);
        now >= due_at + Self::TRIAL_HANDOVER.saturating_mul(handovers)
    }

    /// Takes over what another router reports.
    pub fn merge(&mut self, now: Time, report: &SegmentReport) {
        let before = (self.suspicion, self.is_proven, self.tried_at, self.answered_at);
        let at = |age_ms: u32| now - Duration::from_millis(u64::from(age_ms));

        self.is_proven |= report.is_proven;
        let answered_at = report.answered_age_ms.map(at);
        if is_news(answered_at, self.answered_at) {
            self.answered_at = answered_at;
        }
        let lost_at = at(report.lost_age_ms);
        let is_cleared = |lost_at: Time| self.answered_at.is_some_and(|at| at >= lost_at);
        if self.suspicion > 0 && is_cleared(self.lost_at) {
            self.suspicion = 0;
        }
        if report.suspicion > self.suspicion && !is_cleared(lost_at) {
            self.suspicion = report.suspicion;
            self.lost_at = self.lost_at.max(lost_at);
        }
        let tried_at = report.tried_age_ms.map(at);
        if is_news(tried_at, self.tried_at) {
            self.tried_at = tried_at;
        }
        if before != (self.suspicion, self.is_proven, self.tried_at, self.answered_at) {
            self.changed_at = now;
        }
    }

    /// Returns the report of the record.
    pub fn report(&self, now: Time, segment: u64) -> SegmentReport {
        let age_ms = |at: Time| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);

        SegmentReport {
            segment,
            suspicion: self.suspicion,
            is_proven: self.is_proven,
            lost_age_ms: age_ms(self.lost_at),
            answered_age_ms: self.answered_at.map(age_ms),
            tried_age_ms: self.tried_at.map(age_ms),
        }
    }

    fn limit(&self) -> u32 {
        if self.is_proven { Self::PROVEN_LIMIT } else { Self::LIMIT }
    }
}

/// Returns whether another router's time is of a later moment than the one known here.
fn is_news(told: Option<Time>, known: Option<Time>) -> bool {
    match (told, known) {
        (Some(told), Some(known)) => told > known + FleetNews::SAME_MOMENT,
        (told, None) => told.is_some(),
        (None, _) => false,
    }
}
