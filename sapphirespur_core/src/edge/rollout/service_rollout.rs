//! Roll-out of one service at one router.

use std::time::Duration;

use crate::collections::HashMap;
use crate::edge::rollout::credit::Credit;
use crate::edge::rollout::judge::{CONTROL_ROUTE, Judge};
use crate::edge::rollout::known_order::KnownOrder;
use crate::edge::rollout::ramp::Ramp;
use crate::edge::rollout::service_view::ServiceView;
use crate::edge::rollout::stored_record::StoredRecord;
use crate::edge::rollout::tally::Tally;
use crate::edge::rollout::waiting::Waiting;
use crate::edge::{
    InFlightRequest, RolloutEvent, RolloutEvidence, RolloutMark, RolloutNotice, RolloutOrder,
    RolloutPhase, RolloutReason, RolloutRecord, RolloutRole, RolloutSettings, RolloutSummary,
    RolloutVerdict, Shares, Upstream,
};
use crate::hash::stable_hash;
use crate::name::Name;
use crate::time::Time;

/// Time without a change of the requests sent to old versions.
#[derive(Clone, Copy, Debug)]
struct Quiet {
    sent: u32,
    since: Time,
}

/// Roll-out of one service: its order, record and evidence, and the requests that are running.
#[derive(Debug)]
pub(super) struct ServiceRollout {
    pub service: Name,
    pub order: Option<KnownOrder>,
    /// Newest record that this router knows; the store may have an older one.
    pub record: Option<RolloutRecord>,
    /// Time since the begin as of a moment.
    pub elapsed: (Duration, Time),
    pub store: StoredRecord,
    pub judge: Judge,
    pub tally: Tally,
    /// Part of the requests that go to the target as a canary.
    pub canary_part: f64,
    pub credit: Credit,
    /// Credit at the begin of the shift.
    pub ramp_credit: Credit,
    pub ramp: Ramp,
    /// Since when this router has known that the traffic shifts.
    shifting_since: Option<Time>,
    /// Requests that are running, by version.
    in_flight: HashMap<Name, u32>,
    /// Longest time that a request at an old version took.
    pub longest: Duration,
    /// Sums of the other routers' control rows, and since when no request is at an old version.
    others: RolloutEvidence,
    quiet: Option<Quiet>,
    /// Since when other routers have stopped sending to the target.
    stopped_since: Option<Time>,
    /// Requests that the other routers have sent to the target.
    others_sent: u32,
    notices: Vec<RolloutNotice>,
}

impl ServiceRollout {
    /// Part of the allowed share that the target gets as a canary; the rest is for retries and for
    /// streams that go on.
    const CANARY_FRACTION: f64 = 0.8;

    /// Time for which only these get requests. A version that is bad under load shows it here, while
    /// the requests that it gets fit into the allowed share.
    pub const RAMP_TIME: Duration = Duration::from_secs(2);

    /// Time without a request at an old version, beyond the age of the reports, after which none
    /// follows.
    const QUIET_TIME: Duration = Duration::from_secs(1);

    /// Time after which the leader follows the bad verdict of another router.
    const STOPPED_TIME: Duration = Duration::from_secs(2);

    /// Creates the state of a service without order and record.
    pub fn new(service: Name, settings: &RolloutSettings) -> Self {
        Self {
            service,
            order: None,
            record: None,
            elapsed: (Duration::ZERO, Time::default()),
            store: StoredRecord::default(),
            judge: Judge::default(),
            tally: Tally::default(),
            canary_part: settings.share * Self::CANARY_FRACTION,
            credit: Credit::default(),
            ramp_credit: Credit::default(),
            ramp: Ramp::default(),
            shifting_since: None,
            in_flight: HashMap::default(),
            longest: Duration::ZERO,
            others: Self::control_row(0),
            quiet: None,
            stopped_since: None,
            others_sent: 0,
            notices: Vec::new(),
        }
    }

