//! Permits that are issued to routers and not yet used.

use std::time::Duration;

use crate::collections::HashMap;
use crate::fair_scheduler::ClassQueue;
use crate::name::Name;
use crate::time::Time;

/// Time after which an unused permit expires.
pub(super) const PERMIT_TIMEOUT: Duration = Duration::from_millis(500);

/// Permit that is neither used nor returned.
#[derive(Clone, Debug)]
pub(super) struct IssuedPermit {
    /// Router that holds it.
    pub router: Name,
    /// Queue that it was issued for.
    pub queue: ClassQueue,
    /// Cost charged to the queue for it, in cost units.
    pub charged: u64,
    expires: Time,
}

/// Permits that are neither used nor returned, by identifier.
#[derive(Clone, Debug)]
pub(super) struct Permits {
    issued: HashMap<u64, IssuedPermit>,
    next_id: u64,
}

impl Permits {
    /// Creates an empty set whose permits have identifiers from `first` on.
    pub fn new(first: u64) -> Self {
        Self { issued: HashMap::default(), next_id: first }
    }

    /// Issues a permit and returns its identifier.
    pub fn issue(&mut self, now: Time, router: Name, queue: ClassQueue, charged: u64) -> u64 {
        let id = self.next_id;
        self.next_id += 1;

        let expires = now + PERMIT_TIMEOUT;
        self.issued.insert(id, IssuedPermit { router, queue, charged, expires });
        id
    }

    /// Removes a permit that was used or returned; `None` if it has expired or is unknown.
    pub fn remove(&mut self, id: u64) -> Option<IssuedPermit> {
        self.issued.remove(&id)
    }

    /// Returns the number of permits that are neither used nor returned.
    pub fn len(&self) -> usize {
        self.issued.len()
    }

    /// Removes and returns the permits that have expired or that `router` holds.
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

    /// Returns the earliest expiry time of a permit.
    pub fn next_deadline(&self) -> Option<Time> {
        self.issued.values().map(|permit| permit.expires).min()
    }
}
