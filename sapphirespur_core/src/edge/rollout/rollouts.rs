//! All roll-outs at one router.

use std::time::Duration;

use crate::collections::{HashMap, HashSet};
use crate::edge::rollout::duty_view::DutyView;
use crate::edge::rollout::fault::Fault;
use crate::edge::rollout::leadership::Leadership;
use crate::edge::rollout::service_rollout::ServiceRollout;
use crate::edge::rollout::service_view::ServiceView;
use crate::edge::rollout::version_plan::VersionPlan;
use crate::edge::{
    CallInfo, InFlightRequest, Judged, RegistryState, RolloutDuty, RolloutEvent, RolloutEvidence,
    RolloutNotice, RolloutOrder, RolloutPhase, RolloutRecord, RolloutRole, RolloutSettings,
    RolloutSnapshot, RolloutSummary, SendOutcome,
};
use crate::name::Name;
use crate::time::Time;

/// Orders, records and evidence of all services, and this router's part in leading them.
#[derive(Debug)]
pub struct Rollouts {
    settings: Option<RolloutSettings>,
    services: HashMap<Name, ServiceRollout>,
    leadership: Leadership,
    /// Era of the store.
    era: Option<u64>,
    /// When this router first knew that the era had begun.
    era_since: Time,
}

impl Rollouts {
    /// Time after a restore of the store, or after this router heard of it, within which an order that
    /// is written again with the same content is the same order.
    const RESTORE_TIME: Duration = Duration::from_secs(30);

    /// Creates the state of a router without orders; without settings, nothing takes effect.
    pub fn new(settings: Option<RolloutSettings>) -> Self {
        Self {
            settings,
            services: HashMap::default(),
            leadership: Leadership::default(),
            era: None,
            era_since: Time::default(),
        }
    }

    /// Time for which the store is to grant the leader's lease.
    pub const LEASE_TIME: Duration = Leadership::LEASE_TIME;

    /// Returns whether roll-outs are on.
    pub fn is_on(&self) -> bool {
        self.settings.is_some()
    }

    /// Returns whether the traffic of a service is being moved.
    pub(crate) fn is_running(&self, service: &Name) -> bool {
        self.services.get(service).is_some_and(|rollout| rollout.running().is_some())
    }

    /// Returns whether there is nothing to lead: no order and no record.
    pub(crate) fn is_idle(&self) -> bool {
        self.services.values().all(|rollout| rollout.order.is_none() && rollout.record.is_none())
    }

    /// Replaces the settings; without any, what is known of roll-outs is dropped.
    pub(crate) fn update_settings(&mut self, settings: Option<RolloutSettings>) {
        self.settings = settings;
        match &self.settings {
            Some(settings) => {
                self.services.values_mut().for_each(|rollout| rollout.update_settings(settings));
            }
            None => self.services.clear(),
        }
    }

    /// Returns the state of a service, which is created if roll-outs are on.
    fn service(&mut self, service: &Name) -> Option<&mut ServiceRollout> {
        let settings = self.settings.as_ref()?;
        if !self.services.contains_key(service) {
            let created = ServiceRollout::new(service.clone(), settings);
            self.services.insert(service.clone(), created);
        }
        self.services.get_mut(service)
    }

    /// Applies an order as written to the store.
    pub fn apply_order(&mut self, now: Time, order: RolloutOrder) {
        if let Some(service) = self.service(&order.service) {
            service.apply_order(now, order);
        }
    }

    /// Records that an order was deleted.
    pub fn remove_order(&mut self, now: Time, service: &Name) {
        if let Some(known) =
            self.services.get_mut(service).and_then(|rollout| rollout.order.as_mut())
        {
            known.on_removed(now);
        }
    }

    /// Records that the bytes of an order cannot be decoded; an order that they replaced is gone.
    pub fn reject_order(&mut self, now: Time, service: &Name) {
        if let Some(rollout) = self.service(service) {
            rollout.notify(now, RolloutEvent::OrderLost);
        }
        self.remove_order(now, service);
    }

