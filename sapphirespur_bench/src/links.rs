//! State and traffic of the control links between nodes.

use std::collections::{BTreeMap, BTreeSet};

use sapphirespur_core::message::Message;
use sapphirespur_core::name::Name;

/// Unordered pair of nodes.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct NodePair(Name, Name);

impl NodePair {
    /// Creates the pair of two nodes, in either order.
    pub fn new(a: &Name, b: &Name) -> Self {
        if a <= b { Self(a.clone(), b.clone()) } else { Self(b.clone(), a.clone()) }
    }

    /// Returns whether `name` is one of the two nodes.
    pub fn contains(&self, name: &Name) -> bool {
        self.0 == *name || self.1 == *name
    }

    /// Returns the node of the pair that is not `name`.
    pub fn other(&self, name: &Name) -> Name {
        if self.0 == *name { self.1.clone() } else { self.0.clone() }
    }
}

/// Control links, their faults and the traffic that nodes sent on them.
#[derive(Clone, Debug, Default)]
pub struct Links {
    /// Epoch of each link that is up; a link that is opened again gets a new one.
    pub up: BTreeMap<NodePair, u64>,
    /// Links that nodes want to keep open, from the node that dials to its peer.
    pub wanted: BTreeSet<(Name, Name)>,
    /// Epochs of links that drop all messages while both ends consider them up.
    pub blackholed: BTreeSet<u64>,
    /// Pairs of nodes between which a network partition drops everything.
    pub partitioned: BTreeSet<NodePair>,
    /// Highest epoch that a link has had.
    pub last_epoch: u64,
    /// Probability that a message is lost, in per mille.
    pub loss_per_mille: u32,
    /// Probability that a message is delivered twice, in per mille.
    pub duplication_per_mille: u32,
    /// Messages that nodes sent so far, by kind, including lost ones.
    pub traffic: BTreeMap<&'static str, Traffic>,
}

/// Messages and bytes of one kind of message.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Number of messages.
    pub messages: u64,
    /// Total size of the messages on a link, with the RPC overhead, in bytes.
    pub bytes: u64,
}

impl Links {
    /// Returns whether no network partition separates the two nodes.
    pub fn is_reachable(&self, a: &Name, b: &Name) -> bool {
        !self.partitioned.contains(&NodePair::new(a, b))
    }

    /// Adds a message that a node sends to the traffic.
    pub fn record_traffic(&mut self, message: &Message) {
        let traffic = self.traffic.entry(message.kind()).or_default();
        traffic.messages += 1;
        traffic.bytes += encoded_bytes(message);
    }
}

/// RPC overhead of a message: call, return and finish, without TCP and IP.
const RPC_OVERHEAD_BYTES: u64 = 200;

/// Returns the size of a message on a link, in bytes.
pub fn encoded_bytes(message: &Message) -> u64 {
    let mut builder = capnp::message::Builder::new_default();
    sapphirespur_wire::encode_message(message, builder.init_root());

    capnp::serialize::compute_serialized_size_in_words(&builder) as u64 * 8 + RPC_OVERHEAD_BYTES
}
