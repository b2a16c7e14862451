//! Fairness gap and utilisation under a backlog of all workspaces.

use std::time::Duration;

use sapphirespur_core::sidecar::SidecarPolicy;

use crate::engine::TOKENS_PER_STEP;
use crate::fleet::{Fleet, FleetOptions};
use crate::invariants::{fairness_gap, served_tokens};
use crate::measure::load::{ANSWER_TOKENS, add_backlog};
use crate::topology::Topology;

/// Time until the upstreams are warm and the queues have settled.
pub const WARM_UP_TIME: Duration = Duration::from_secs(60);

/// Time that is measured.
pub const MEASURED_TIME: Duration = Duration::from_secs(120);

/// Requests of each workspace under way at once, which keep it backlogged.
const IN_FLIGHT_PER_WORKSPACE: usize = 40;

/// Way in which the service is ordered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scheduling {
    /// Over the fleet, with reports of the sidecars.
    Fleet {
        /// Time between two reports.
        report_interval: Duration,
    },
    /// Each sidecar alone.
    PerSidecar,
    /// First come, first served, whoever asks.
    FirstComeFirstServed,
}

/// Figures of one run.
#[derive(Clone, Copy, Debug)]
pub struct Measurement {
    /// Greatest gap since the start, in largest requests of a workspace with share one.
    pub gap_since_start: f64,
    /// Greatest gap in any interval, in the same unit.
    pub gap_any_interval: f64,
    /// Part of the slots that was used while work waited.
    pub utilisation: f64,
    /// Control bytes a second at the busiest kind of node, on average.
    pub control_bytes_per_node: f64,
}

/// Runs a fleet with all workspaces backlogged.
pub fn run(topology: &Topology, scheduling: Scheduling, seed: u64) -> Measurement {
    let report_interval = match scheduling {
        Scheduling::Fleet { report_interval } => report_interval,
        Scheduling::PerSidecar | Scheduling::FirstComeFirstServed => Duration::from_secs(1_000_000),
    };
    let options = FleetOptions::default();
    let sidecar = SidecarPolicy { report_interval, ..options.sidecar };
    let mut fleet = topology.start(FleetOptions { seed, sidecar, ..options });
    fleet.is_fifo = scheduling == Scheduling::FirstComeFirstServed;
    add_backlog(&mut fleet, topology, IN_FLIGHT_PER_WORKSPACE);
    fleet.run_for(WARM_UP_TIME);

    let from = fleet.now;
    let bytes_before = control_bytes(&fleet);
    fleet.run_for(MEASURED_TIME);
    measurement(&fleet, topology, from, control_bytes(&fleet) - bytes_before)
}

fn measurement(
    fleet: &Fleet,
    topology: &Topology,
    from: sapphirespur_core::time::Time,
    bytes: u64,
) -> Measurement {
    let shares: Vec<_> =
        topology.workspace_names().into_iter().zip(topology.shares.iter().copied()).collect();
    let gap = fairness_gap(&fleet.history, &shares, from, fleet.now);
    let largest = f64::from(ANSWER_TOKENS.1);
    let served = served_tokens(&fleet.history, from, fleet.now);
    let seconds = fleet.now.since(from).as_secs_f64();

    Measurement {
        gap_since_start: gap.since_start / largest,
        gap_any_interval: gap.any_interval / largest,
        utilisation: served as f64 / (max_token_rate(topology) * seconds),
        control_bytes_per_node: bytes as f64 / seconds / fleet.nodes.len() as f64,
    }
}

/// Returns the tokens a second of all model runners when their slots are always used.
///
/// A request holds its slot for the time to its first step and one step for each further one.
pub fn max_token_rate(topology: &Topology) -> f64 {
    let shape = topology.runner;
    let mean_tokens = f64::from(ANSWER_TOKENS.0 + ANSWER_TOKENS.1) / 2.0;
    let mean_steps = mean_steps();
    let held = shape.first_token_latency.as_secs_f64()
        + (mean_steps - 1.0) * shape.step_duration.as_secs_f64();

    f64::from(shape.slots) * topology.runners as f64 * mean_tokens / held
}

fn mean_steps() -> f64 {
    let counts = ANSWER_TOKENS.0..=ANSWER_TOKENS.1;
    let total: u32 = counts.clone().map(|tokens| tokens.div_ceil(TOKENS_PER_STEP)).sum();

    f64::from(total) / counts.count() as f64
}

fn control_bytes(fleet: &Fleet) -> u64 {
    fleet.links.traffic.values().map(|traffic| traffic.bytes).sum()
}
