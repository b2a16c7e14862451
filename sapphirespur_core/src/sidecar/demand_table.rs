//! Waiting requests of the routers, as last reported to the sidecar.

use crate::collections::HashMap;
use crate::fair_scheduler::ClassQueue;
use crate::message::Demand;
use crate::name::Name;
use crate::time::Time;

/// Waiting requests of one queue at one router.
#[derive(Clone, Debug)]
struct RouterQueue {
    count: u32,
    /// Time since which the first request has waited.
    head_since: Time,
    /// Expected cost of the first request, in cost units.
    head_cost: u64,
}

/// Request that a permit is issued for.
#[derive(Clone, Debug)]
pub(super) struct WaitingRequest {
    /// Router at which it waits.
    pub router: Name,
    /// Expected cost, in cost units.
    pub cost: u64,
}

/// Key of a queue: workspace and class.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct QueueId {
    workspace: Name,
    class: Name,
}

/// Effect of a demand update on the queues.
#[derive(Clone, Debug, Default)]
pub(super) struct DemandChange {
    /// Queues that have waiting requests now.
    pub waiting: Vec<ClassQueue>,
    /// Queues that became empty.
    pub empty: Vec<ClassQueue>,
    /// Whether a message was lost, so that the router must send its full demand.
    pub needs_resync: bool,
}

/// Waiting requests by queue and router, and the last demand sequence number of each router.
#[derive(Clone, Debug, Default)]
pub(super) struct DemandTable {
    queues: HashMap<QueueId, HashMap<Name, RouterQueue>>,
    sequences: HashMap<Name, u64>,
}

impl DemandTable {
    /// Starts a link session of a router, with no demand until its first message.
    pub fn on_link_up(&mut self, router: &Name) -> DemandChange {
        let change = self.on_link_down(router);
        self.sequences.insert(router.clone(), 0);

        change
    }

    /// Ends the link session of a router and removes its demand.
    pub fn on_link_down(&mut self, router: &Name) -> DemandChange {
        self.sequences.remove(router);
        let mut change = DemandChange::default();
        self.remove_router(router, &mut change);

        change
    }

    /// Applies a demand message. Duplicates and messages without a link session are ignored.
    pub fn on_demand(&mut self, now: Time, router: &Name, demand: &Demand) -> DemandChange {
        let mut change = DemandChange::default();
        let Some(last) = self.sequences.get(router).copied() else { return change };
        if demand.sequence <= last {
            return change;
        }

        if demand.full {
            self.remove_router(router, &mut change);
        } else {
            change.needs_resync = demand.sequence > last + 1;
        }
        self.sequences.insert(router.clone(), demand.sequence);
        for entry in &demand.entries {
            let queue =
                ClassQueue { workspace: entry.workspace.clone(), class: entry.class.clone() };
            let head_since = now - entry.head_age;
            let waiting =
                RouterQueue { count: entry.count, head_since, head_cost: entry.head_cost };
            self.set(router, queue, waiting, &mut change);
        }

        change
    }

    /// Returns whether a router has sent a demand message that was not received.
    pub fn is_behind(&self, router: &Name, sequence: u64) -> bool {
        self.sequences.get(router).is_some_and(|last| *last < sequence)
    }

    /// Returns the sequence number of a router's last demand message, or zero if there is none.
    pub fn sequence(&self, router: &Name) -> u64 {
        self.sequences.get(router).copied().unwrap_or(0)
    }

    /// Updates the number of requests that a router still has in a queue.
    pub fn on_remaining(
        &mut self,
        router: &Name,
        queue: &ClassQueue,
        remaining: u32,
    ) -> DemandChange {
        let mut change = DemandChange::default();
        let current =
            self.queues.get(&queue_id(queue)).and_then(|routers| routers.get(router)).cloned();
        if let Some(waiting) = current {
            let waiting = RouterQueue { count: remaining, ..waiting };
            self.set(router, queue.clone(), waiting, &mut change);
        }

        change
    }

    /// Returns whether a queue has waiting requests at any router.
    pub fn has_work(&self, workspace: &Name, class: &Name) -> bool {
        self.queues.contains_key(&QueueId { workspace: workspace.clone(), class: class.clone() })
    }

    /// Removes one request of a queue from the router whose first request has waited longest.
    pub fn take_longest_waiting(&mut self, queue: &ClassQueue) -> Option<WaitingRequest> {
        let id = queue_id(queue);
        let routers = self.queues.get_mut(&id)?;
        let router = routers
            .iter()
            .min_by_key(|(name, w)| (w.head_since, *name))
            .map(|(name, _)| name.clone())?;

        let waiting = routers.get_mut(&router)?;
        let cost = waiting.head_cost;
        waiting.count -= 1;
        if waiting.count == 0 {
            routers.remove(&router);
        }
        if routers.is_empty() {
            self.queues.remove(&id);
        }
        Some(WaitingRequest { router, cost })
    }

    /// Returns the queues that have waiting requests.
    pub fn queues(&self) -> impl Iterator<Item = ClassQueue> {
        self.queues
            .keys()
            .map(|id| ClassQueue { workspace: id.workspace.clone(), class: id.class.clone() })
    }

    fn set(
        &mut self,
        router: &Name,
        queue: ClassQueue,
        waiting: RouterQueue,
        change: &mut DemandChange,
    ) {
        let id = queue_id(&queue);
        if waiting.count > 0 {
            self.queues.entry(id).or_default().insert(router.clone(), waiting);
            change.waiting.push(queue);
            return;
        }

        let Some(routers) = self.queues.get_mut(&id) else { return };
        routers.remove(router);
        if routers.is_empty() {
            self.queues.remove(&id);
            change.empty.push(queue);
        }
    }

    fn remove_router(&mut self, router: &Name, change: &mut DemandChange) {
        self.queues.retain(|id, routers| {
            routers.remove(router);
            if routers.is_empty() {
                let queue = ClassQueue { workspace: id.workspace.clone(), class: id.class.clone() };
                change.empty.push(queue);
            }
            !routers.is_empty()
        });
    }
}

fn queue_id(queue: &ClassQueue) -> QueueId {
    QueueId { workspace: queue.workspace.clone(), class: queue.class.clone() }
}
