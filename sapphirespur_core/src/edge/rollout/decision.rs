//! Decisions of the leader on one service.

use std::time::Duration;

use crate::edge::rollout::known_order::KnownOrder;
use crate::edge::rollout::leader_view::LeaderView;
use crate::edge::rollout::service_rollout::ServiceRollout;
use crate::edge::{
    RolloutDuty, RolloutOrder, RolloutPhase, RolloutReason, RolloutRecord, RolloutVerdict,
};
use crate::name::Name;

impl ServiceRollout {
    /// Interval between writes of the elapsed time.
    const WRITE_INTERVAL: Duration = Duration::from_secs(2);

    /// Part of the duration before which the traffic does not shift.
    const MIN_CANARY_PART: f64 = 0.4;

    /// Time for the end of the last request at an old version, beyond the longest one that was seen.
    const DRAIN_SLACK: Duration = Duration::from_secs(3);

    /// Part of the duration for which the leader waits for upstreams of the target.
    const UPSTREAM_WAIT_PART: f64 = 0.5;

    /// Returns whether a leader is needed: something is to be decided or written.
    pub fn needs_leader(&self, cx: &LeaderView<'_>) -> bool {
        self.running().is_some() || self.store.is_unverified() || self.next(cx).is_some()
    }

    /// Returns the call to the store that the leader has to make for the service.
    pub fn duty(&mut self, cx: &LeaderView<'_>) -> Option<RolloutDuty> {
        if self.store.is_pending {
            return None;
        }
        if self.store.is_doubtful {
            self.store.is_pending = true;
            return Some(RolloutDuty::Read { service: self.service.clone() });
        }

        let record = self.next(cx)?;
        let state = record.phase.state();
        let is_published = self.store.record.as_ref().is_some_and(|stored| {
            stored.is_same_rollout(&record)
                && stored.era == record.era
                && stored.phase.state() == state
        });
        self.store.is_pending = true;
        self.store.sent = Some(record.clone());
        Some(RolloutDuty::Write {
            record,
            state: (!is_published).then_some(state),
            expected_record: self.store.revision,
            leader_revision: cx.fencing,
        })
    }

    /// Returns the record to write; none when the store has it.
    fn next(&self, cx: &LeaderView<'_>) -> Option<RolloutRecord> {
        let decided = self.decide(cx)?;
        // Without its order, as in a restored copy, a record keeps its era, by which the order is
        // recognized when it is written again.
        let has_order = self.order.as_ref().is_some_and(KnownOrder::is_present);
        let record = RolloutRecord {
            era: if has_order || !decided.phase.is_terminal() { cx.era } else { decided.era },
            leader: cx.router.clone(),
            fencing: cx.fencing,
            elapsed_ms: self.elapsed_ms(cx, &decided),
            ..decided
        };
        let Some(stored) = &self.store.record else { return Some(record) };
        let is_current = stored.is_same_rollout(&record)
            && stored.phase == record.phase
            && stored.order_revision == record.order_revision
            && stored.duration_ms == record.duration_ms
            && stored.withdrawn == record.withdrawn;
        let written_at = self.store.written_at;
        let is_recent = record.phase.is_terminal()
            || written_at.is_some_and(|at| cx.now.since(at) < Self::WRITE_INTERVAL);
        (!is_current || !is_recent).then_some(record)
    }

    /// Returns the elapsed time of a record: that of a roll-out that has ended stays.
    fn elapsed_ms(&self, cx: &LeaderView<'_>, decided: &RolloutRecord) -> u64 {
        let is_ended =
            |known: &RolloutRecord| known.is_same_rollout(decided) && known.phase.is_terminal();
        match &self.record {
            Some(known) if is_ended(known) => known.elapsed_ms,
            Some(known) if known.is_same_rollout(decided) => {
                self.elapsed(cx.now).as_millis() as u64
            }
            _ => self.time_since_order(cx).as_millis() as u64,
        }
    }

    fn time_since_order(&self, cx: &LeaderView<'_>) -> Duration {
        self.order.as_ref().map_or(Duration::ZERO, |known| cx.now.since(known.seen_at))
    }

    /// Returns the record as it should be; none without an order and a record.
    fn decide(&self, cx: &LeaderView<'_>) -> Option<RolloutRecord> {
        let order = self.active_order(cx.now);
        let Some(record) = &self.record else { return Some(self.first(cx, order?)) };
        if record.phase.is_terminal() {
            return Some(match order {
                Some(order) if !Self::is_same_order(cx, record, order) => self.first(cx, order),
                Some(order) => RolloutRecord { order_revision: order.revision, ..record.clone() },
                None => record.clone(),
            });
        }

        let Some(order) = order else {
            return Some(self.revert(cx, record, RolloutReason::Withdrawn));
        };
        if order.target != record.target {
            return Some(self.revert(cx, record, RolloutReason::Replaced));
        }
        Some(self.advance(cx, self.with_order(cx, record, order)))
    }