    /// Replaces the settings.
    pub fn update_settings(&mut self, settings: &RolloutSettings) {
        self.canary_part = settings.share * Self::CANARY_FRACTION;
    }

    /// Returns the hash that identifies a roll-out in reports.
    fn rollout_key(record: &RolloutRecord) -> u32 {
        let RolloutRecord { service, target, attempt, .. } = record;
        let parts = [service.as_str().as_bytes(), target.as_str().as_bytes()];
        stable_hash(&[parts[0], parts[1], &attempt.to_le_bytes()]) as u32
    }

    fn control_row(rollout: u32) -> RolloutEvidence {
        RolloutEvidence::empty(rollout, CONTROL_ROUTE, RolloutRole::Old, 0)
    }

    /// Returns the order, unless it was deleted.
    pub fn active_order(&self, now: Time) -> Option<&RolloutOrder> {
        self.order.as_ref().filter(|known| !known.is_removed(now)).map(|known| &known.order)
    }

    /// Returns the record of a roll-out that is running.
    pub fn running(&self) -> Option<&RolloutRecord> {
        self.record.as_ref().filter(|record| !record.phase.is_terminal())
    }

    /// Returns the versions that were withdrawn.
    pub fn withdrawn(&self) -> &[Name] {
        self.record.as_ref().map(|record| record.withdrawn.as_slice()).unwrap_or_default()
    }

    /// Returns the time since the roll-out began.
    pub fn elapsed(&self, now: Time) -> Duration {
        let (elapsed, at) = self.elapsed;
        elapsed + now.since(at)
    }

    /// Applies an order as written to the store.
    pub fn apply_order(&mut self, now: Time, order: RolloutOrder) {
        match &mut self.order {
            Some(known) => known.update(now, order),
            None => self.order = Some(KnownOrder::new(now, order)),
        }
    }

    /// Records that the store has a record of this leader.
    pub fn on_stored(&mut self, now: Time, record: RolloutRecord, revision: u64) {
        self.store.written_at = Some(now);
        self.store.set(Some((record.clone(), revision)));
        self.adopt(now, record);
    }

    /// Takes over a record that tells more than the known one.
    pub fn adopt(&mut self, now: Time, record: RolloutRecord) {
        let known = self.record.as_ref();
        if known.is_some_and(|known| !record.supersedes(known)) {
            return;
        }

        let is_same = known.is_some_and(|known| known.is_same_rollout(&record));
        let before = known.filter(|_| is_same).map(|known| known.phase);
        let known_elapsed = if is_same { self.elapsed(now) } else { Duration::ZERO };
        self.elapsed = (record.elapsed().max(known_elapsed), now);
        if !is_same {
            self.begin(&record);
        }
        if record.phase == RolloutPhase::Shifting && before != Some(record.phase) {
            self.shifting_since = Some(now);
        }
        let event = RolloutEvent::Phase(record.phase, record.reason);
        let is_new_phase = before != Some(record.phase);
        self.record = Some(record);
        if is_new_phase {
            self.notify(now, event);
        }
    }

    /// Begins with another roll-out.
    fn begin(&mut self, record: &RolloutRecord) {
        let rollout = Self::rollout_key(record);
        self.judge = Judge::new(rollout);
        self.tally = Tally::new(rollout);
        self.credit = Credit::default();
        self.ramp_credit = Credit::default();
        self.shifting_since = None;
        self.others = Self::control_row(rollout);
        self.quiet = None;
        self.stopped_since = None;
        self.others_sent = 0;
    }

    /// Records an event for a log line.
    pub fn notify(&mut self, now: Time, event: RolloutEvent) {
        let (target, old) = self.judge.totals();
        let order = self.order.as_ref().map(|known| &known.order.target);
        let version = self.record.as_ref().map(|record| &record.target).or(order);
        self.notices.push(RolloutNotice {
            service: self.service.clone(),
            target: version.cloned().unwrap_or_else(|| Name::new("")),
            event,
            elapsed: self.elapsed(now),
            answered: target.answered,
            bad: target.bad(),
            old_answered: old.answered,
            old_bad: old.bad(),
        });
    }

