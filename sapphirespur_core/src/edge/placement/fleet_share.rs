//! This router's share of a limit that holds for the whole fleet.

use std::cell::OnceCell;

use crate::edge::{Exchange, Peers, Shares};
use crate::name::Name;
use crate::time::Time;

/// Inputs of this router's share of a fleet-wide limit for one request. Few requests need it.
#[derive(Clone, Debug)]
pub(in crate::edge) struct FleetShare<'a> {
    /// Reports of the other routers.
    peers: &'a Peers,
    /// Hash of this router's name.
    own_hash: u64,
    /// Requests for the service at this router.
    own_requests: usize,
    /// Largest number of parts of the fleet that never met.
    parts: usize,
    /// Number of routers among which the limit is divided.
    routers: OnceCell<usize>,
}

impl<'a> FleetShare<'a> {
    /// Creates the share of the router with hash `own_hash`, which had `own_requests` for the service.
    pub fn new(exchange: &'a Exchange, own_hash: u64, own_requests: usize) -> Self {
        let (peers, parts) = (exchange.peers(), exchange.possible_parts());
        Self { peers, own_hash, own_requests, parts, routers: OnceCell::new() }
    }

    /// Returns what the routers that this one knows may spend of a limit together.
    pub fn for_known_routers(&self, limit: f64) -> f64 {
        limit / self.parts as f64
    }

    /// Returns the number of routers among which the limit is divided.
    pub fn routers(&self, now: Time) -> usize {
        *self.routers.get_or_init(|| Peers::assumed_fleet(self.peers.most_known(now)))
    }

    /// Returns whether this router is among the first `count` ones for the upstream `key`, where a
    /// limit does not suffice for all. A router that knows less than half of the others can't tell.
    pub fn is_among_first(&self, now: Time, key: u32, count: usize) -> bool {
        let members = self.peers.members();
        let known = members.count(now) + 1;

        known * 2 >= self.peers.count(now) && members.rank(now, self.own_hash, key) < count
    }

    /// Returns this router's part of a limit, by its part of the requests for a service. The parts of
    /// all routers sum to no more than one.
    pub fn part(&self, now: Time, service: &Name) -> f64 {
        // Each router counts as one request, so that one that has had none yet can begin.
        let own = self.own_requests as f64;
        let others = f64::from(self.peers.demand(now, Shares::name_hash(service)).requests);
        (own + 1.0) / (own + others + self.routers(now) as f64)
    }

    /// Returns this router's place among all routers in the rendezvous order of the upstream `key`,
    /// from zero to one.
    pub fn phase(&self, now: Time, key: u32) -> f64 {
        let members = self.peers.members();
        members.rank(now, self.own_hash, key) as f64 / (members.count(now) + 1) as f64
    }
}
