//! What the tests of the fleet share.

#![allow(dead_code, missing_docs)]

use std::time::Duration;

use sapphirespur_bench::fleet::{Fleet, FleetOptions};
use sapphirespur_bench::history::{FinalAnswer, HistoryEvent};
use sapphirespur_bench::invariants::{Violation, safety};
use sapphirespur_bench::measure::load::{booking_client, model_client};
use sapphirespur_bench::topology::Topology;
use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;

/// Step in which time goes on while a test waits for a state.
const STEP: Duration = Duration::from_micros(200);

/// Runs until `is_reached`, at most for `limit`, and tells whether it was.
pub fn run_until(
    fleet: &mut Fleet,
    limit: Duration,
    mut is_reached: impl FnMut(&Fleet) -> bool,
) -> bool {
    let end = fleet.now + limit;
    while fleet.now < end {
        if is_reached(fleet) {
            return true;
        }
        fleet.run_for(STEP);
    }

    is_reached(fleet)
}

/// Returns a small fleet without clients.
pub fn small_fleet(seed: u64) -> (Topology, Fleet) {
    let topology = Topology::small();
    let fleet = topology.start(FleetOptions { seed, ..FleetOptions::default() });

    (topology, fleet)
}

/// Adds clients of both workspaces that call the model and book, and stops them after `span`.
pub fn add_mixed_clients(fleet: &mut Fleet, topology: &Topology, span: Duration) {
    let until = fleet.now + span;
    for (index, workspace) in topology.workspace_names().iter().enumerate() {
        let mut model = model_client(fleet, topology, workspace, index, 4);
        model.until = until;
        model.token_range = (8, 80);
        fleet.add_client(model);
        let mut booking = booking_client(fleet, topology, workspace, 2);
        booking.until = until;
        fleet.add_client(booking);
    }
}

/// Fails the test when the history breaks what must always hold.
pub fn assert_always(fleet: &Fleet, what: &str) {
    assert_none(&safety(&fleet.history), what);
}

/// Fails the test when there are violations.
pub fn assert_none(violations: &[Violation], what: &str) {
    let first: Vec<_> = violations.iter().take(5).collect();
    assert!(violations.is_empty(), "{what}: {} violations, first {first:?}", violations.len());
}

/// Returns how many requests ended whole after `from`.
pub fn whole_after(fleet: &Fleet, from: Time) -> usize {
    let entries = fleet.history.entries.iter().filter(|(time, _)| *time >= from);

    entries
        .filter(|(_, event)| {
            matches!(event, HistoryEvent::Answered { answer: FinalAnswer::Complete { .. }, .. })
        })
        .count()
}

/// Returns the last request that was sent.
pub fn last_request(fleet: &Fleet) -> Option<u64> {
    fleet.history.entries.iter().rev().find_map(|(_, event)| match event {
        HistoryEvent::Submitted { request, .. } => Some(*request),
        _ => None,
    })
}

/// Tells whether an upstream has begun to run a request.
pub fn has_run(fleet: &Fleet, request: u64) -> bool {
    fleet
        .history
        .entries
        .iter()
        .any(|(_, event)| matches!(event, HistoryEvent::RunStarted { request: other, .. } if *other == request))
}

/// Tells whether a request has its final answer.
pub fn has_ended(fleet: &Fleet, request: u64) -> bool {
    fleet
        .history
        .entries
        .iter()
        .any(|(_, event)| matches!(event, HistoryEvent::Answered { request: other, .. } if *other == request))
}

/// Returns the upstream that runs a request.
pub fn runner_of(fleet: &Fleet, request: u64) -> Option<Name> {
    fleet.history.entries.iter().find_map(|(_, event)| match event {
        HistoryEvent::RunStarted { request: other, upstream, .. } if *other == request => {
            Some(upstream.clone())
        }
        _ => None,
    })
}