    /// Returns the events since the last call.
    pub fn take_notices(&mut self) -> Vec<RolloutNotice> {
        std::mem::take(&mut self.notices)
    }

    /// Returns whether only a part of the requests is shifted yet.
    pub fn is_ramping(&self, now: Time) -> bool {
        self.shifting_since.is_none_or(|since| now.since(since) < Self::RAMP_TIME)
    }

    /// Records a request that is placed on an upstream. Returns its link to the roll-out that is
    /// running.
    pub fn on_sent(
        &mut self,
        now: Time,
        request: &InFlightRequest,
        prefill_ms: f64,
    ) -> RolloutMark {
        *self.in_flight.entry(request.version.clone()).or_default() += 1;
        let Some(record) = self.running() else { return RolloutMark::default() };
        let rollout = Self::rollout_key(record);
        let (role, phase) = (role_of(record, &request.version), record.phase);
        let route = Shares::name_hash(&request.route);
        self.tally.on_sent(route, role);
        self.credit.earn(self.canary_part);
        let is_ramping = phase == RolloutPhase::Shifting && self.is_ramping(now);
        if is_ramping {
            self.ramp_credit.earn(self.ramp.part);
        }
        if role == RolloutRole::Old {
            return RolloutMark { rollout, number: 0, prefill_ms };
        }

        match phase {
            RolloutPhase::Shifting if is_ramping => self.ramp_credit.spend(),
            RolloutPhase::Shifting => {}
            _ => self.credit.spend(),
        }
        let number = self.tally.await_response(Waiting {
            route,
            upstream: Upstream::hash_id(&request.upstream),
            placed_at: request.placed_at,
            prefill_ms,
            is_slow: false,
        });
        RolloutMark { rollout, number, prefill_ms }
    }

    /// Records the end of a request.
    pub fn on_end(&mut self, now: Time, request: &InFlightRequest) {
        if let Some(count) = self.in_flight.get_mut(&request.version) {
            *count = count.saturating_sub(1);
        }
        let target = self.record.as_ref().map(|record| &record.target);
        if target != Some(&request.version) {
            self.longest = self.longest.max(now.since(request.placed_at));
        }
    }

    /// Returns the part of a request's version in the roll-out that is running; none when the request
    /// was sent before it began.
    pub fn role(&self, request: &InFlightRequest) -> Option<RolloutRole> {
        let record = self.running()?;
        (Self::rollout_key(record) == request.rollout.rollout)
            .then(|| role_of(record, &request.version))
    }

    /// Returns the requests that are running at versions other than the target.
    fn old_in_flight(&self, target: &Name) -> u32 {
        let old = self.in_flight.iter().filter(|(version, _)| *version != target);
        old.map(|(_, count)| count).sum()
    }

    /// Returns the rows to report: responses, and a control row with what the end of the roll-out
    /// depends on. Its `answered` counts the routers that know that the traffic shifts, its `failed`
    /// those that have stopped.
    pub fn rows(&self) -> Vec<RolloutEvidence> {
        let Some(record) = self.running() else { return Vec::new() };
        let control = RolloutEvidence {
            sent: self.tally.old_sent(),
            answered: u32::from(record.phase == RolloutPhase::Shifting),
            failed: u32::from(self.judge.verdict() == RolloutVerdict::Bad),
            in_flight: self.old_in_flight(&record.target),
            ..Self::control_row(Self::rollout_key(record))
        };
        let mut rows = self.tally.rows();
        rows.push(control);
        rows
    }

