//! Budget of requests that are sent more than once.

use std::collections::VecDeque;
use std::time::Duration;

use crate::edge::fleet_retries::FleetRetries;
use crate::edge::{RetryPortion, ServiceDemand};
use crate::time::Time;

/// Fleet-wide limits of retries for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in addition, for the whole fleet.
    pub allowance: f64,
    /// Window over which requests and retries are counted.
    pub window: Duration,
}

/// Requests and retries for one service: those of this router, and what it knows of the others.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
    fleet: FleetRetries,
    /// Retries spent since [`reset_counts`](Self::reset_counts).
    spent: u64,
    /// Retries that were not allowed since then.
    refused: u64,
}

impl RetryBudget {
    /// Records a request of a client.
    pub fn record_request(&mut self, now: Time, limits: RetryLimits) {
        expire(&mut self.requests, now, limits.window);
        self.requests.push_back(now);
    }

    /// Returns the requests in the window.
    pub fn requests(&mut self, now: Time, limits: RetryLimits) -> usize {
        expire(&mut self.requests, now, limits.window);
        self.requests.len()
    }

    /// Returns the retries in the window.
    pub fn retries(&mut self, now: Time, limits: RetryLimits) -> usize {
        expire(&mut self.retries, now, limits.window);
        self.retries.len()
    }

    /// Records what the other routers report now.
    pub fn observe(&mut self, now: Time, limits: RetryLimits, others: ServiceDemand) {
        let requests = self.requests(now, limits) as f64 + f64::from(others.requests);
        self.fleet.observe(now, limits.window, requests, others.retries);
    }

    /// Returns the retries of the other routers in the window, those that nobody reports any longer
    /// included.
    pub fn others_retries(&self) -> f64 {
        self.fleet.retries()
    }

    /// Returns whether one more retry at each of `routers` routers keeps the whole fleet within the
    /// limits, where `others` is what the other ones report and `report_lag` the age up to which it may
    /// lack their retries.
    ///
    /// Each router's own portion does not suffice: when requests move from one router to another, both
    /// have earned their retries at different times.
    pub fn fits_fleet(
        &mut self,
        now: Time,
        limits: RetryLimits,
        routers: usize,
        others: ServiceDemand,
        report_lag: Duration,
    ) -> bool {
        self.observe(now, limits, others);
        expire(&mut self.retries, now, limits.window);
        let own_requests = self.requests(now, limits) as f64;
        let own_retries =
            |from: Time| self.retries.len() - self.retries.partition_point(|at| *at < from);
        let others_requests = f64::from(others.requests);
        let unreported =
            own_retries(now - report_lag) as f64 * others_requests / own_requests.max(1.0);

        let requests = own_requests + others_requests;
        self.fleet.fits(now, limits, requests, own_retries, unreported + routers as f64)
    }

    /// Counts a retry that was not allowed.
    pub fn record_refused(&mut self) {
        self.refused += 1;
    }

    /// Returns the retries that were spent and those that were not allowed since the last reset.
    pub fn counts(&self) -> (u64, u64) {
        (self.spent, self.refused)
    }

    /// Resets what was spent and not allowed.
    pub fn reset_counts(&mut self) {
        (self.spent, self.refused) = (0, 0);
    }

    /// Spends one retry. Returns whether the portion of this process allowed it.
    pub fn try_spend(&mut self, now: Time, limits: RetryLimits, portion: RetryPortion) -> bool {
        if self.remaining(now, limits, portion) == 0 {
            return false;
        }

        self.retries.push_back(now);
        self.spent += 1;
        true
    }

    /// Refunds a retry that was not used.
    pub fn refund(&mut self) {
        self.retries.pop_back();
        self.spent = self.spent.saturating_sub(1);
    }

    /// Returns the retries that the portion of this process still allows.
    pub fn remaining(&mut self, now: Time, limits: RetryLimits, portion: RetryPortion) -> usize {
        let earned = limits.ratio * self.requests(now, limits) as f64;
        let own = portion.routers.map_or(0.0, |routers| limits.allowance / routers.max(1) as f64);
        let allowed = ((earned + own) * portion.fraction) as usize;
        allowed.saturating_sub(self.retries(now, limits))
    }
}

fn expire(times: &mut VecDeque<Time>, now: Time, window: Duration) {
    while times.front().is_some_and(|at| now.since(*at) > window) {
        times.pop_front();
    }
}
