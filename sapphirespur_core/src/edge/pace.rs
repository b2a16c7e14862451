//! Limit of events in any window of time.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// Allows at most a number of events in each window, wherever the window starts.
#[derive(Clone, Debug)]
pub struct Pace {
    window: Duration,
    taken: VecDeque<Time>,
}

impl Pace {
    /// Creates a pace over windows of the given length.
    pub fn new(window: Duration) -> Self {
        Self { window, taken: VecDeque::new() }
    }

    /// Tells whether one more event fits when `limit` events may fall into a window.
    pub fn has_room(&mut self, now: Time, limit: usize) -> bool {
        self.forget(now);
        self.taken.len() < limit
    }

    /// Notes an event.
    pub fn take(&mut self, now: Time) {
        self.forget(now);
        self.taken.push_back(now);
    }

    fn forget(&mut self, now: Time) {
        while self.taken.front().is_some_and(|at| now.since(*at) > self.window) {
            self.taken.pop_front();
        }
    }
}
