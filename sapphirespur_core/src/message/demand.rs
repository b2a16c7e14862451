//! Messages that tell sidecars of waiting work.

use std::time::Duration;

use crate::name::Name;

/// Waiting requests of one queue, as absolute state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueDemand {
    /// Workspace of the queue.
    pub workspace: Name,
    /// Class of the queue.
    pub class: Name,
    /// Requests that wait; zero when the queue is empty.
    pub count: u32,
    /// Time that the first of them has waited.
    pub head_age: Duration,
    /// Expected cost of the first of them, in cost units.
    pub head_cost: u64,
}

/// Demand of one router on one sidecar.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Demand {
    /// Number of the message within the router's link session.
    pub sequence: u64,
    /// Whether the entries are all there are, rather than the changed ones.
    pub full: bool,
    /// Queues.
    pub entries: Vec<QueueDemand>,
}

/// Request for the whole demand after a message was lost.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DemandResync {
    /// Number of the last message that was applied.
    pub last_sequence: u64,
}
