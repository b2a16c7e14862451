//! Requests of one workspace and class that wait for one target.

use std::collections::VecDeque;
use std::time::Duration;

use crate::request::RequestId;
use crate::time::Time;

/// Sidecars that are asked first.
pub(super) const FIRST_ASKED: usize = 2;

/// Weight of the newest interval in the mean, as a divisor.
const MEAN_DIVISOR: u32 = 8;

/// Request in a queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    /// Number of the request.
    pub id: RequestId,
    /// Time of arrival.
    pub since: Time,
    /// Expected cost.
    pub cost: u64,
}

/// Queue in order of arrival.
#[derive(Clone, Debug)]
pub(super) struct Queue {
    waiting: VecDeque<Waiting>,
    /// Sidecars that are asked; doubles while the first request waits.
    pub breadth: usize,
    last_pop: Option<Time>,
    mean_interval: Duration,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            waiting: VecDeque::new(),
            breadth: FIRST_ASKED,
            last_pop: None,
            mean_interval: Duration::ZERO,
        }
    }

    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the first request.
    pub fn head(&self) -> Option<&Waiting> {
        self.waiting.front()
    }

    /// Appends a request.
    pub fn push(&mut self, waiting: Waiting) {
        self.waiting.push_back(waiting);
    }

    /// Puts a request back by its time of arrival.
    pub fn push_again(&mut self, waiting: Waiting) {
        let index = self.waiting.partition_point(|other| other.since <= waiting.since);
        self.waiting.insert(index, waiting);
    }

    /// Removes the first request for dispatch.
    pub fn pop(&mut self, now: Time) -> Option<Waiting> {
        let waiting = self.waiting.pop_front()?;
        self.note_pop(now);
        self.rest_if_empty();

        Some(waiting)
    }

    /// Removes the first request if it arrived before `limit`.
    pub fn pop_older_than(&mut self, limit: Time) -> Option<Waiting> {
        let is_old = self.head().is_some_and(|head| head.since < limit);

        let waiting = if is_old { self.waiting.pop_front() } else { None };
        self.rest_if_empty();
        waiting
    }

    /// Removes a request, and tells whether it was there.
    pub fn remove(&mut self, id: RequestId) -> bool {
        let index = self.waiting.iter().position(|waiting| waiting.id == id);

        let is_removed = index.and_then(|index| self.waiting.remove(index)).is_some();
        self.rest_if_empty();
        is_removed
    }

    /// Returns how long a request that arrives now would wait, from recent dispatches.
    pub fn expected_wait(&self) -> Duration {
        self.mean_interval * self.waiting.len() as u32
    }

    /// Starts narrow again when the next request comes.
    fn rest_if_empty(&mut self) {
        if self.waiting.is_empty() {
            self.breadth = FIRST_ASKED;
            self.last_pop = None;
        }
    }

    fn note_pop(&mut self, now: Time) {
        if let Some(last) = self.last_pop {
            let interval = now.since(last);
            self.mean_interval = if self.mean_interval.is_zero() {
                interval
            } else {
                self.mean_interval - self.mean_interval / MEAN_DIVISOR + interval / MEAN_DIVISOR
            };
        }

        self.last_pop = Some(now);
    }
}
