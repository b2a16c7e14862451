//! Requests of one workspace and class that wait for one target.

use std::collections::VecDeque;
use std::time::Duration;

use crate::request::RequestId;
use crate::time::Time;

/// Sidecars that are asked first.
pub(super) const INITIAL_FANOUT: usize = 2;

/// Weight of the newest interval in the mean, as a divisor.
const MEAN_INTERVAL_DIVISOR: u32 = 8;

/// Request in a queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedRequest {
    /// Number of the request.
    pub id: RequestId,
    /// Time of arrival.
    pub arrived_at: Time,
    /// Expected cost.
    pub cost: u64,
}

/// Queue in order of arrival.
#[derive(Clone, Debug)]
pub(super) struct Queue {
    requests: VecDeque<QueuedRequest>,
    /// Sidecars that are asked; doubles while the first request waits.
    pub fanout: usize,
    last_pop: Option<Time>,
    mean_interval: Duration,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            requests: VecDeque::new(),
            fanout: INITIAL_FANOUT,
            last_pop: None,
            mean_interval: Duration::ZERO,
        }
    }

    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the first request.
    pub fn head(&self) -> Option<&QueuedRequest> {
        self.requests.front()
    }

    /// Appends a request.
    pub fn push(&mut self, request: QueuedRequest) {
        self.requests.push_back(request);
    }

    /// Puts a request back by its time of arrival.
    pub fn reinsert(&mut self, request: QueuedRequest) {
        let index = self.requests.partition_point(|other| other.arrived_at <= request.arrived_at);
        self.requests.insert(index, request);
    }

    /// Removes the first request for dispatch.
    pub fn pop(&mut self, now: Time) -> Option<QueuedRequest> {
        let request = self.requests.pop_front()?;
        self.record_pop(now);
        self.reset_if_empty();

        Some(request)
    }

    /// Removes the first request if it arrived before `cutoff`.
    pub fn pop_older_than(&mut self, cutoff: Time) -> Option<QueuedRequest> {
        let is_old = self.head().is_some_and(|head| head.arrived_at < cutoff);

        let request = if is_old { self.requests.pop_front() } else { None };
        self.reset_if_empty();
        request
    }

    /// Removes a request, and tells whether it was there.
    pub fn remove(&mut self, id: RequestId) -> bool {
        let index = self.requests.iter().position(|request| request.id == id);

        let is_removed = index.and_then(|index| self.requests.remove(index)).is_some();
        self.reset_if_empty();
        is_removed
    }

    /// Returns how long a request that arrives now would wait, from recent dispatches.
    pub fn expected_wait(&self) -> Duration {
        self.mean_interval * self.requests.len() as u32
    }

    /// Starts narrow again when the next request comes.
    fn reset_if_empty(&mut self) {
        if self.requests.is_empty() {
            self.fanout = INITIAL_FANOUT;
            self.last_pop = None;
        }
    }

    fn record_pop(&mut self, now: Time) {
        if let Some(last) = self.last_pop {
            let interval = now.since(last);
            self.mean_interval = if self.mean_interval.is_zero() {
                interval
            } else {
                self.mean_interval - self.mean_interval / MEAN_INTERVAL_DIVISOR
                    + interval / MEAN_INTERVAL_DIVISOR
            };
        }

        self.last_pop = Some(now);
    }
}
