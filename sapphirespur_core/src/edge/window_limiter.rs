//! Sliding-window limit on the number of events.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// Limits the events in every window of a fixed length, wherever the window starts.
#[derive(Clone, Debug)]
pub struct WindowLimiter {
    window: Duration,
    recorded: VecDeque<Time>,
}

impl WindowLimiter {
    /// Creates a limiter for windows of the given length.
    pub fn new(window: Duration) -> Self {
        Self { window, recorded: VecDeque::new() }
    }

    /// Returns whether one more event is allowed now when a window may contain `limit` events.
    pub fn has_capacity(&mut self, now: Time, limit: usize) -> bool {
        self.expire(now);
        self.recorded.len() < limit
    }

    /// Records an event, which counts towards the limit for the length of a window.
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
