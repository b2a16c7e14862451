//! Running and closed attempts of a sidecar.

use std::time::Duration;

use crate::collections::HashMap;
use crate::request::AttemptId;
use crate::sidecar::attempt::Attempt;
use crate::time::Time;

/// Time for which a closed attempt is kept; routers do not query it later.
const CLOSED_RETENTION: Duration = Duration::from_secs(3_600);

/// Status of an attempt, as reported to a router that queries it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptStatus {
    /// It has started and not ended.
    Running,
    /// It has not started and never will: a query or a cancellation closed it.
    NeverStarted,
    /// It may have run: it has ended, or it belongs to an earlier incarnation of the sidecar.
    Unknown,
}

/// Attempt that can no longer start: it has ended, or was closed before it started.
#[derive(Clone, Copy, Debug)]
struct Closed {
    /// Whether it started; otherwise it was closed by a query or a cancellation.
    may_have_run: bool,
    /// Time until which it is kept.
    until: Time,
}

/// Running attempts, and closed ones for `CLOSED_RETENTION`.
#[derive(Clone, Debug, Default)]
pub(super) struct Attempts {
    running: HashMap<AttemptId, Attempt>,
    closed: HashMap<AttemptId, Closed>,
}

impl Attempts {
    /// Returns the number of running attempts.
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Adds a running attempt.
    pub fn insert(&mut self, id: AttemptId, attempt: Attempt) {
        self.running.insert(id, attempt);
    }

    /// Returns an attempt for modification; `None` when it is not running.
    pub fn get_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.running.get_mut(&id)
    }

    /// Removes and returns a running attempt and closes it, so that it cannot start again.
    pub fn remove(&mut self, now: Time, id: AttemptId) -> Option<Attempt> {
        let attempt = self.running.remove(&id)?;
        self.closed.insert(id, Closed { may_have_run: true, until: now + CLOSED_RETENTION });

        Some(attempt)
    }

    /// Returns whether an attempt is neither running nor closed.
    pub fn can_start(&self, id: AttemptId) -> bool {
        !self.closed.contains_key(&id) && !self.running.contains_key(&id)
    }

    /// Returns the status of an attempt. Closes it if it has not started, so that it never will.
    pub fn resolve_status(&mut self, now: Time, id: AttemptId) -> AttemptStatus {
        if self.running.contains_key(&id) {
            return AttemptStatus::Running;
        }

        let until = now + CLOSED_RETENTION;
        let closed = self.closed.entry(id).or_insert(Closed { may_have_run: false, until });
        if closed.may_have_run { AttemptStatus::Unknown } else { AttemptStatus::NeverStarted }
    }

    /// Removes the closed attempts whose retention time is over.
    pub fn prune(&mut self, now: Time) {
        self.closed.retain(|_, closed| closed.until > now);
    }

    /// Returns the running attempts whose first token is overdue, in ascending order.
    pub fn overdue_first_tokens(&self, now: Time) -> Vec<AttemptId> {
        let mut overdue: Vec<AttemptId> = self
            .running
            .iter()
            .filter(|(_, attempt)| {
                attempt.first_token_deadline().is_some_and(|deadline| deadline <= now)
            })
            .map(|(id, _)| *id)
            .collect();
        overdue.sort_unstable();

        overdue
    }

    /// Returns the earliest time at which a first token becomes overdue.
    pub fn next_deadline(&self) -> Option<Time> {
        self.running.values().filter_map(Attempt::first_token_deadline).min()
    }
}