    /// Applies a record as written to the store, with the revision of its item.
    pub fn apply_record(&mut self, now: Time, record: RolloutRecord, revision: u64) {
        let is_leader = self.is_leader(now);
        let Some(service) = self.service(&record.service) else { return };
        if service.store.is_outdated(now, &record, revision) {
            return;
        }
        // The first record that this router reads may be old.
        let is_change = service.store.record.as_ref().is_some_and(|known| *known != record);
        service.store.set(Some((record.clone(), revision)));
        service.adopt(now, record);
        if is_change && !is_leader {
            self.leadership.on_heard(now);
        }
    }

    /// Records which services have an order and a record in a listing of the store; the others were
    /// removed, or are missing in a restored copy.
    pub fn on_listed(&mut self, now: Time, orders: &HashSet<Name>, records: &HashSet<Name>) {
        for (name, service) in &mut self.services {
            if !orders.contains(name)
                && let Some(known) = &mut service.order
            {
                known.on_removed(now);
            }
            if !records.contains(name) {
                service.store.set(None);
            }
        }
    }

    /// Returns the services of which an order or a record is known.
    pub fn services(&self) -> impl Iterator<Item = &Name> {
        self.services.keys()
    }

    /// Returns the orders and records for routers that cannot reach the store.
    pub fn snapshot(&self) -> RolloutSnapshot {
        let services = self.services.values();
        let orders = services.clone().filter_map(|rollout| rollout.order.as_ref());
        let record =
            |rollout: &ServiceRollout| Some((rollout.record.clone()?, rollout.store.revision));
        RolloutSnapshot {
            orders: orders.map(|known| known.order.clone()).collect(),
            records: services.filter_map(record).collect(),
        }
    }

    /// Applies the orders and records of a router that knows more of the store.
    pub fn apply_snapshot(&mut self, now: Time, snapshot: RolloutSnapshot) {
        for order in snapshot.orders {
            self.apply_order(now, order);
        }
        for (record, revision) in snapshot.records {
            self.apply_record(now, record, revision);
        }
    }

    /// Returns what happened since the last call, for log lines.
    pub fn take_notices(&mut self) -> Vec<RolloutNotice> {
        self.services.values_mut().flat_map(ServiceRollout::take_notices).collect()
    }

    /// Returns the roll-outs for the status and the metrics.
    pub fn summaries(&self, now: Time) -> Vec<RolloutSummary> {
        self.services.values().filter_map(|rollout| rollout.summary(now)).collect()
    }

    /// Returns where a request may go.
    pub(crate) fn plan(&self, now: Time, call: &CallInfo, registry: &RegistryState) -> VersionPlan {
        let view = ServiceView { now, registry, service: &call.service };
        let rollout = self.services.get(&call.service);
        rollout.map(|rollout| rollout.plan(call, view)).unwrap_or_default()
    }

    /// Returns whether a stream cannot go on, because its version was withdrawn or replaced.
    pub(crate) fn is_gone(&self, call: &CallInfo) -> bool {
        let rollout = self.services.get(&call.service);
        let version = call.version.as_ref().filter(|_| call.goes_on);
        rollout.zip(version).is_some_and(|(rollout, version)| rollout.is_gone(version))
    }

    /// Returns whether a request that was placed before may still go to its version.
    pub(crate) fn allows(
        &self,
        now: Time,
        request: &InFlightRequest,
        registry: &RegistryState,
    ) -> bool {
        let view = ServiceView { now, registry, service: &request.service };
        let rollout = self.services.get(&request.service);
        rollout.is_none_or(|rollout| rollout.allows(&request.version, view))
    }

    /// Records a request that is placed on an upstream. `prefill_ms` is the time that its prompt and
    /// those before it are expected to take.
    pub(crate) fn on_sent(&mut self, now: Time, request: &mut InFlightRequest, prefill_ms: f64) {
        if let Some(rollout) = self.service(&request.service) {
            request.rollout = rollout.on_sent(now, request, prefill_ms);
        }
    }

    /// Records the first event of a response.
    pub(crate) fn on_first_event(&mut self, now: Time, request: &mut InFlightRequest) {
        if let Some((rollout, role)) = self.find(request) {
            rollout.on_first_event(now, request, role);
        }
    }

