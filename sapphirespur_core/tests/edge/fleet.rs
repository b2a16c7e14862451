//! Fleet of routers that exchange messages in simulated time.

use std::net::SocketAddr;
use std::time::Duration;

use sapphirespur_core::collections::HashSet;
use sapphirespur_core::edge::{OutgoingMessage, Router, RouterSettings};
use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;

use crate::support::{START, entry, ms, settings, table};

/// Step of the simulated time, and the delay of a message.
pub const STEP: Duration = Duration::from_millis(10);

/// Time in which a fleet that has just started knows all its routers and their work.
pub const SETTLED: Duration = Duration::from_secs(6);

/// Router with its address.
pub struct Node {
    pub router: Router,
    pub address: SocketAddr,
    pub data_centre: usize,
    due: Time,
    pub is_alive: bool,
}

/// Fleet of routers that exchange messages with a delay of one step.
pub struct Fleet {
    pub nodes: Vec<Node>,
    pub now: Time,
    in_transit: Vec<(SocketAddr, OutgoingMessage)>,
    /// Pairs of data centres that do not reach each other.
    pub cut: HashSet<(usize, usize)>,
    pub messages: u64,
    upstreams: u16,
}

/// Returns the address of a node.
pub fn node_address(index: usize) -> SocketAddr {
    ([10, 0, (index / 200) as u8, (index % 200) as u8 + 1], 7_400).into()
}

impl Fleet {
    /// Starts `count` routers in `data_centres`, each with the same three seeds and four upstreams.
    pub fn start(count: usize, data_centres: usize) -> Self {
        Self::start_with_upstreams(count, data_centres, 4)
    }

    /// Starts a fleet before `upstreams` warm upstreams, named `u0` and up.
    pub fn start_with_upstreams(count: usize, data_centres: usize, upstreams: u16) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            now: START,
            in_transit: Vec::new(),
            cut: HashSet::default(),
            messages: 0,
            upstreams,
        };
        fleet.nodes = (0..count).map(|index| fleet.node(index, data_centres, 1)).collect();
        fleet
    }

    /// Returns a router that starts now.
    pub fn node(&self, index: usize, data_centres: usize, started_ms: u64) -> Node {
        let now = self.now;
        let data_centre = index % data_centres;
        let mut router = Router::new(RouterSettings {
            data_centre: Name::new(&format!("dc{data_centre}")),
            started_ms,
            ..settings(&format!("r{index}"))
        });
        assert!(router.registry_mut().apply_table(table(1, 100_000)));
        for upstream in 0..self.upstreams {
            router
                .registry_mut()
                .apply_upstream(now, entry(&format!("u{upstream}"), 8_000 + upstream));
        }
        let seeds: Vec<SocketAddr> = (0..3).map(node_address).collect();
        let address = node_address(index);
        router.start_exchange(address, &seeds);
        let due = now + ms(index as u64 * 7 % 150);
        Node { router, address, data_centre, due, is_alive: true }
    }

    /// Runs for `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Delivers the messages in transit and sends those that are due.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        for (from, outgoing) in std::mem::take(&mut self.in_transit) {
            self.deliver(from, outgoing);
        }
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            if !node.is_alive || node.due > self.now {
                continue;
            }
            let messages = node.router.exchange_messages(self.now);
            node.due = self.now + node.router.exchange().interval();
            let from = node.address;
            self.in_transit.extend(messages.into_iter().map(|message| (from, message)));
        }
    }

    fn deliver(&mut self, from: SocketAddr, outgoing: OutgoingMessage) {
        let find = |address| self.nodes.iter().position(|node| node.address == address);
        let (Some(sender), Some(receiver)) = (find(from), find(outgoing.to)) else { return };
        let pair = (self.nodes[sender].data_centre, self.nodes[receiver].data_centre);
        if !self.nodes[receiver].is_alive || self.cut.contains(&pair) {
            return;
        }

        self.messages += 1;
        let node = &mut self.nodes[receiver];
        let answer = node.router.on_peer_message(self.now, from, outgoing.message);
        let address = node.address;
        self.in_transit.extend(answer.map(|answer| (address, answer)));
    }
}