    /// Returns whether a roll-out that has ended was of this order. After a restore of the store, the
    /// operator writes an order again that the copy lacks.
    fn is_same_order(cx: &LeaderView<'_>, record: &RolloutRecord, order: &RolloutOrder) -> bool {
        let is_written_again = cx.is_restored && record.era < cx.era && record.fits(order);
        record.target == order.target
            && (record.order_revision == order.revision || is_written_again)
    }

    /// Returns the record of a roll-out that is running with an order that was written again: it goes
    /// on, and has the time that the order gives from then on.
    fn with_order(
        &self,
        cx: &LeaderView<'_>,
        record: &RolloutRecord,
        order: &RolloutOrder,
    ) -> RolloutRecord {
        let is_same = record.order_revision == order.revision || record.fits(order);
        let duration = if is_same {
            record.duration()
        } else {
            self.elapsed(cx.now).saturating_sub(self.time_since_order(cx)) + order.duration
        };
        RolloutRecord {
            order_revision: order.revision,
            duration_ms: duration.as_millis() as u64,
            ..record.clone()
        }
    }

    /// Returns the first record of an order.
    fn first(&self, cx: &LeaderView<'_>, order: &RolloutOrder) -> RolloutRecord {
        let known = self.record.as_ref();
        let is_serving = known.is_some_and(|known| {
            known.phase == RolloutPhase::Completed && known.target == order.target
        });
        let withdrawn = self.withdrawn().iter();
        let record = RolloutRecord {
            service: order.service.clone(),
            target: order.target.clone(),
            duration_ms: order.duration.as_millis() as u64,
            order_revision: order.revision,
            era: cx.era,
            attempt: order.revision,
            phase: if is_serving { RolloutPhase::Completed } else { RolloutPhase::Canary },
            reason: RolloutReason::None,
            elapsed_ms: 0,
            leader: cx.router.clone(),
            fencing: cx.fencing,
            withdrawn: withdrawn.filter(|name| **name != order.target).cloned().collect(),
        };
        if !cx.service.is_known() {
            return self.revert(cx, &record, RolloutReason::UnknownService);
        }
        if order.duration < RolloutOrder::MIN_DURATION && !is_serving {
            return self.revert(cx, &record, RolloutReason::TooShort);
        }
        record
    }

    /// Returns the record of a roll-out that is running in the phase that it should have.
    fn advance(&self, cx: &LeaderView<'_>, record: RolloutRecord) -> RolloutRecord {
        let elapsed = self.elapsed(cx.now);
        let upstreams = cx.service.count(&record.target);
        let verdict = self.judge.verdict();
        if verdict == RolloutVerdict::Bad || self.is_stopped_elsewhere(cx.now) {
            return self.revert(cx, &record, RolloutReason::Bad);
        }
        if upstreams == 0 {
            let wait = match record.phase {
                RolloutPhase::Canary => record.duration().mul_f64(Self::UPSTREAM_WAIT_PART),
                _ => record.duration(),
            };
            return if elapsed >= wait {
                self.revert(cx, &record, RolloutReason::NoUpstream)
            } else {
                record
            };
        }
        match record.phase {
            RolloutPhase::Canary if !cx.service.has_other(&record.target, &record.withdrawn) => {
                RolloutRecord { phase: RolloutPhase::Completed, ..record }
            }
            RolloutPhase::Canary if elapsed >= record.duration() => {
                self.revert(cx, &record, RolloutReason::Deadline)
            }
            RolloutPhase::Canary
                if verdict == RolloutVerdict::Good && elapsed >= self.shift_at(&record) =>
            {
                RolloutRecord { phase: RolloutPhase::Shifting, ..record }
            }
            RolloutPhase::Shifting if self.is_quiet(cx.now, cx.routers, cx.lag) => {
                RolloutRecord { phase: RolloutPhase::Completed, ..record }
            }
            _ => record,
        }
    }

    /// Returns the elapsed time at which the traffic begins to shift: late, because all that is sent to
    /// a version counts if it turns out to be bad, but in time for the last requests to end.
    fn shift_at(&self, record: &RolloutRecord) -> Duration {
        let drain = self.longest + Self::DRAIN_SLACK;
        let latest = record.duration().saturating_sub(drain);
        let earliest = record.duration().mul_f64(Self::MIN_CANARY_PART);
        latest.max(earliest).saturating_sub(Self::RAMP_TIME)
    }

    /// Returns the record of a roll-out that is reverted. Its target is withdrawn, unless it is the only
    /// version and nothing speaks against it.
    fn revert(
        &self,
        cx: &LeaderView<'_>,
        record: &RolloutRecord,
        reason: RolloutReason,
    ) -> RolloutRecord {
        let mut withdrawn: Vec<Name> = record.withdrawn.clone();
        let is_only = cx.service.has(&record.target)
            && !cx.service.has_other(&record.target, &record.withdrawn)
            && reason != RolloutReason::Bad;
        if !is_only && !withdrawn.contains(&record.target) {
            withdrawn.push(record.target.clone());
        }
        RolloutRecord { phase: RolloutPhase::Reverted, reason, withdrawn, ..record.clone() }
    }
}