    /// Records events of a stream, which the request counts already.
    pub(crate) fn on_events(&mut self, now: Time, request: &mut InFlightRequest, count: u32) {
        let is_due = request.events >= ServiceRollout::INTERVAL_EVENTS
            && request.events.saturating_sub(count) < ServiceRollout::INTERVAL_EVENTS;
        if let Some((rollout, role)) = self.find(request).filter(|_| is_due) {
            rollout.judge_begun(now, request, role);
        }
    }

    /// Records the end of a request.
    pub(crate) fn on_end(&mut self, now: Time, request: &InFlightRequest, outcome: SendOutcome) {
        if let Some(rollout) = self.services.get_mut(&request.service) {
            rollout.on_end(now, request);
        }
        let Some((rollout, role)) = self.find(request) else { return };
        let mut request = request.clone();
        if rollout.tally.stop_waiting(request.rollout.number) {
            request.judged = Judged::Bad;
        }
        let fault = match outcome {
            SendOutcome::Answered => {
                rollout.judge_ended(now, &mut request, role);
                return;
            }
            SendOutcome::Failed => Fault::Failed,
            SendOutcome::Broken | SendOutcome::Disconnected | SendOutcome::TooLarge => Fault::Lost,
            SendOutcome::NoResponse => Fault::Slow,
            SendOutcome::Abandoned
            | SendOutcome::Misdirected
            | SendOutcome::NoMemory
            | SendOutcome::Paused
            | SendOutcome::Rejected
            | SendOutcome::Withdrawn => return,
        };
        if request.judged != Judged::Bad {
            rollout.tally.on_fault(now, &request, role, fault);
        }
    }

    fn find(&mut self, request: &InFlightRequest) -> Option<(&mut ServiceRollout, RolloutRole)> {
        if request.rollout.rollout == 0 {
            return None;
        }
        let rollout = self.services.get_mut(&request.service)?;
        let role = rollout.role(request)?;
        Some((rollout, role))
    }

    /// Returns the rows to report to the other routers.
    pub(crate) fn evidence(&self) -> Vec<RolloutEvidence> {
        self.services.values().flat_map(ServiceRollout::rows).collect()
    }

    /// Takes the sums over the other routers into account, and the era of the store.
    pub(crate) fn observe(
        &mut self,
        now: Time,
        others: &[RolloutEvidence],
        registry: &RegistryState,
    ) {
        if !self.is_on() {
            return;
        }
        self.observe_era(now, registry.version().era);
        for (name, rollout) in &mut self.services {
            rollout.observe(others, ServiceView { now, registry, service: name });
        }
    }

    fn observe_era(&mut self, now: Time, era: u64) {
        if self.era == Some(era) {
            return;
        }
        let is_restored = self.era.is_some_and(|known| known < era);
        self.era = Some(era);
        self.era_since = now;
        if is_restored {
            self.on_restored(now);
        }
    }

    /// Records that the store was restored from an older copy: the lease is gone, and the copy may lack
    /// orders and records.
    fn on_restored(&mut self, now: Time) {
        self.leadership.lose(now);
        for rollout in self.services.values_mut() {
            rollout.store.is_doubtful = true;
            if let Some(known) = &mut rollout.order {
                known.on_restored(now);
            }
        }
    }

    /// Returns the calls to the store that are due.
    pub(crate) fn duties(&mut self, now: Time, view: DutyView<'_>) -> Vec<RolloutDuty> {
        if !self.is_on() {
            return Vec::new();
        }
        let lease = self.leadership.lease(now);
        let fencing = lease.map_or(0, |lease| lease.revision);
        let (era, is_restored) = self.era(now);
        let mut services = self.services.iter();
        let has_work = services.any(|(name, rollout)| {
            rollout.needs_leader(&view.leader_view(now, fencing, era, is_restored, name))
        });
        let leadership = &mut self.leadership;
        let due = leadership.duty(now, has_work, view.rank, view.is_store_usable, view.is_settled);
        let mut duties: Vec<RolloutDuty> = due.into_iter().collect();
        if lease.is_some() && view.is_store_usable {
            for (name, rollout) in &mut self.services {
                let cx = view.leader_view(now, fencing, era, is_restored, name);
                duties.extend(rollout.duty(&cx));
            }
        }
        duties
    }

