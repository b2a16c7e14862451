//! Measures the calls of the at-most-once ledger to the platform's store.

use std::time::Duration;

use crate::fleet::FleetOptions;
use crate::history::{FinalAnswer, HistoryEvent};
use crate::measure::load::booking_client;
use crate::topology::Topology;

/// Length of the measured interval, which follows a warm-up.
const MEASURED_TIME: Duration = Duration::from_secs(60);

/// Bookings, load on the platform and latency over the measured interval.
#[derive(Clone, Copy, Debug)]
pub struct Measurement {
    /// Bookings answered per second.
    pub bookings_per_s: f64,
    /// Ledger operations per second. Without batching into shared transactions, each would be a
    /// separate call to the platform.
    pub operations_per_s: f64,
    /// Transactions sent to the platform per second.
    pub transactions_per_s: f64,
    /// Median time from submitting a booking to its complete answer, in milliseconds; zero when none
    /// was answered.
    pub median_ms: f64,
}

/// Runs a fleet in which each workspace keeps `in_flight` bookings in flight.
pub fn run(topology: &Topology, in_flight: usize, seed: u64) -> Measurement {
    let mut fleet = topology.start(FleetOptions { seed, ..FleetOptions::default() });
    for workspace in topology.workspace_names() {
        let mut client = booking_client(&mut fleet, topology, &workspace, in_flight);
        client.think_time = Duration::ZERO;
        fleet.add_client(client);
    }
    fleet.run_for(Duration::from_secs(20));
    let (from, operations_before, batches_before) =
        (fleet.now, fleet.platform.operations, fleet.platform.batches);
    fleet.run_for(MEASURED_TIME);

    let mut submitted_at = std::collections::BTreeMap::new();
    let mut latencies = Vec::new();
    for (time, event) in &fleet.history.entries {
        match event {
            HistoryEvent::Submitted { request, .. } => {
                submitted_at.insert(*request, *time);
            }
            HistoryEvent::Answered { request, answer: FinalAnswer::Complete { .. } }
                if *time >= from =>
            {
                latencies.extend(submitted_at.remove(request).map(|since| time.since(since)));
            }
            _ => {}
        }
    }
    latencies.sort_unstable();
    let seconds = MEASURED_TIME.as_secs_f64();
    Measurement {
        bookings_per_s: latencies.len() as f64 / seconds,
        operations_per_s: (fleet.platform.operations - operations_before) as f64 / seconds,
        transactions_per_s: (fleet.platform.batches - batches_before) as f64 / seconds,
        median_ms: latencies
            .get(latencies.len() / 2)
            .map_or(0.0, |latency| latency.as_secs_f64() * 1e3),
    }
}
