//! Limit of events in any window of time.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// Allows at most a number of events in each window, wherever the window starts.
#[derive(Clone, Debug)]
pub struct WindowLimiter {
    window: Duration,
    recorded: VecDeque<Time>,
}

impl WindowLimiter {
    /// Creates a pace over windows of the given length.
    pub fn new(window: Duration) -> Self {
        Self { window, recorded: VecDeque::new() }
    }

    /// Tells whether one more event fits when `limit` events may fall into a window.
    pub fn has_capacity(&mut self, now: Time, limit: usize) -> bool {
        self.expire(now);
        self.recorded.len() < limit
    }

    /// Notes an event.
    pub fn record(&mut self, now: Time) {
        self.expire(now);
        self.recorded.push_back(now);
    }

    fn expire(&mut self, now: Time) {
        while self.recorded.front().is_some_and(|at| now.since(*at) > self.window) {
            self.recorded.pop_front();
        }
    }
}
