//! Order as this router knows it.

use std::time::Duration;

use crate::edge::RolloutOrder;
use crate::time::Time;

/// Order with the times at which it was first seen and found missing.
#[derive(Clone, Debug)]
pub(super) struct KnownOrder {
    /// Order as last written.
    pub order: RolloutOrder,
    /// When this router first saw it.
    pub seen_at: Time,
    /// When its absence counts; none while it is there.
    removed_at: Option<Time>,
}

impl KnownOrder {
    /// Time for which an order must be missing before it counts as deleted: a listing of a restored
    /// store arrives before the era.
    const REMOVAL_TIME: Duration = Duration::from_millis(500);

    /// Time after a restore of the store within which the operator writes again what the copy lacks.
    const RESTORE_TIME: Duration = Duration::from_secs(10);

    /// Creates an order that has just been seen.
    pub fn new(now: Time, order: RolloutOrder) -> Self {
        Self { order, seen_at: now, removed_at: None }
    }

    /// Applies the order as written again.
    pub fn update(&mut self, now: Time, order: RolloutOrder) {
        if self.order != order {
            self.seen_at = now;
        }
        self.order = order;
        self.removed_at = None;
    }

    /// Records that the order is missing.
    pub fn on_removed(&mut self, now: Time) {
        self.removed_at.get_or_insert(now + Self::REMOVAL_TIME);
    }

    /// Records that the store was restored: a missing order may be written again.
    pub fn on_restored(&mut self, now: Time) {
        if let Some(at) = &mut self.removed_at {
            *at = now + Self::RESTORE_TIME;
        }
    }

    /// Returns whether the order was in the store when that was last read.
    pub fn is_present(&self) -> bool {
        self.removed_at.is_none()
    }

    /// Returns whether the order was deleted.
    pub fn is_removed(&self, now: Time) -> bool {
        self.removed_at.is_some_and(|at| at <= now)
    }
}
