//! Durable state of a roll-out.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::edge::{RolloutOrder, RolloutPhase, RolloutReason};
use crate::name::Name;

/// State of the roll-out of one service, as the leader keeps it in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutRecord {
    /// Name of the service.
    pub service: Name,
    /// Version that the order names.
    pub target: Name,
    /// Time within which the roll-out should end, in milliseconds since its begin.
    pub duration_ms: u64,
    /// Revision of the order's item.
    pub order_revision: u64,
    /// Era of the store in which the record was written.
    pub era: u64,
    /// Revision of the order's item as the roll-out began; it stays when the order is written again
    /// after a restore of the store.
    pub attempt: u64,
    /// Phase.
    pub phase: RolloutPhase,
    /// Reason for being reverted.
    pub reason: RolloutReason,
    /// Time since the roll-out began, in milliseconds.
    pub elapsed_ms: u64,
    /// Router that wrote the record.
    pub leader: Name,
    /// Revision of the leader's item when the record was written.
    pub fencing: u64,
    /// Versions that get no requests until an order names them.
    pub withdrawn: Vec<Name>,
}

impl RolloutRecord {
    /// Returns the time within which the roll-out should end.
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.duration_ms)
    }

    /// Returns the time since the roll-out began, as of the last write.
    pub fn elapsed(&self) -> Duration {
        Duration::from_millis(self.elapsed_ms)
    }

    /// Returns whether the record tells more than `other`, which an older copy of the store may hold.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.position() > other.position()
    }

    /// Returns whether both records are of the same roll-out.
    pub fn is_same_rollout(&self, other: &Self) -> bool {
        self.target == other.target && self.attempt == other.attempt
    }

    /// Returns whether an order with this content began the roll-out.
    pub fn fits(&self, order: &RolloutOrder) -> bool {
        self.target == order.target && self.duration() == order.duration
    }

    fn position(&self) -> (u64, u64, u8, u64) {
        (self.era, self.order_revision, self.phase.rank(), self.elapsed_ms)
    }
}
