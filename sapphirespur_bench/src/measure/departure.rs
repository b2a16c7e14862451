//! Service while a data centre leaves and returns.

use std::collections::BTreeMap;
use std::time::Duration;

use sapphirespur_core::config::DataCentreState;
use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;

use crate::fleet::{Fleet, FleetOptions};
use crate::history::{FinalAnswer, HistoryEvent};
use crate::invariants::{no_interrupted_answers, served_tokens};
use crate::measure::fairness::max_token_rate;
use crate::measure::load::{Load, add_load};
use crate::topology::{CLASSES, Topology, data_centre_change};

/// Time of each of the three parts that are measured.
const PART: Duration = Duration::from_secs(60);

/// Time for which an upstream is cold after its data centre returned.
const COLD_START: Duration = Duration::from_secs(20);

/// Length of the spans whose rates are compared.
const SPAN: Duration = Duration::from_secs(5);

/// Part of the former rate at which the service counts as back.
const BACK: f64 = 0.95;

/// Way in which the data centre leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DepartureKind {
    /// Operators take it out and back in.
    Planned,
    /// All its processes stop without a word and start again.
    Unplanned,
}

/// Service of one class in one part.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassService {
    /// Answers a second.
    pub per_second: f64,
    /// 95th percentile of the time until an upstream ran the request, in milliseconds.
    pub wait_p95_ms: u64,
}

/// Figures of one run.
#[derive(Clone, Debug)]
pub struct Measurement {
    /// Service of each class before, during and after.
    pub classes: BTreeMap<&'static str, [ClassService; 3]>,
    /// Time from the departure to the last new work there.
    pub last_start: Duration,
    /// Requests that were cut or left open.
    pub lost_requests: usize,
    /// Part of what the remaining upstreams bear that was served meanwhile, while work waited.
    pub remaining_utilisation: f64,
    /// Time from the return until the service was back, when it was.
    pub recovery_time: Option<Duration>,
}

/// Runs a fleet while its last data centre leaves and returns.
pub fn run(topology: &Topology, load: Load, kind: DepartureKind, seed: u64) -> Measurement {
    let mut fleet = topology.start(FleetOptions { seed, ..FleetOptions::default() });
    add_load(&mut fleet, topology, load);
    fleet.run_for(Duration::from_secs(40));
    let leaving = *topology.data_centres.last().unwrap_or(&"none");
    let nodes = fleet.nodes_in(&Name::new(leaving));

    let starts = [fleet.now, fleet.now + PART, fleet.now + PART * 2];
    fleet.run_for(PART);
    leave(&mut fleet, kind, leaving, &nodes);
    fleet.run_for(PART);
    come_back(&mut fleet, kind, leaving, &nodes);
    fleet.run_for(PART);

    let last_start = last_start(&fleet, &nodes, starts[1], starts[2]);
    let remaining = nodes.iter().filter(|name| name.as_str().contains("-m")).count();
    let part = 1.0 - remaining as f64 / topology.runners as f64;
    let bearable = max_token_rate(topology) * part * (PART - SPAN).as_secs_f64();
    let served = served_tokens(&fleet.history, starts[1] + SPAN, starts[2]) as f64;
    Measurement {
        classes: classes(&fleet, starts),
        last_start,
        lost_requests: no_interrupted_answers(&fleet.history).len(),
        remaining_utilisation: served / bearable,
        recovery_time: recovery_time(&fleet, starts),
    }
}

fn leave(fleet: &mut Fleet, kind: DepartureKind, leaving: &str, nodes: &[Name]) {
    match kind {
        DepartureKind::Planned => {
            fleet.confirm(&[data_centre_change(leaving, DataCentreState::Out)]);
        }
        DepartureKind::Unplanned => nodes.iter().for_each(|name| fleet.kill(name)),
    }
}

fn come_back(fleet: &mut Fleet, kind: DepartureKind, leaving: &str, nodes: &[Name]) {
    let now = fleet.now;
    for name in nodes {
        if let Some(engine) = fleet.engines.get_mut(name) {
            engine.params.cold_duration = COLD_START;
            engine.reset_to_cold(now);
        }
    }

    match kind {
        DepartureKind::Planned => {
            fleet.confirm(&[data_centre_change(leaving, DataCentreState::In)]);
        }
        DepartureKind::Unplanned => nodes.iter().for_each(|name| fleet.restart(name)),
    }
}

fn last_start(fleet: &Fleet, nodes: &[Name], from: Time, to: Time) -> Duration {
    let times = fleet.history.entries.iter().filter_map(|(time, event)| match event {
        HistoryEvent::RunStarted { upstream, .. } if nodes.contains(upstream) => Some(*time),
        _ => None,
    });

    let last = times.filter(|time| *time >= from && *time < to).max();
    last.map_or(Duration::ZERO, |last| last.since(from))
}

/// Returns when the rate is back for good, in spans from the return.
fn recovery_time(fleet: &Fleet, starts: [Time; 3]) -> Option<Duration> {
    let rate = |from: Time| served_tokens(&fleet.history, from, from + SPAN) as f64;
    let before = served_tokens(&fleet.history, starts[0], starts[1]) as f64 / PART.as_secs_f64()
        * SPAN.as_secs_f64();
    let spans = (PART.as_secs() / SPAN.as_secs()) as u32;

    (0..spans).map(|n| SPAN * n).find(|after| rate(starts[2] + *after) >= before * BACK)
}

fn classes(fleet: &Fleet, starts: [Time; 3]) -> BTreeMap<&'static str, [ClassService; 3]> {
    CLASSES
        .iter()
        .map(|(name, _)| (*name, starts.map(|from| of_class(fleet, name, from))))
        .collect()
}

fn of_class(fleet: &Fleet, class: &str, from: Time) -> ClassService {
    let to = from + PART;
    let mut submitted: BTreeMap<u64, Time> = BTreeMap::new();
    let mut waits = Vec::new();
    let mut whole = 0_u32;
    for (time, event) in &fleet.history.entries {
        let is_within = *time >= from && *time < to;
        match event {
            HistoryEvent::Submitted { request, .. } => {
                submitted.insert(*request, *time);
            }
            HistoryEvent::RunStarted { request, .. }
                if is_within && is_of(fleet, *request, class) =>
            {
                waits.extend(submitted.remove(request).map(|since| time.since(since)));
            }
            HistoryEvent::Answered { request, answer: FinalAnswer::Complete { .. } }
                if is_within && is_of(fleet, *request, class) =>
            {
                whole += 1;
            }
            _ => {}
        }
    }

    waits.sort_unstable();
    let p95 = waits.get(waits.len().saturating_sub(1) * 95 / 100);
    ClassService {
        per_second: f64::from(whole) / PART.as_secs_f64(),
        wait_p95_ms: p95.map_or(0, |wait| wait.as_millis() as u64),
    }
}

fn is_of(fleet: &Fleet, request: u64, class: &str) -> bool {
    fleet.request_class(request).is_some_and(|name| name.as_str() == class)
}