    /// Takes the sums over the other routers into account.
    pub fn observe(&mut self, others: &[RolloutEvidence], view: ServiceView<'_>) {
        let now = view.now;
        let Some(record) = self.running() else { return };
        let rollout = Self::rollout_key(record);
        let upstreams = self.upstreams_in_use(record, view);
        self.ramp = Ramp::of(view.count(&record.target));
        self.tally.count_waiting(now);
        let own = self.rows();
        let control = others.iter().find(|row| row.key() == Self::control_row(rollout).key());
        self.others = control.copied().unwrap_or(Self::control_row(rollout));
        self.others_sent = target_sent(rollout, others);
        self.observe_quiet(now);
        self.observe_stopped(now);
        let before = self.judge.verdict();
        self.judge.observe(now, &own, others, upstreams);
        if self.judge.verdict() == RolloutVerdict::Bad && before != RolloutVerdict::Bad {
            self.notify(now, RolloutEvent::Stopped);
        }
    }

    /// Returns the number of upstreams that the target's requests go to.
    fn upstreams_in_use(&self, record: &RolloutRecord, view: ServiceView<'_>) -> usize {
        let all = view.count(&record.target);
        let used = match record.phase {
            RolloutPhase::Shifting if !self.is_ramping(view.now) => all,
            RolloutPhase::Shifting => self.ramp.upstreams,
            _ => self.canary_size(view, std::slice::from_ref(&record.target)),
        };
        used.min(all)
    }

    fn observe_stopped(&mut self, now: Time) {
        if self.others.failed == 0 {
            self.stopped_since = None;
        } else {
            self.stopped_since.get_or_insert(now);
        }
    }

    /// Returns whether another router has stopped for so long that its verdict holds: the evidence that
    /// arrives there may differ.
    pub fn is_stopped_elsewhere(&self, now: Time) -> bool {
        self.stopped_since.is_some_and(|since| now.since(since) >= Self::STOPPED_TIME)
    }

    fn observe_quiet(&mut self, now: Time) {
        let Some(record) = self.running() else { return };
        let in_flight = self.others.in_flight + self.old_in_flight(&record.target);
        let sent = self.others.sent + self.tally.old_sent();
        if in_flight > 0 {
            self.quiet = None;
        } else if self.quiet.is_none_or(|quiet| quiet.sent != sent) {
            self.quiet = Some(Quiet { sent, since: now });
        }
    }

    /// Returns whether no request is at an old version and none follows: `routers` others know that the
    /// traffic shifts, and their reports are not older than `lag`.
    pub fn is_quiet(&self, now: Time, routers: usize, lag: Duration) -> bool {
        let is_known_to_all = self.others.answered as usize >= routers;
        let is_over = |quiet: Quiet| now.since(quiet.since) >= Self::QUIET_TIME + lag;
        is_known_to_all && !self.is_ramping(now) && self.quiet.is_some_and(is_over)
    }

    /// Returns the roll-out for the status and the metrics; none without an order and a record.
    pub fn summary(&self, now: Time) -> Option<RolloutSummary> {
        let order = self.active_order(now).map(|order| &order.target);
        let record = self.record.as_ref();
        let target = record.map(|record| &record.target).or(order)?.clone();
        let (counts, old) = self.judge.totals();
        Some(RolloutSummary {
            service: self.service.clone(),
            phase: record.map(|record| record.phase),
            reason: record.map_or(RolloutReason::None, |record| record.reason),
            verdict: self.judge.verdict(),
            leader: record.map(|record| record.leader.clone()),
            elapsed: self.elapsed(now),
            own_sent: self.tally.target_sent(),
            sent: self.tally.target_sent() + self.others_sent,
            answered: counts.answered,
            bad: counts.bad(),
            old_answered: old.answered,
            old_bad: old.bad(),
            old_in_flight: self.others.in_flight + self.old_in_flight(&target),
            target,
        })
    }
}

fn role_of(record: &RolloutRecord, version: &Name) -> RolloutRole {
    if record.target == *version { RolloutRole::Target } else { RolloutRole::Old }
}

/// Returns the requests that were sent to the target of a roll-out.
fn target_sent(rollout: u32, rows: &[RolloutEvidence]) -> u32 {
    let is_target = |row: &&RolloutEvidence| {
        row.rollout == rollout && row.role == RolloutRole::Target && row.upstream == 0
    };
    rows.iter().filter(is_target).map(|row| row.sent).sum()
}
