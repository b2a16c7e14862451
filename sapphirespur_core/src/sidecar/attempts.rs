//! Attempts of a sidecar, under way and barred.

use std::time::Duration;

use crate::collections::HashMap;
use crate::request::AttemptId;
use crate::sidecar::attempt::Attempt;
use crate::time::Time;

/// Time for which an attempt is remembered after its end; no router asks after it later.
const CLOSED_RETENTION: Duration = Duration::from_secs(3_600);

/// What the sidecar can say of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptStatus {
    /// It is under way.
    Running,
    /// It has not started and never will.
    NeverStarted,
    /// It may have run.
    Unknown,
}

/// Attempt that cannot start any more.
#[derive(Clone, Copy, Debug)]
struct Closed {
    may_have_run: bool,
    until: Time,
}

/// Controller of the attempts.
#[derive(Clone, Debug, Default)]
pub(super) struct Attempts {
    running: HashMap<AttemptId, Attempt>,
    closed: HashMap<AttemptId, Closed>,
}

impl Attempts {
    /// Returns the number of attempts under way.
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Adds an attempt.
    pub fn insert(&mut self, id: AttemptId, attempt: Attempt) {
        self.running.insert(id, attempt);
    }

    /// Returns an attempt under way.
    pub fn get_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.running.get_mut(&id)
    }

    /// Takes an attempt that ended; it can never start again.
    pub fn remove(&mut self, now: Time, id: AttemptId) -> Option<Attempt> {
        let attempt = self.running.remove(&id)?;
        self.closed.insert(id, Closed { may_have_run: true, until: now + CLOSED_RETENTION });

        Some(attempt)
    }

    /// Tells whether an attempt may start.
    pub fn can_start(&self, id: AttemptId) -> bool {
        !self.closed.contains_key(&id) && !self.running.contains_key(&id)
    }

    /// Returns the status of an attempt; one that has not started is kept from starting.
    pub fn resolve_status(&mut self, now: Time, id: AttemptId) -> AttemptStatus {
        if self.running.contains_key(&id) {
            return AttemptStatus::Running;
        }

        let until = now + CLOSED_RETENTION;
        let closed = self.closed.entry(id).or_insert(Closed { may_have_run: false, until });
        if closed.may_have_run { AttemptStatus::Unknown } else { AttemptStatus::NeverStarted }
    }

    /// Forgets the attempts that ended long ago.
    pub fn prune(&mut self, now: Time) {
        self.closed.retain(|_, closed| closed.until > now);
    }

    /// Returns the attempts whose first token is late.
    pub fn overdue_first_tokens(&self, now: Time) -> Vec<AttemptId> {
        let mut overdue: Vec<AttemptId> = self
            .running
            .iter()
            .filter(|(_, attempt)| attempt.first_token_deadline().is_some_and(|due| due <= now))
            .map(|(id, _)| *id)
            .collect();
        overdue.sort_unstable();

        overdue
    }

    /// Returns the time at which the next first token becomes late.
    pub fn next_deadline(&self) -> Option<Time> {
        self.running.values().filter_map(Attempt::first_token_deadline).min()
    }
}
