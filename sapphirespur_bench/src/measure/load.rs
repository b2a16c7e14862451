//! Client loads that the measurements and tests run.

use std::time::Duration;

use sapphirespur_core::config::Target;
use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;

use crate::client::{CallKind, Client};
use crate::fleet::{Fleet, START};
use crate::topology::{CLASSES, MODEL, SERVICE, Topology};

/// Smallest and largest number of tokens in an answer.
pub const ANSWER_TOKENS: (u32, u32) = (40, 400);

/// Time after the end of every run; a client with this limit never stops.
pub const NEVER: Time = Time::from_micros(START.as_micros() * 2);

/// Total load of all workspaces.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Load {
    /// Each workspace is always backlogged.
    Backlogged,
    /// The requests in flight use only a fraction of the slots.
    Partial {
        /// Fraction of all slots in use, in per cent.
        percent: usize,
    },
}

/// Returns a closed-loop client of the model for a workspace. It keeps `in_flight` requests in
/// flight and spreads them unevenly over the routers; `class` is an index into `CLASSES`, modulo
/// their number.
pub fn model_client(
    fleet: &mut Fleet,
    topology: &Topology,
    workspace: &Name,
    class: usize,
    in_flight: usize,
) -> Client {
    Client {
        workspace: workspace.clone(),
        class: Name::new(CLASSES[class % CLASSES.len()].0),
        target: Target::Model(Name::new(MODEL)),
        kind: CallKind::Idempotent,
        concurrency: in_flight,
        token_range: ANSWER_TOKENS,
        cost_hint_percent: 100,
        router_weights: uneven_router_weights(fleet, topology),
        think_time: Duration::ZERO,
        until: NEVER,
        retries: 0,
    }
}

/// Returns a client of the service whose calls must run at most once.
pub fn booking_client(
    fleet: &mut Fleet,
    topology: &Topology,
    workspace: &Name,
    in_flight: usize,
) -> Client {
    Client {
        target: Target::Service(Name::new(SERVICE)),
        kind: CallKind::Keyed,
        token_range: (1, 8),
        think_time: Duration::from_millis(20),
        retries: 3,
        ..model_client(fleet, topology, workspace, 3, in_flight)
    }
}

/// Adds a client of the model for each workspace, which keeps `in_flight` requests in flight.
pub fn add_backlog(fleet: &mut Fleet, topology: &Topology, in_flight: usize) {
    for (index, workspace) in topology.workspace_names().iter().enumerate() {
        let client = model_client(fleet, topology, workspace, index, in_flight);
        fleet.add_client(client);
    }
}

/// Adds the clients of a load; `Partial` gives each workspace requests in proportion to its share,
/// and at least one.
pub fn add_load(fleet: &mut Fleet, topology: &Topology, load: Load) {
    match load {
        Load::Backlogged => add_backlog(fleet, topology, 40),
        Load::Partial { percent } => {
            let slots = topology.runner.slots as usize * topology.runners;
            let names = topology.workspace_names();
            let total: u32 = topology.shares.iter().sum();
            for (index, (workspace, share)) in names.iter().zip(&topology.shares).enumerate() {
                let in_flight = slots * percent * *share as usize / 100 / total as usize;
                let client = model_client(fleet, topology, workspace, index, in_flight.max(1));
                fleet.add_client(client);
            }
        }
    }
}

/// Returns router weights that send most of a client's requests to one or two routers.
fn uneven_router_weights(fleet: &mut Fleet, topology: &Topology) -> Vec<u32> {
    let routers = topology.router_names().len();
    let mut weights = vec![1; routers];
    for _ in 0..2 {
        let preferred = fleet.rng.below(routers as u64) as usize;
        weights[preferred] += 20;
    }

    weights
}
