//! Measures the fairness gap and the utilisation while all workspaces are backlogged.

use std::time::Duration;

use sapphirespur_core::sidecar::SidecarPolicy;

use crate::engine::TOKENS_PER_STEP;
use crate::fleet::{Fleet, FleetOptions};
use crate::invariants::{fairness_gap, served_tokens};
use crate::measure::load::{ANSWER_TOKENS, add_backlog};
use crate::topology::Topology;

/// Time after which the upstreams are warm and the queues have settled.
pub const WARM_UP_TIME: Duration = Duration::from_secs(60);

/// Length of the measured interval, which follows the warm-up.
pub const MEASURED_TIME: Duration = Duration::from_secs(120);

/// Number of requests that each workspace keeps in flight, enough to keep it backlogged.
const IN_FLIGHT_PER_WORKSPACE: usize = 40;

/// How upstreams choose the next request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scheduling {
    /// Fairly over the whole fleet, as sidecars report the service that workspaces received.
    Fleet {
        /// Time between two reports of a sidecar.
        report_interval: Duration,
    },
    /// Fairly within each sidecar, which does not take account of the others.
    PerSidecar,
    /// First come, first served, regardless of the workspace.
    FirstComeFirstServed,
}

/// Fairness gaps, utilisation and control traffic over the measured interval.
#[derive(Clone, Copy, Debug)]
pub struct Measurement {
    /// Largest fairness gap over intervals from the start of the measurement, in largest requests of
    /// a workspace with share one.
    pub gap_since_start: f64,
    /// Largest fairness gap over any interval, in the same unit.
    pub gap_any_interval: f64,
    /// Fraction of the slots that was used while work waited.
    pub utilisation: f64,
    /// Mean bytes of control traffic that a node sends per second.
    pub control_bytes_per_node: f64,
}

/// Runs a fleet with all workspaces backlogged.
pub fn run(topology: &Topology, scheduling: Scheduling, seed: u64) -> Measurement {
    let report_interval = match scheduling {
        Scheduling::Fleet { report_interval } => report_interval,
        // Longer than any run, so that no report is sent.
        Scheduling::PerSidecar | Scheduling::FirstComeFirstServed => Duration::from_secs(1_000_000),
    };
    let options = FleetOptions::default();
    let sidecar = SidecarPolicy { report_interval, ..options.sidecar };
    let mut fleet = topology.start(FleetOptions { seed, sidecar, ..options });
    fleet.is_fifo = scheduling == Scheduling::FirstComeFirstServed;
    add_backlog(&mut fleet, topology, IN_FLIGHT_PER_WORKSPACE);
    fleet.run_for(WARM_UP_TIME);

    let from = fleet.now;
    let bytes_before = sent_control_bytes(&fleet);
    fleet.run_for(MEASURED_TIME);
    measurement(&fleet, topology, from, sent_control_bytes(&fleet) - bytes_before)
}

fn measurement(
    fleet: &Fleet,
    topology: &Topology,
    from: sapphirespur_core::time::Time,
    control_bytes: u64,
) -> Measurement {
    let shares: Vec<_> =
        topology.workspace_names().into_iter().zip(topology.shares.iter().copied()).collect();
    let gap = fairness_gap(&fleet.history, &shares, from, fleet.now);
    let largest_request = f64::from(ANSWER_TOKENS.1);
    let served = served_tokens(&fleet.history, from, fleet.now);
    let seconds = fleet.now.since(from).as_secs_f64();

    Measurement {
        gap_since_start: gap.since_start / largest_request,
        gap_any_interval: gap.any_interval / largest_request,
        utilisation: served as f64 / (max_token_rate(topology) * seconds),
        control_bytes_per_node: control_bytes as f64 / seconds / fleet.nodes.len() as f64,
    }
}

/// Returns the tokens per second that all model runners produce when every slot is always in use.
///
/// A request holds its slot for the time to its first step plus the time of each further step.
pub fn max_token_rate(topology: &Topology) -> f64 {
    let params = topology.runner;
    let mean_tokens = f64::from(ANSWER_TOKENS.0 + ANSWER_TOKENS.1) / 2.0;
    let mean_steps = mean_steps();
    let slot_seconds = params.first_token_latency.as_secs_f64()
        + (mean_steps - 1.0) * params.step_duration.as_secs_f64();

    f64::from(params.slots) * topology.runners as f64 * mean_tokens / slot_seconds
}

/// Returns the mean number of steps of an answer whose length is uniform over `ANSWER_TOKENS`.
fn mean_steps() -> f64 {
    let counts = ANSWER_TOKENS.0..=ANSWER_TOKENS.1;
    let total: u32 = counts.clone().map(|tokens| tokens.div_ceil(TOKENS_PER_STEP)).sum();

    f64::from(total) / counts.count() as f64
}

fn sent_control_bytes(fleet: &Fleet) -> u64 {
    fleet.links.traffic.values().map(|traffic| traffic.bytes).sum()
}
