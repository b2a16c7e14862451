//! Which router makes the decisions of roll-outs durable.

use std::time::Duration;

use crate::edge::RolloutDuty;
use crate::time::Time;

/// Lease of this router as the leader.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lease {
    id: u64,
    /// Revision of the leader's item.
    pub revision: u64,
    /// When the call began that granted or renewed it last.
    renewed_at: Time,
}

/// This router's part in leading the roll-outs.
#[derive(Clone, Debug, Default)]
pub(super) struct Leadership {
    lease: Option<Lease>,
    /// When another leader was last known to act.
    heard_at: Option<Time>,
    /// Since when there is something to lead.
    work_since: Option<Time>,
    /// Since when there has been nothing to lead.
    idle_since: Option<Time>,
    /// Before this time, no attempt to lead.
    not_before: Time,
    is_read_due: bool,
    is_pending: bool,
}

impl Leadership {
    /// Time for which the store grants the lease.
    pub const LEASE_TIME: Duration = Duration::from_secs(2);

    /// Part of the lease's time in which the leader does not act, for calls that are under way.
    const MARGIN: Duration = Duration::from_millis(200);

    /// Interval between renewals.
    const RENEW_INTERVAL: Duration = Duration::from_millis(700);

    /// Interval between the attempts of routers that follow in the rendezvous order.
    const RANK_INTERVAL: Duration = Duration::from_millis(500);

    /// Largest rank that waits longer than the one before.
    const MAX_RANK: usize = 8;

    /// Time without a sign of a leader after which it is taken to be gone; it writes a record every two
    /// seconds.
    const SILENCE: Duration = Duration::from_millis(2_500);

    /// Additional wait of a router that has just started, which may know less than the others.
    const START_WAIT: Duration = Duration::from_secs(1);

    /// Time without work after which the leader gives up its lease.
    const IDLE_TIME: Duration = Duration::from_secs(5);

    /// Returns the lease under which this router may write; none when it does not lead.
    pub fn lease(&self, now: Time) -> Option<Lease> {
        let is_valid = |lease: &Lease| {
            now.since(lease.renewed_at) < Self::LEASE_TIME.saturating_sub(Self::MARGIN)
        };
        self.lease.filter(is_valid)
    }

    /// Returns the call to the store that is due for the lease.
    pub fn duty(
        &mut self,
        now: Time,
        has_work: bool,
        rank: usize,
        is_store_usable: bool,
        is_settled: bool,
    ) -> Option<RolloutDuty> {
        self.observe(now, has_work);
        let duty = if self.is_pending {
            None
        } else if self.is_read_due && has_work && is_store_usable {
            self.is_read_due = false;
            Some(RolloutDuty::ReadLeader)
        } else if let Some(lease) = self.lease {
            self.leader_duty(now, lease)
        } else if !is_store_usable || !has_work {
            None
        } else {
            let due = self.due_at(rank, is_settled);
            due.is_some_and(|at| now >= at).then_some(RolloutDuty::Acquire)
        };
        self.is_pending |= duty.is_some();
        duty
    }

    fn observe(&mut self, now: Time, has_work: bool) {
        if self.lease.is_some() && self.lease(now).is_none() {
            self.lose(now);
        }
        if has_work {
            self.work_since.get_or_insert(now);
            self.idle_since = None;
        } else {
            self.work_since = None;
            self.idle_since.get_or_insert(now);
        }
    }

    fn leader_duty(&self, now: Time, lease: Lease) -> Option<RolloutDuty> {
        if self.idle_since.is_some_and(|at| now.since(at) >= Self::IDLE_TIME) {
            return Some(RolloutDuty::Release { lease: lease.id });
        }
        let is_due = now.since(lease.renewed_at) >= Self::RENEW_INTERVAL;
        is_due.then_some(RolloutDuty::Renew { lease: lease.id })
    }

    /// Returns when this router tries to lead: routers try in the rendezvous order, once there is work
    /// and no sign of another leader.
    fn due_at(&self, rank: usize, is_settled: bool) -> Option<Time> {
        let work_since = self.work_since?;
        let silent_at = self.heard_at.map_or(work_since, |at| at + Self::SILENCE);
        let turn = Self::RANK_INTERVAL * rank.min(Self::MAX_RANK) as u32;
        let start = if is_settled { Duration::ZERO } else { Self::START_WAIT };
        Some((work_since.max(silent_at) + turn + start).max(self.not_before))
    }

    /// Records that another leader acts.
    pub fn on_heard(&mut self, now: Time) {
        self.heard_at = Some(now);
    }

    /// Records that this router leads, by a call that began at `asked_at`.
    pub fn on_acquired(&mut self, asked_at: Time, id: u64, revision: u64) {
        self.is_pending = false;
        self.lease = Some(Lease { id, revision, renewed_at: asked_at });
    }

    /// Records that the lease was renewed by a call that began at `asked_at`.
    pub fn on_renewed(&mut self, asked_at: Time) {
        self.is_pending = false;
        if let Some(lease) = &mut self.lease {
            lease.renewed_at = lease.renewed_at.max(asked_at);
        }
    }

    /// Records that the lease was given up.
    pub fn on_released(&mut self, now: Time) {
        self.is_pending = false;
        self.lease = None;
        self.not_before = now + Self::RANK_INTERVAL;
    }

    /// Records the revision of the leader's item as read; none without a leader.
    pub fn on_read(&mut self, now: Time, revision: Option<u64>) {
        self.is_pending = false;
        match (revision, self.lease) {
            (Some(revision), Some(lease)) if lease.revision == revision => {}
            (Some(_), _) => {
                self.lease = None;
                self.heard_at = Some(now);
            }
            (None, _) => {
                self.lease = None;
                self.heard_at = None;
            }
        }
    }

    /// Records that a call for the lease was refused, or that it is unknown whether it was done.
    pub fn on_refused(&mut self, now: Time, duty: &RolloutDuty) {
        self.is_pending = false;
        match duty {
            RolloutDuty::Acquire => {
                self.not_before = now + Self::RANK_INTERVAL;
                self.is_read_due = true;
            }
            RolloutDuty::Renew { .. } => self.lose(now),
            RolloutDuty::Release { .. } => self.lease = None,
            RolloutDuty::ReadLeader => self.not_before = now + Self::RANK_INTERVAL,
            RolloutDuty::Write { .. } | RolloutDuty::Read { .. } => {}
        }
    }

    /// Records that a renewal got no response: the lease holds until it ends.
    pub fn on_renewal_failed(&mut self) {
        self.is_pending = false;
    }

    /// Records that the store refused a record, maybe because there is another leader.
    pub fn on_doubt(&mut self) {
        self.is_read_due = true;
    }

    /// Records that the lease is gone, or that it is doubtful that it is there.
    pub fn lose(&mut self, now: Time) {
        self.lease = None;
        self.not_before = now + Self::RANK_INTERVAL;
        self.is_read_due = true;
    }
}
