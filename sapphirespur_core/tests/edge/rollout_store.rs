//! Store of a scene with roll-outs: leases, items with revisions, transactions, an outage, lost
//! responses and a restore from an older copy.

use std::time::Duration;

use sapphirespur_core::collections::HashMap;
use sapphirespur_core::edge::{RolloutDuty, RolloutOrder, RolloutRecord, RolloutState, Rollouts};
use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;

/// Time for which the leader's lease is granted.
const LEASE_TIME: Duration = Duration::from_secs(2);

/// Items of the store.
#[derive(Clone, Default)]
pub struct Items {
    pub orders: HashMap<Name, RolloutOrder>,
    pub records: HashMap<Name, (RolloutRecord, u64)>,
    /// State and target that the operator reads.
    pub status: HashMap<Name, (RolloutState, Name)>,
    pub revision: u64,
}

/// How the store responds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Health {
    #[default]
    Up,
    Down,
    /// Writes are done, but their responses are lost.
    LosesResponses,
}

/// Item of the leader, attached to a lease.
struct Leader {
    name: Name,
    revision: u64,
    lease: u64,
    until: Time,
}

/// Response to a duty.
enum Reply {
    Done(u64),
    Read(Option<(RolloutRecord, u64)>),
    Leader(Option<(Name, u64)>),
    Conflict,
}

/// Store with the history of what the operator read.
#[derive(Default)]
pub struct Store {
    pub items: Items,
    pub health: Health,
    pub era: u64,
    /// States with the times at which they were written.
    pub history: Vec<(Time, RolloutState, Name)>,
    /// Writes that were refused.
    pub conflicts: usize,
    leader: Option<Leader>,
}

impl Store {
    /// Writes an order.
    pub fn order(&mut self, service: &str, target: &str, duration: Duration) {
        self.items.revision += 1;
        let order = RolloutOrder {
            service: Name::new(service),
            target: Name::new(target),
            duration,
            revision: self.items.revision,
        };
        self.items.orders.insert(order.service.clone(), order);
    }

    /// Goes back to an older copy, without leases.
    pub fn restore(&mut self, copy: Items) {
        self.items = copy;
        self.era += 1;
        self.leader = None;
    }

    /// Returns the latest state that was written.
    pub fn state(&self, service: &str) -> Option<RolloutState> {
        self.items.status.get(service).map(|(state, _)| *state)
    }

    /// Performs a duty of a router and tells it the result.
    pub fn perform(
        &mut self,
        now: Time,
        router: &Name,
        rollouts: &mut Rollouts,
        duty: &RolloutDuty,
    ) {
        if self.health == Health::Down {
            return rollouts.on_failed(now, duty);
        }
        let reply = self.reply(now, router, duty);
        let is_write = !matches!(duty, RolloutDuty::Read { .. } | RolloutDuty::ReadLeader);
        if self.health == Health::LosesResponses && is_write {
            return rollouts.on_failed(now, duty);
        }
        match (reply, duty) {
            (Reply::Conflict, _) => {
                self.conflicts += 1;
                rollouts.on_conflict(now, duty);
            }
            (Reply::Leader(leader), _) => rollouts.on_leader_read(now, leader),
            (Reply::Read(item), RolloutDuty::Read { service }) => {
                rollouts.on_read(now, service, item);
            }
            (Reply::Done(at), RolloutDuty::Acquire) => rollouts.on_acquired(now, at, at),
            (Reply::Done(_), RolloutDuty::Renew { .. }) => rollouts.on_renewed(now),
            (Reply::Done(_), RolloutDuty::Release { .. }) => rollouts.on_released(now),
            (Reply::Done(at), RolloutDuty::Write { record, .. }) => {
                rollouts.on_written(now, &record.service, at);
            }
            _ => unreachable!("the reply fits the duty"),
        }
    }

    fn reply(&mut self, now: Time, router: &Name, duty: &RolloutDuty) -> Reply {
        self.leader = self.leader.take().filter(|leader| leader.until > now);
        let until = now + LEASE_TIME;
        match duty {
            RolloutDuty::ReadLeader => {
                Reply::Leader(self.leader.as_ref().map(|l| (l.name.clone(), l.revision)))
            }
            RolloutDuty::Acquire if self.leader.is_some() => Reply::Conflict,
            RolloutDuty::Acquire => {
                self.items.revision += 1;
                let revision = self.items.revision;
                let name = router.clone();
                self.leader = Some(Leader { name, revision, lease: revision, until });
                Reply::Done(revision)
            }
            RolloutDuty::Renew { lease } => match &mut self.leader {
                Some(leader) if leader.lease == *lease => {
                    leader.until = until;
                    Reply::Done(0)
                }
                _ => Reply::Conflict,
            },
            RolloutDuty::Release { .. } => {
                self.leader = None;
                Reply::Done(0)
            }
            RolloutDuty::Read { service } => Reply::Read(self.items.records.get(service).cloned()),
            RolloutDuty::Write { record, state, expected_record, leader_revision } => {
                let known = self.items.records.get(&record.service).map_or(0, |(_, at)| *at);
                let leader = self.leader.as_ref().map_or(0, |leader| leader.revision);
                if known != *expected_record || leader != *leader_revision {
                    return Reply::Conflict;
                }
                self.write(now, record, *state)
            }
        }
    }

    fn write(&mut self, now: Time, record: &RolloutRecord, state: Option<RolloutState>) -> Reply {
        self.items.revision += 1;
        let (service, revision) = (record.service.clone(), self.items.revision);
        if let Some(state) = state {
            self.history.push((now, state, record.target.clone()));
            self.items.status.insert(service.clone(), (state, record.target.clone()));
        }
        self.items.records.insert(service, (record.clone(), revision));
        Reply::Done(revision)
    }
}
