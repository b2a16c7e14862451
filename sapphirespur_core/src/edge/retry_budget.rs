//! Budget of requests that are sent more than once.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// Limits of repeats for a service, over the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed beside the ratio, for the whole fleet.
    pub allowance: u32,
    /// Window in which both are counted.
    pub window: Duration,
}

/// One router's part of the budget for one service.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl RetryBudget {
    /// Notes a request of a client.
    pub fn record_request(&mut self, now: Time, limits: RetryLimits) {
        expire(&mut self.requests, now, limits.window);
        self.requests.push_back(now);
    }

    /// Takes one repeat, and tells whether the budget has it; `routers` share the allowance.
    pub fn try_spend(&mut self, now: Time, limits: RetryLimits, routers: usize) -> bool {
        if self.remaining(now, limits, routers) == 0 {
            return false;
        }

        self.retries.push_back(now);
        true
    }

    /// Gives a repeat back that was not used.
    pub fn refund(&mut self) {
        self.retries.pop_back();
    }

    /// Returns the repeats that are left now.
    pub fn remaining(&mut self, now: Time, limits: RetryLimits, routers: usize) -> usize {
        expire(&mut self.requests, now, limits.window);
        expire(&mut self.retries, now, limits.window);

        let earned = limits.ratio * self.requests.len() as f64;
        let own = f64::from(limits.allowance) / routers.max(1) as f64;
        ((earned + own) as usize).saturating_sub(self.retries.len())
    }
}

fn expire(times: &mut VecDeque<Time>, now: Time, window: Duration) {
    while times.front().is_some_and(|at| now.since(*at) > window) {
        times.pop_front();
    }
}
