//! Loads of the measures.

use std::time::Duration;

use sapphirespur_core::config::Target;
use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;

use crate::client::{CallKind, Client};
use crate::fleet::{Fleet, START};
use crate::topology::{CLASSES, MODEL, SERVICE, Topology};

/// Fewest and most tokens of an answer.
pub const ANSWER_TOKENS: (u32, u32) = (40, 400);

/// Time far after every run.
pub const NEVER: Time = Time::from_micros(START.as_micros() * 2);

/// Load of all workspaces together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Load {
    /// Each workspace is backlogged all the time.
    Backlogged,
    /// Requests under way use a part of the slots.
    Partial {
        /// Part of the slots, in per cent.
        percent: usize,
    },
}

/// Returns a client of the model for a workspace, spread unevenly over the routers.
pub fn model_client(
    fleet: &mut Fleet,
    topology: &Topology,
    workspace: &Name,
    class: usize,
    under_way: usize,
) -> Client {
    Client {
        workspace: workspace.clone(),
        class: Name::new(CLASSES[class % CLASSES.len()].0),
        target: Target::Model(Name::new(MODEL)),
        kind: CallKind::Idempotent,
        concurrency: under_way,
        token_range: ANSWER_TOKENS,
        cost_hint_percent: 100,
        router_weights: uneven_spread(fleet, topology),
        think_time: Duration::ZERO,
        until: NEVER,
        retries: 0,
    }
}

/// Returns a client of the service whose calls must not repeat.
pub fn booking_client(
    fleet: &mut Fleet,
    topology: &Topology,
    workspace: &Name,
    under_way: usize,
) -> Client {
    Client {
        target: Target::Service(Name::new(SERVICE)),
        kind: CallKind::Keyed,
        token_range: (1, 8),
        think_time: Duration::from_millis(20),
        retries: 3,
        ..model_client(fleet, topology, workspace, 3, under_way)
    }
}

/// Adds a client for each workspace that keeps it backlogged.
pub fn add_backlog(fleet: &mut Fleet, topology: &Topology, under_way: usize) {
    for (index, workspace) in topology.workspace_names().iter().enumerate() {
        let client = model_client(fleet, topology, workspace, index, under_way);
        fleet.add_client(client);
    }
}

/// Adds clients for a load.
pub fn add_load(fleet: &mut Fleet, topology: &Topology, load: Load) {
    match load {
        Load::Backlogged => add_backlog(fleet, topology, 40),
        Load::Partial { percent } => {
            let slots = topology.runner.slots as usize * topology.runners;
            let names = topology.workspace_names();
            let total: u32 = topology.shares.iter().sum();
            for (index, (workspace, share)) in names.iter().zip(&topology.shares).enumerate() {
                let under_way = slots * percent * *share as usize / 100 / total as usize;
                let client = model_client(fleet, topology, workspace, index, under_way.max(1));
                fleet.add_client(client);
            }
        }
    }
}

/// Returns weights that send most of a workspace's requests to one or two routers.
fn uneven_spread(fleet: &mut Fleet, topology: &Topology) -> Vec<u32> {
    let routers = topology.router_names().len();
    let mut spread = vec![1; routers];
    for _ in 0..2 {
        let favourite = fleet.rng.below(routers as u64) as usize;
        spread[favourite] += 20;
    }

    spread
}
