//! Attempts of a sidecar, under way and barred.

use std::time::Duration;

use crate::collections::HashMap;
use crate::request::AttemptId;
use crate::sidecar::attempt::Attempt;
use crate::time::Time;

/// Time for which a barred attempt is remembered; no connection delivers a request later.
const BARRED_FOR: Duration = Duration::from_secs(600);

/// Controller of the attempts.
#[derive(Clone, Debug, Default)]
pub(super) struct Attempts {
    running: HashMap<AttemptId, Attempt>,
    barred: HashMap<AttemptId, Time>,
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
        self.bar(now, id);

        Some(attempt)
    }

    /// Tells whether an attempt is under way.
    pub fn is_running(&self, id: AttemptId) -> bool {
        self.running.contains_key(&id)
    }

    /// Tells whether an attempt may not start.
    pub fn is_barred(&self, id: AttemptId) -> bool {
        self.barred.contains_key(&id) || self.running.contains_key(&id)
    }

    /// Keeps an attempt from starting.
    pub fn bar(&mut self, now: Time, id: AttemptId) {
        self.barred.insert(id, now + BARRED_FOR);
    }

    /// Forgets the attempts that were barred long ago.
    pub fn prune(&mut self, now: Time) {
        self.barred.retain(|_, until| *until > now);
    }

    /// Returns the attempts whose first token is late.
    pub fn late(&self, now: Time) -> Vec<AttemptId> {
        let mut late: Vec<AttemptId> = self
            .running
            .iter()
            .filter(|(_, attempt)| attempt.late_at().is_some_and(|due| due <= now))
            .map(|(id, _)| *id)
            .collect();
        late.sort_unstable();

        late
    }

    /// Returns the time at which the next first token becomes late.
    pub fn next_deadline(&self) -> Option<Time> {
        self.running.values().filter_map(Attempt::late_at).min()
    }
}
