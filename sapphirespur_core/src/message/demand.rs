//! Messages that report waiting requests to sidecars.

use std::time::Duration;

use crate::name::Name;

/// Waiting requests of one queue, as absolute values.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueDemand {
    /// Workspace of the queue.
    pub workspace: Name,
    /// Class of the queue.
    pub class: Name,
    /// Number of waiting requests; zero when the queue is empty.
    pub count: u32,
    /// Time for which the first request has waited.
    pub head_age: Duration,
    /// Expected cost of the first request, in cost units.
    pub head_cost: u64,
}

/// Waiting requests of one router, advertised to one sidecar.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Demand {
    /// Sequence number within the router's link session.
    pub sequence: u64,
    /// Whether `entries` holds all queues, rather than the changed ones.
    pub full: bool,
    /// All or the changed queues, see `full`.
    pub entries: Vec<QueueDemand>,
}

/// Request for the full demand after a message was lost.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DemandResync {
    /// Sequence number of the last applied message.
    pub last_sequence: u64,
}
