//! Measures control traffic by message kind, at different fleet sizes.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::fleet::FleetOptions;
use crate::links::Traffic;
use crate::measure::load::add_backlog;
use crate::topology::Topology;

/// Length of the measured interval, which follows a warm-up.
const MEASURED_TIME: Duration = Duration::from_secs(30);

/// Control traffic of one fleet, averaged over its nodes.
#[derive(Clone, Debug)]
pub struct Measurement {
    /// Mean bytes that a node sends per second, by message kind.
    pub bytes_per_s: BTreeMap<&'static str, f64>,
    /// Mean number of messages that a node sends per second, by message kind.
    pub messages_per_s: BTreeMap<&'static str, f64>,
}

impl Measurement {
    /// Returns the mean bytes that a node sends per second, over all message kinds.
    pub fn total_bytes_per_s(&self) -> f64 {
        self.bytes_per_s.values().sum()
    }
}

/// Runs a fleet in which each workspace keeps `in_flight` requests in flight; zero leaves it idle.
pub fn run(topology: &Topology, in_flight: usize, seed: u64) -> Measurement {
    let mut fleet = topology.start(FleetOptions { seed, ..FleetOptions::default() });
    if in_flight > 0 {
        add_backlog(&mut fleet, topology, in_flight);
    }
    fleet.run_for(Duration::from_secs(10));
    let before = fleet.links.traffic.clone();
    fleet.run_for(MEASURED_TIME);

    let node_seconds = MEASURED_TIME.as_secs_f64() * fleet.nodes.len() as f64;
    let earlier = |kind: &str| before.get(kind).copied().unwrap_or_default();
    let per_node_second = |value: fn(&Traffic) -> u64| {
        let traffic = fleet.links.traffic.iter();
        traffic
            .map(|(kind, t)| (*kind, (value(t) - value(&earlier(kind))) as f64 / node_seconds))
            .collect()
    };
    Measurement {
        bytes_per_s: per_node_second(|t| t.bytes),
        messages_per_s: per_node_second(|t| t.messages),
    }
}

/// Returns the Agenzia's topology with other numbers of routers per data centre, model runners and
/// workspaces; each workspace has share one.
pub fn topology_of_size(routers: usize, runners: usize, workspaces: usize) -> Topology {
    Topology { routers, runners, shares: vec![1; workspaces], ..Topology::agenzia() }
}
