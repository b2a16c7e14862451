//! Calls of the once-ledger to the platform.

use std::time::Duration;

use crate::fleet::FleetOptions;
use crate::history::{FinalAnswer, HistoryEvent};
use crate::measure::load::booking_client;
use crate::topology::Topology;

/// Time that is measured.
const MEASURED_TIME: Duration = Duration::from_secs(60);

/// Figures of one run.
#[derive(Clone, Copy, Debug)]
pub struct Measurement {
    /// Bookings answered a second.
    pub bookings_per_s: f64,
    /// Operations on the ledger a second; each would be a call without shared transactions.
    pub operations_per_s: f64,
    /// Transactions sent to the platform a second.
    pub transactions_per_s: f64,
    /// Median time from sending a booking to its answer, in milliseconds.
    pub median_ms: f64,
}

/// Runs a fleet whose workspaces each keep `under_way` bookings.
pub fn run(topology: &Topology, under_way: usize, seed: u64) -> Measurement {
    let mut fleet = topology.start(FleetOptions { seed, ..FleetOptions::default() });
    for workspace in topology.workspace_names() {
        let mut client = booking_client(&mut fleet, topology, &workspace, under_way);
        client.think_time = Duration::ZERO;
        fleet.add_client(client);
    }
    fleet.run_for(Duration::from_secs(20));
    let (from, operations, batches) =
        (fleet.now, fleet.platform.operations, fleet.platform.batches);
    fleet.run_for(MEASURED_TIME);

    let mut sent = std::collections::BTreeMap::new();
    let mut spans = Vec::new();
    for (time, event) in &fleet.history.entries {
        match event {
            HistoryEvent::Submitted { request, .. } => {
                sent.insert(*request, *time);
            }
            HistoryEvent::Answered { request, answer: FinalAnswer::Complete { .. } }
                if *time >= from =>
            {
                spans.extend(sent.remove(request).map(|since| time.since(since)));
            }
            _ => {}
        }
    }
    spans.sort_unstable();
    let seconds = MEASURED_TIME.as_secs_f64();
    Measurement {
        bookings_per_s: spans.len() as f64 / seconds,
        operations_per_s: (fleet.platform.operations - operations) as f64 / seconds,
        transactions_per_s: (fleet.platform.batches - batches) as f64 / seconds,
        median_ms: spans.get(spans.len() / 2).map_or(0.0, |span| span.as_secs_f64() * 1e3),
    }
}
