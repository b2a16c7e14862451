//! All roll-outs at one router.

use crate::collections::{HashMap, HashSet};
use crate::edge::{
    RolloutDuty, RolloutNotice, RolloutOrder, RolloutRecord, RolloutSettings, RolloutSnapshot,
    RolloutSummary,
};
use crate::name::Name;
use crate::time::Time;

/// Orders, records and evidence of all services, and this router's part in leading them.
#[derive(Debug)]
pub struct Rollouts {
    settings: Option<RolloutSettings>,
    orders: HashMap<Name, RolloutOrder>,
    records: HashMap<Name, (RolloutRecord, u64)>,
}

impl Rollouts {
    /// Creates the state of a router without orders; without settings, nothing takes effect.
    pub fn new(settings: Option<RolloutSettings>) -> Self {
        Self { settings, orders: HashMap::default(), records: HashMap::default() }
    }

    /// Returns whether roll-outs are on.
    pub fn is_on(&self) -> bool {
        self.settings.is_some()
    }

    /// Applies an order as written to the store.
    pub fn apply_order(&mut self, now: Time, order: RolloutOrder) {
        let _ = now;
        if self.is_on() {
            self.orders.insert(order.service.clone(), order);
        }
    }

    /// Records that an order was deleted.
    pub fn remove_order(&mut self, now: Time, service: &Name) {
        let _ = now;
        self.orders.remove(service);
    }

    /// Records that the bytes of an order cannot be decoded; an order that they replaced is gone.
    pub fn reject_order(&mut self, now: Time, service: &Name) {
        self.remove_order(now, service);
    }

    /// Applies a record as written to the store, with the revision of its item.
    pub fn apply_record(&mut self, now: Time, record: RolloutRecord, revision: u64) {
        let _ = now;
        if self.is_on() {
            self.records.insert(record.service.clone(), (record, revision));
        }
    }

    /// Records which services have an order and a record in a listing of the store; the others were
    /// removed, or are missing in a restored copy.
    pub fn on_listed(&mut self, now: Time, orders: &HashSet<Name>, records: &HashSet<Name>) {
        let _ = (now, records);
        self.orders.retain(|service, _| orders.contains(service));
    }

    /// Returns the orders and records for routers that cannot reach the store.
    pub fn snapshot(&self) -> RolloutSnapshot {
        RolloutSnapshot {
            orders: self.orders.values().cloned().collect(),
            records: self.records.values().cloned().collect(),
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
        Vec::new()
    }

    /// Returns the roll-outs for the status and the metrics.
    pub fn summaries(&self, now: Time) -> Vec<RolloutSummary> {
        let _ = now;
        Vec::new()
    }

    /// Records who leads, as read from the store, with the revision of the leader's item; none without
    /// a leader.
    pub fn on_leader_read(&mut self, now: Time, leader: Option<(Name, u64)>) {
        let _ = (now, leader);
    }

    /// Records that this router leads since a call that began at `asked_at`.
    pub fn on_acquired(&mut self, asked_at: Time, lease: u64, revision: u64) {
        let _ = (asked_at, lease, revision);
    }

    /// Records that the lease was renewed by a call that began at `asked_at`.
    pub fn on_renewed(&mut self, asked_at: Time) {
        let _ = asked_at;
    }

    /// Records that the lease was given up.
    pub fn on_released(&mut self, now: Time) {
        let _ = now;
    }

    /// Records that a record was written, with the new revision of its item.
    pub fn on_written(&mut self, now: Time, service: &Name, revision: u64) {
        let _ = (now, service, revision);
    }

    /// Records the record of a service as read from the store, with the revision of its item; none
    /// without a record.
    pub fn on_read(&mut self, now: Time, service: &Name, item: Option<(RolloutRecord, u64)>) {
        let _ = (now, service, item);
    }

    /// Records that the store refused a duty, because a revision was not as expected or the lease is
    /// gone.
    pub fn on_conflict(&mut self, now: Time, duty: &RolloutDuty) {
        let _ = (now, duty);
    }

    /// Records that it is unknown whether a duty was done: the store did not respond, or with an error.
    pub fn on_failed(&mut self, now: Time, duty: &RolloutDuty) {
        let _ = (now, duty);
    }
}
