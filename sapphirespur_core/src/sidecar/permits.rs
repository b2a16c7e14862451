//! Permits that routers hold.

use std::time::Duration;

use crate::collections::HashMap;
use crate::fair_scheduler::ClassQueue;
use crate::name::Name;
use crate::time::Time;

/// Time within which a permit must be spent.
pub(super) const PERMIT_TIMEOUT: Duration = Duration::from_millis(500);

/// Permit that is neither spent nor returned.
#[derive(Clone, Debug)]
pub(super) struct IssuedPermit {
    /// Router that holds it.
    pub router: Name,
    /// Queue that it is for.
    pub choice: ClassQueue,
    /// Cost that was charged for it.
    pub charged: u64,
    expires: Time,
}

/// Controller of the permits.
#[derive(Clone, Debug)]
pub(super) struct Permits {
    issued: HashMap<u64, IssuedPermit>,
    next_id: u64,
}

impl Permits {
    /// Creates a controller whose permits count from `first`.
    pub fn new(first: u64) -> Self {
        Self { issued: HashMap::default(), next_id: first }
    }

    /// Issues a permit and returns its number.
    pub fn issue(&mut self, now: Time, router: Name, choice: ClassQueue, charged: u64) -> u64 {
        let id = self.next_id;
        self.next_id += 1;

        let expires = now + PERMIT_TIMEOUT;
        self.issued.insert(id, IssuedPermit { router, choice, charged, expires });
        id
    }

    /// Takes a permit that is spent or returned.
    pub fn remove(&mut self, id: u64) -> Option<IssuedPermit> {
        self.issued.remove(&id)
    }

    /// Returns the number of open permits.
    pub fn len(&self) -> usize {
        self.issued.len()
    }

    /// Takes the permits that expired, or that `router` held.
    pub fn release(&mut self, now: Time, router: Option<&Name>) -> Vec<IssuedPermit> {
        let mut expired: Vec<u64> = self
            .issued
            .iter()
            .filter(|(_, permit)| permit.expires <= now || Some(&permit.router) == router)
            .map(|(id, _)| *id)
            .collect();
        expired.sort_unstable();

        expired.into_iter().filter_map(|id| self.issued.remove(&id)).collect()
    }

    /// Returns the time at which the next permit expires.
    pub fn next_deadline(&self) -> Option<Time> {
        self.issued.values().map(|permit| permit.expires).min()
    }
}
