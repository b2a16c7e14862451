//! Losses of upstreams under one request or prompt segment.

use std::time::Duration;

use crate::edge::{FleetNews, LossEvidence, QuarantineKey, SuspectReport};
use crate::time::Time;

/// Upstreams that were lost as they began to respond to one request, or to requests with one prompt
/// segment, since the last whole response to such a request.
#[derive(Clone, Debug)]
pub(super) struct SuspectRecord {
    /// What is suspected.
    key: QuarantineKey,
    /// Sum of the weights of the losses that count: each under a request that was sent after the loss
    /// before it.
    pub suspicion: u32,
    /// When the last loss that counts happened.
    pub lost_at: Time,
    /// When such a request was last answered whole; none since the record was created.
    pub answered_at: Option<Time>,
    /// Whether such a request has ever been answered whole.
    pub is_proven: bool,
    /// When such a request was last tried although it is quarantined.
    pub tried_at: Option<Time>,
    /// When such a request was last refused here.
    pub refused_at: Time,
    /// When the record last changed here.
    pub changed_at: Time,
}

impl SuspectRecord {
    /// Time from a loss to the first trial of what is quarantined.
    const TRIAL_DELAY: Duration = Duration::from_secs(5);

    /// Factor by which the delay grows with each trial that costs another upstream.
    const TRIAL_DELAY_FACTOR: u32 = 4;

    /// Longest delay between trials.
    const MAX_TRIAL_DELAY: Duration = Duration::from_secs(600);

    /// Time after the last loss after which a key is forgotten.
    const LOSS_TTL: Duration = Duration::from_secs(900);

    /// Time for which a key that is cleared is remembered, so that all other routers hear of it.
    const CLEARED_TTL: Duration = Duration::from_secs(10);

    /// Time after which a trial that no router has made is open to one more router.
    const TRIAL_HANDOVER: Duration = Duration::from_secs(1);

    /// Trials of a request that cost an upstream each, after which it is not tried any more: a request
    /// that comes again by itself would take one upstream after the other for ever.
    const MAX_REQUEST_TRIALS: u32 = 2;

    /// Creates the record of a key under which no upstream was lost yet.
    pub fn new(key: QuarantineKey, is_proven: bool) -> Self {
        Self {
            key,
            suspicion: 0,
            lost_at: Time::default(),
            refused_at: Time::default(),
            answered_at: None,
            is_proven,
            tried_at: None,
            changed_at: Time::default(),
        }
    }

    /// Records the loss of an upstream under a request that was sent at `sent_at`.
    ///
    /// Upstreams that are lost at the same time may have a common cause, so a loss counts only if
    /// its request was sent after the one before.
    pub fn on_lost(&mut self, now: Time, sent_at: Time, evidence: LossEvidence) {
        if self.suspicion > 0 && sent_at <= self.lost_at {
            return;
        }

        self.suspicion = self.suspicion.saturating_add(self.key.weight(evidence));
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

    /// Returns whether such requests are refused, but for trials.
    pub fn is_quarantined(&self) -> bool {
        self.suspicion >= self.limit()
    }

    /// Returns the losses since the key was quarantined.
    fn failed_trials(&self) -> u32 {
        self.suspicion.saturating_sub(self.limit()) / LossEvidence::MidStart.weight()
    }

    /// Returns whether the key stays quarantined until it is forgotten.
    fn is_final(&self) -> bool {
        self.key.is_request() && self.failed_trials() >= Self::MAX_REQUEST_TRIALS
    }

    /// Returns when the next trial is due, or when the key is forgotten if there is none.
    pub fn trial_due_at(&self) -> Time {
        if self.is_final() {
            return self.refused_at.max(self.lost_at) + Self::LOSS_TTL;
        }
        let trials = self.failed_trials();
        let factor = Self::TRIAL_DELAY_FACTOR.saturating_pow(trials);
        let delay = Self::TRIAL_DELAY.saturating_mul(factor).min(Self::MAX_TRIAL_DELAY);
        let last = self.tried_at.map_or(self.lost_at, |tried_at| tried_at.max(self.lost_at));
        last + delay
    }

    /// Returns whether the router with this rank for the key may try a request now. The first
    /// one may when the trial is due; the others follow, as it may get no such request.
    pub fn may_try(&self, now: Time, rank: usize) -> bool {
        let due_at = self.trial_due_at();
        let handovers = u32::try_from(rank).unwrap_or(u32::MAX);
        !self.is_final() && now >= due_at + Self::TRIAL_HANDOVER.saturating_mul(handovers)
    }

    /// Takes over what another router reports.
    pub fn merge(&mut self, now: Time, report: &SuspectReport) {
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
    pub fn report(&self, now: Time) -> SuspectReport {
        let age_ms = |at: Time| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);

        SuspectReport {
            id: self.key.id(),
            suspicion: self.suspicion,
            is_proven: self.is_proven,
            lost_age_ms: age_ms(self.lost_at),
            answered_age_ms: self.answered_at.map(age_ms),
            tried_age_ms: self.tried_at.map(age_ms),
        }
    }

    /// Returns whether the record is of no use any more. What is refused for good is remembered as long
    /// as it comes.
    pub fn has_expired(&self, now: Time) -> bool {
        if self.suspicion == 0 {
            return now.since(self.changed_at) >= Self::CLEARED_TTL;
        }
        let used_at =
            if self.is_final() { self.lost_at.max(self.refused_at) } else { self.lost_at };
        now.since(used_at) >= Self::LOSS_TTL
    }

    fn limit(&self) -> u32 {
        self.key.limit(self.is_proven)
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
