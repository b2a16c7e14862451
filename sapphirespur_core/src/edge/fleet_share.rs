//! This router's share of a limit that holds for the whole fleet.

use crate::edge::Peers;
use crate::time::Time;

/// Inputs of this router's share of a fleet-wide limit.
#[derive(Clone, Copy, Debug)]
pub(super) struct FleetShare<'a> {
    /// Reports of the other routers.
    pub peers: &'a Peers,
    /// Hash of this router's name.
    pub own_hash: u64,
    /// Number of routers among which the limit is divided.
    pub routers: usize,
}

impl FleetShare<'_> {
    /// Returns whether this router is among the first `count` ones for the upstream `key`, where a
    /// limit does not suffice for all. A router that knows less than half of the others can't tell.
    pub fn is_among_first(&self, now: Time, key: u32, count: usize) -> bool {
        let members = self.peers.members();
        let known = members.count(now) + 1;

        known * 2 >= self.peers.count(now) && members.rank(now, self.own_hash, key) < count
    }

    /// Returns this router's part of a limit, by its part of the requests for the service with hash
    /// `service`; `own_requests` are its own. The parts of all routers sum to no more than one.
    pub fn part(&self, now: Time, service: u32, own_requests: usize) -> f64 {
        // Each router counts as one request, so that one that has had none yet can begin.
        let own = own_requests as f64;
        let others = f64::from(self.peers.demand(now, service).requests);
        (own + 1.0) / (own + others + self.routers as f64)
    }

    /// Returns this router's place among all routers in the rendezvous order of the upstream `key`,
    /// from zero to one.
    pub fn phase(&self, now: Time, key: u32) -> f64 {
        let members = self.peers.members();
        members.rank(now, self.own_hash, key) as f64 / (members.count(now) + 1) as f64
    }
}
