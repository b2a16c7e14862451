//! Control traffic by kind, and its growth with the parts of a fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::fleet::FleetOptions;
use crate::links::Traffic;
use crate::measure::load::add_backlog;
use crate::topology::Topology;

/// Time that is measured.
const MEASURED_TIME: Duration = Duration::from_secs(30);

/// Traffic of one fleet.
#[derive(Clone, Debug)]
pub struct Measurement {
    /// Bytes sent by a node in a second, on average, by kind.
    pub bytes_per_s: BTreeMap<&'static str, f64>,
    /// Messages sent by a node in a second, on average, by kind.
    pub messages_per_s: BTreeMap<&'static str, f64>,
}

impl Measurement {
    /// Returns the bytes of all kinds.
    pub fn total_bytes_per_s(&self) -> f64 {
        self.bytes_per_s.values().sum()
    }
}

/// Runs a fleet, at rest or with each workspace keeping `under_way` requests.
pub fn run(topology: &Topology, under_way: usize, seed: u64) -> Measurement {
    let mut fleet = topology.start(FleetOptions { seed, ..FleetOptions::default() });
    if under_way > 0 {
        add_backlog(&mut fleet, topology, under_way);
    }
    fleet.run_for(Duration::from_secs(10));
    let before = fleet.links.traffic.clone();
    fleet.run_for(MEASURED_TIME);

    let rate = MEASURED_TIME.as_secs_f64() * fleet.nodes.len() as f64;
    let old = |kind: &str| before.get(kind).copied().unwrap_or_default();
    let per = |value: fn(&Traffic) -> u64| {
        let kinds = fleet.links.traffic.iter();
        kinds.map(|(kind, t)| (*kind, (value(t) - value(&old(kind))) as f64 / rate)).collect()
    };
    Measurement { bytes_per_s: per(|t| t.bytes), messages_per_s: per(|t| t.messages) }
}

/// Returns a fleet of another size.
pub fn topology_of_size(routers: usize, runners: usize, workspaces: usize) -> Topology {
    Topology { routers, runners, shares: vec![1; workspaces], ..Topology::agenzia() }
}
