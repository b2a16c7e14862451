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
pub(super) struct OpenPermit {
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
    open: HashMap<u64, OpenPermit>,
    next: u64,
}

impl Permits {
    /// Creates a controller whose permits count from `first`.
    pub fn new(first: u64) -> Self {
        Self { open: HashMap::default(), next: first }
    }

    /// Issues a permit and returns its number.
    pub fn issue(&mut self, now: Time, router: Name, choice: ClassQueue, charged: u64) -> u64 {
        let id = self.next;
        self.next += 1;

        let expires = now + PERMIT_TIMEOUT;
        self.open.insert(id, OpenPermit { router, choice, charged, expires });
        id
    }

    /// Takes a permit that is spent or returned.
    pub fn take(&mut self, id: u64) -> Option<OpenPermit> {
        self.open.remove(&id)
    }

    /// Returns the number of open permits.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Takes the permits that expired, or that `router` held.
    pub fn expire(&mut self, now: Time, router: Option<&Name>) -> Vec<OpenPermit> {
        let mut expired: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, permit)| permit.expires <= now || Some(&permit.router) == router)
            .map(|(id, _)| *id)
            .collect();
        expired.sort_unstable();

        expired.into_iter().filter_map(|id| self.open.remove(&id)).collect()
    }

    /// Returns the time at which the next permit expires.
    pub fn next_deadline(&self) -> Option<Time> {
        self.open.values().map(|permit| permit.expires).min()
    }
}
