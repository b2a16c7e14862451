//! Bounded set of requests and prompt segments that were seen recently.

use crate::collections::HashSet;
use crate::edge::QuarantineKey;

/// Set of keys that forgets the oldest half when it is full.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentKeys {
    newer: HashSet<QuarantineKey>,
    older: HashSet<QuarantineKey>,
}

impl RecentKeys {
    /// Keys in one half of the set.
    const HALF_CAPACITY: usize = 8_192;

    /// Adds a key.
    pub fn insert(&mut self, key: QuarantineKey) {
        if self.newer.len() >= Self::HALF_CAPACITY {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(key);
    }

    /// Returns whether the key is in the set.
    pub fn contains(&self, key: QuarantineKey) -> bool {
        self.newer.contains(&key) || self.older.contains(&key)
    }
}
