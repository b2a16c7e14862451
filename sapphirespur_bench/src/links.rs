//! Control links between the nodes.

use std::collections::{BTreeMap, BTreeSet};

use sapphirespur_core::message::Message;
use sapphirespur_core::name::Name;

/// Pair of nodes, in order of their names.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct NodePair(Name, Name);

impl NodePair {
    /// Creates a pair.
    pub fn new(a: &Name, b: &Name) -> Self {
        if a <= b { Self(a.clone(), b.clone()) } else { Self(b.clone(), a.clone()) }
    }

    /// Tells whether `name` is one of the two.
    pub fn contains(&self, name: &Name) -> bool {
        self.0 == *name || self.1 == *name
    }

    /// Returns the other one.
    pub fn other(&self, name: &Name) -> Name {
        if self.0 == *name { self.1.clone() } else { self.0.clone() }
    }
}

/// Links, cuts and the traffic that they carried.
#[derive(Clone, Debug, Default)]
pub struct Links {
    /// Epoch of each link that is up.
    pub up: BTreeMap<NodePair, u64>,
    /// Links that nodes want to open.
    pub wanted: BTreeSet<(Name, Name)>,
    /// Epochs that carry nothing though they look up.
    pub blackholed: BTreeSet<u64>,
    /// Pairs between which nothing passes.
    pub partitioned: BTreeSet<NodePair>,
    /// Last epoch.
    pub last_epoch: u64,
    /// Messages lost, per mille.
    pub loss_per_mille: u32,
    /// Messages repeated, per mille.
    pub duplication_per_mille: u32,
    /// Traffic by kind of message.
    pub traffic: BTreeMap<&'static str, Traffic>,
}

/// Messages and bytes of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Messages.
    pub messages: u64,
    /// Bytes, as encoded on a link.
    pub bytes: u64,
}

impl Links {
    /// Tells whether something that leaves now arrives.
    pub fn is_reachable(&self, a: &Name, b: &Name) -> bool {
        !self.partitioned.contains(&NodePair::new(a, b))
    }

    /// Counts a message.
    pub fn record_traffic(&mut self, message: &Message) {
        let traffic = self.traffic.entry(message.kind()).or_default();
        traffic.messages += 1;
        traffic.bytes += encoded_bytes(message);
    }
}

/// Bytes around a message on a link: call, answer and finish of the RPC, without TCP and IP.
const RPC_OVERHEAD_BYTES: u64 = 200;

/// Returns the bytes of a message on a link.
pub fn encoded_bytes(message: &Message) -> u64 {
    let mut builder = capnp::message::Builder::new_default();
    sapphirespur_wire::encode_message(message, builder.init_root());

    capnp::serialize::compute_serialized_size_in_words(&builder) as u64 * 8 + RPC_OVERHEAD_BYTES
}
