//! Timer queue of one state machine.

use std::collections::BTreeMap;

use crate::collections::HashMap;
use crate::time::Time;

/// Pending timers in the order of their deadlines; a key has at most one deadline at a time.
#[derive(Clone, Debug)]
pub struct Timers<K> {
    by_deadline: BTreeMap<(Time, u64), K>,
    by_key: HashMap<K, (Time, u64)>,
    next_sequence: u64,
}

impl<K: Clone + Eq + std::hash::Hash> Timers<K> {
    /// Creates an empty timer queue.
    pub fn new() -> Self {
        Self { by_deadline: BTreeMap::new(), by_key: HashMap::default(), next_sequence: 0 }
    }

    /// Sets the deadline of `key`, in place of its earlier one.
    pub fn schedule(&mut self, key: K, deadline: Time) {
        self.cancel(&key);

        let slot = (deadline, self.next_sequence);
        self.next_sequence += 1;
        self.by_key.insert(key.clone(), slot);
        self.by_deadline.insert(slot, key);
    }

    /// Cancels the timer of `key`, if there is one.
    pub fn cancel(&mut self, key: &K) {
        if let Some(slot) = self.by_key.remove(key) {
            self.by_deadline.remove(&slot);
        }
    }

    /// Returns the earliest deadline; `None` when no timer is pending.
    pub fn next_deadline(&self) -> Option<Time> {
        self.by_deadline.keys().next().map(|slot| slot.0)
    }

    /// Removes the earliest timer whose deadline is at or before `now`, and returns its key.
    pub fn pop_expired(&mut self, now: Time) -> Option<K> {
        let slot = *self.by_deadline.keys().next()?;
        if slot.0 > now {
            return None;
        }

        let key = self.by_deadline.remove(&slot)?;
        self.by_key.remove(&key);
        Some(key)
    }
}

impl<K: Clone + Eq + std::hash::Hash> Default for Timers<K> {
    fn default() -> Self {
        Self::new()
    }
}
