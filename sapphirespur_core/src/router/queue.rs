//! Queue of the waiting requests of one workspace and class for one target.

use std::collections::VecDeque;
use std::time::Duration;

use crate::request::RequestId;
use crate::time::Time;

/// Number of sidecars that a queue is advertised to at first.
pub(super) const INITIAL_FANOUT: usize = 2;

/// Inverse of the newest interval's weight in the moving average.
const MEAN_INTERVAL_DIVISOR: u32 = 8;

/// Entry of a waiting request.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedRequest {
    /// Identifier of the request within this router.
    pub id: RequestId,
    /// Time at which the request arrived at the router.
    pub arrived_at: Time,
    /// Expected cost, in cost units.
    pub cost: u64,
}

/// Requests in order of arrival, and the interval at which they are dispatched.
#[derive(Clone, Debug)]
pub(super) struct Queue {
    requests: VecDeque<QueuedRequest>,
    /// Number of sidecars that the queue is advertised to; doubles while the first request waits.
    pub fanout: usize,
    /// Time of the last dispatch; `None` if the queue has been empty since.
    last_pop: Option<Time>,
    /// Moving average of the time between dispatches; zero before the first interval.
    mean_interval: Duration,
}

impl Queue {
    /// Creates an empty queue with the initial fanout.
    pub fn new() -> Self {
        Self {
            requests: VecDeque::new(),
            fanout: INITIAL_FANOUT,
            last_pop: None,
            mean_interval: Duration::ZERO,
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the request that arrived first.
    pub fn head(&self) -> Option<&QueuedRequest> {
        self.requests.front()
    }

    /// Appends a newly arrived request.
    pub fn push(&mut self, request: QueuedRequest) {
        self.requests.push_back(request);
    }

    /// Inserts a request that was dispatched before, at the position of its arrival time.
    pub fn reinsert(&mut self, request: QueuedRequest) {
        let index = self.requests.partition_point(|other| other.arrived_at <= request.arrived_at);
        self.requests.insert(index, request);
    }

    /// Removes the first request for dispatch and updates the dispatch interval.
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

    /// Removes a request and returns whether it was in the queue.
    pub fn remove(&mut self, id: RequestId) -> bool {
        let index = self.requests.iter().position(|request| request.id == id);

        let is_removed = index.and_then(|index| self.requests.remove(index)).is_some();
        self.reset_if_empty();
        is_removed
    }

    /// Returns the estimated wait of a request that arrives now, from the recent dispatch interval.
    pub fn expected_wait(&self) -> Duration {
        self.mean_interval * self.requests.len() as u32
    }

    /// Resets the fanout, and ends the current dispatch interval, when the queue is empty.
    fn reset_if_empty(&mut self) {
        if self.requests.is_empty() {
            self.fanout = INITIAL_FANOUT;
            self.last_pop = None;
        }
    }

    /// Adds the interval since the last dispatch to the moving average.
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
