//! Helpers shared by the tests of the simulated fleet.

#![allow(dead_code, missing_docs)]

use std::time::Duration;

use sapphirespur_bench::fleet::{Fleet, FleetOptions};
use sapphirespur_bench::history::{FinalAnswer, HistoryEvent};
use sapphirespur_bench::invariants::{Violation, safety};
use sapphirespur_bench::measure::load::{booking_client, model_client};
use sapphirespur_bench::topology::Topology;
use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;

/// Simulated time between two checks while a test waits for a condition.
const POLL_INTERVAL: Duration = Duration::from_micros(200);

/// Runs until `is_reached` holds, for `limit` at most; returns whether it holds.
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
        fleet.run_for(POLL_INTERVAL);
    }

    is_reached(fleet)
}

/// Returns a small started fleet without clients.
pub fn small_fleet(seed: u64) -> (Topology, Fleet) {
    let topology = Topology::small();
    let fleet = topology.start(FleetOptions { seed, ..FleetOptions::default() });

    (topology, fleet)
}

/// Adds clients of all workspaces that call the model and make bookings, for `duration`.
pub fn add_mixed_clients(fleet: &mut Fleet, topology: &Topology, duration: Duration) {
    let until = fleet.now + duration;
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

/// Panics if the history violates a safety invariant.
pub fn assert_safety(fleet: &Fleet, context: &str) {
    assert_no_violations(&safety(&fleet.history), context);
}

/// Panics if there are violations.
pub fn assert_no_violations(violations: &[Violation], context: &str) {
    let first: Vec<_> = violations.iter().take(5).collect();
    assert!(violations.is_empty(), "{context}: {} violations, first {first:?}", violations.len());
}

/// Returns the number of complete answers since `from`.
pub fn complete_answers_after(fleet: &Fleet, from: Time) -> usize {
    let entries = fleet.history.entries.iter().filter(|(time, _)| *time >= from);

    entries
        .filter(|(_, event)| {
            matches!(event, HistoryEvent::Answered { answer: FinalAnswer::Complete { .. }, .. })
        })
        .count()
}

/// Returns the last request that was sent, or `None` if there is none.
pub fn last_request(fleet: &Fleet) -> Option<u64> {
    fleet.history.entries.iter().rev().find_map(|(_, event)| match event {
        HistoryEvent::Submitted { request, .. } => Some(*request),
        _ => None,
    })
}

/// Returns whether an upstream has started to run a request.
pub fn has_run(fleet: &Fleet, request: u64) -> bool {
    fleet
        .history
        .entries
        .iter()
        .any(|(_, event)| {
            matches!(event, HistoryEvent::RunStarted { request: other, .. } if *other == request)
        })
}

/// Returns whether a request has a final answer.
pub fn has_answer(fleet: &Fleet, request: u64) -> bool {
    fleet
        .history
        .entries
        .iter()
        .any(|(_, event)| {
            matches!(event, HistoryEvent::Answered { request: other, .. } if *other == request)
        })
}

/// Returns the upstream that ran a request first, or `None` if it has not run.
pub fn find_upstream(fleet: &Fleet, request: u64) -> Option<Name> {
    fleet.history.entries.iter().find_map(|(_, event)| match event {
        HistoryEvent::RunStarted { request: other, upstream, .. } if *other == request => {
            Some(upstream.clone())
        }
        _ => None,
    })
}
