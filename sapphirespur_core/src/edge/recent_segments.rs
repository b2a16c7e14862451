//! Bounded set of prompt segments that were seen recently.

use crate::collections::HashSet;

/// Set of segment identities that forgets the oldest half when it is full.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentSegments {
    newer: HashSet<u64>,
    older: HashSet<u64>,
}

impl RecentSegments {
    /// Segments in one half of the set.
    const HALF_CAPACITY: usize = 8_192;

    /// Adds a segment.
    pub fn insert(&mut self, segment: u64) {
        if self.newer.len() >= Self::HALF_CAPACITY {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(segment);
    }

    /// Returns whether the segment is in the set.
    pub fn contains(&self, segment: u64) -> bool {
        self.newer.contains(&segment) || self.older.contains(&segment)
    }
}