    fn era(&self, now: Time) -> (u64, bool) {
        (self.era.unwrap_or_default(), now.since(self.era_since) < Self::RESTORE_TIME)
    }

    /// Returns whether this router leads the roll-outs.
    pub fn is_leader(&self, now: Time) -> bool {
        self.leadership.lease(now).is_some()
    }

    /// Returns whether this router leads a roll-out that ends once all routers report that they know that
    /// the traffic shifts.
    pub(crate) fn awaits_reports(&self, now: Time) -> bool {
        let is_shifting = |rollout: &ServiceRollout| {
            rollout.running().is_some_and(|record| record.phase == RolloutPhase::Shifting)
        };
        self.is_leader(now) && self.services.values().any(is_shifting)
    }

    /// Records who leads, as read from the store, with the revision of the leader's item; none without
    /// a leader.
    pub fn on_leader_read(&mut self, now: Time, leader: Option<(Name, u64)>) {
        self.leadership.on_read(now, leader.map(|(_, revision)| revision));
    }

    /// Records that this router leads since a call that began at `asked_at`.
    pub fn on_acquired(&mut self, asked_at: Time, lease: u64, revision: u64) {
        self.leadership.on_acquired(asked_at, lease, revision);
        // What an earlier leader wrote last may not have been heard yet.
        for rollout in self.services.values_mut() {
            rollout.store.is_doubtful = true;
            rollout.store.written_at = None;
        }
    }

    /// Records that the lease was renewed by a call that began at `asked_at`.
    pub fn on_renewed(&mut self, asked_at: Time) {
        self.leadership.on_renewed(asked_at);
    }

    /// Records that the lease was given up.
    pub fn on_released(&mut self, now: Time) {
        self.leadership.on_released(now);
    }

    /// Records that a record was written, with the new revision of its item.
    pub fn on_written(&mut self, now: Time, service: &Name, revision: u64) {
        let Some(rollout) = self.services.get_mut(service) else { return };
        rollout.store.is_pending = false;
        if let Some(record) = rollout.store.sent.take() {
            rollout.on_stored(now, record, revision);
        }
    }

    /// Records the record of a service as read from the store, with the revision of its item; none
    /// without a record.
    pub fn on_read(&mut self, now: Time, service: &Name, item: Option<(RolloutRecord, u64)>) {
        let Some(rollout) = self.services.get_mut(service) else { return };
        rollout.store.is_pending = false;
        rollout.store.is_doubtful = false;
        let sent = rollout.store.sent.take();
        match item {
            Some((record, revision)) if sent.as_ref() == Some(&record) => {
                rollout.on_stored(now, record, revision);
            }
            Some((record, revision)) => {
                rollout.store.set(Some((record.clone(), revision)));
                rollout.adopt(now, record);
            }
            None => rollout.store.set(None),
        }
    }

    /// Records that the store refused a duty, because a revision was not as expected or the lease is
    /// gone.
    pub fn on_conflict(&mut self, now: Time, duty: &RolloutDuty) {
        self.on_undone(duty);
        match duty {
            RolloutDuty::Write { .. } => self.leadership.on_doubt(),
            RolloutDuty::Read { .. } => {}
            _ => self.leadership.on_refused(now, duty),
        }
    }

    /// Records that it is unknown whether a duty was done: the store did not respond, or with an error.
    pub fn on_failed(&mut self, now: Time, duty: &RolloutDuty) {
        self.on_undone(duty);
        match duty {
            RolloutDuty::Renew { .. } => self.leadership.on_renewal_failed(),
            RolloutDuty::Write { .. } | RolloutDuty::Read { .. } => {}
            _ => self.leadership.on_refused(now, duty),
        }
    }

    /// Has the record of a service read before its next write.
    fn on_undone(&mut self, duty: &RolloutDuty) {
        let service = match duty {
            RolloutDuty::Write { record, .. } => &record.service,
            RolloutDuty::Read { service } => service,
            _ => return,
        };
        if let Some(rollout) = self.services.get_mut(service) {
            rollout.store.is_pending = false;
            rollout.store.is_doubtful = true;
        }
    }
}
