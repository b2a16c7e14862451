//! Measures the service before, during and after the absence of a data centre.

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

/// Length of each of the three phases: before, during and after the absence.
const PHASE_DURATION: Duration = Duration::from_secs(60);

/// Time for which an upstream is cold after its data centre has returned.
const COLD_START: Duration = Duration::from_secs(20);

/// Length of the windows over which token rates are compared.
const RATE_WINDOW: Duration = Duration::from_secs(5);

/// Fraction of the rate before the departure at which the service counts as recovered.
const RECOVERED_FRACTION: f64 = 0.95;

/// How the data centre leaves and returns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DepartureKind {
    /// Operators set its state to out and later back to in.
    Planned,
    /// All its processes are killed without notice and later restarted.
    Unplanned,
}

/// Service of one request class in one phase.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassService {
    /// Complete answers per second.
    pub answers_per_s: f64,
    /// 95th percentile of the time from submission until an upstream started the request, in
    /// milliseconds; zero when none started.
    pub wait_p95_ms: u64,
}

/// Service before, during and after the absence of a data centre, with the requests that were lost
/// and the time to recover.
#[derive(Clone, Debug)]
pub struct Measurement {
    /// Service of each class before, during and after the absence.
    pub classes: BTreeMap<&'static str, [ClassService; 3]>,
    /// Time from the departure to the last request that started at the absent data centre; zero if
    /// none did.
    pub last_start: Duration,
    /// Number of final answers that were interrupted or left it unknown whether the request ran.
    pub lost_requests: usize,
    /// Fraction of the remaining upstreams' token capacity that was used during the absence, without
    /// its first rate window. It measures utilisation only under a load that keeps work waiting.
    pub remaining_utilisation: f64,
    /// Time from the return to the first window in which the service has recovered; `None` when it
    /// did not within the phase.
    pub recovery_time: Option<Duration>,
}

/// Runs a fleet while its last data centre leaves and returns, after a warm-up of 40 seconds.
pub fn run(topology: &Topology, load: Load, kind: DepartureKind, seed: u64) -> Measurement {
    let mut fleet = topology.start(FleetOptions { seed, ..FleetOptions::default() });
    add_load(&mut fleet, topology, load);
    fleet.run_for(Duration::from_secs(40));
    let data_centre = *topology.data_centres.last().unwrap_or(&"none");
    let nodes = fleet.nodes_in(&Name::new(data_centre));

    let starts = [fleet.now, fleet.now + PHASE_DURATION, fleet.now + PHASE_DURATION * 2];
    fleet.run_for(PHASE_DURATION);
    remove_data_centre(&mut fleet, kind, data_centre, &nodes);
    fleet.run_for(PHASE_DURATION);
    restore_data_centre(&mut fleet, kind, data_centre, &nodes);
    fleet.run_for(PHASE_DURATION);

    let last_start = last_start(&fleet, &nodes, starts[1], starts[2]);
    // Only the names of model runners contain "-m".
    let absent_runners = nodes.iter().filter(|name| name.as_str().contains("-m")).count();
    let remaining_fraction = 1.0 - absent_runners as f64 / topology.runners as f64;
    let capacity = max_token_rate(topology)
        * remaining_fraction
        * (PHASE_DURATION - RATE_WINDOW).as_secs_f64();
    let served = served_tokens(&fleet.history, starts[1] + RATE_WINDOW, starts[2]) as f64;
    Measurement {
        classes: service_by_class(&fleet, starts),
        last_start,
        lost_requests: no_interrupted_answers(&fleet.history).len(),
        remaining_utilisation: served / capacity,
        recovery_time: recovery_time(&fleet, starts),
    }
}

/// Takes the data centre out of service, or kills its processes.
fn remove_data_centre(fleet: &mut Fleet, kind: DepartureKind, data_centre: &str, nodes: &[Name]) {
    match kind {
        DepartureKind::Planned => {
            fleet.confirm(&[data_centre_change(data_centre, DataCentreState::Out)]);
        }
        DepartureKind::Unplanned => nodes.iter().for_each(|name| fleet.kill(name)),
    }
}

/// Makes the data centre's upstreams cold, and takes the data centre back into service or restarts
/// its processes.
fn restore_data_centre(fleet: &mut Fleet, kind: DepartureKind, data_centre: &str, nodes: &[Name]) {
    let now = fleet.now;
    for name in nodes {
        if let Some(engine) = fleet.engines.get_mut(name) {
            engine.params.cold_duration = COLD_START;
            engine.reset_to_cold(now);
        }
    }

    match kind {
        DepartureKind::Planned => {
            fleet.confirm(&[data_centre_change(data_centre, DataCentreState::In)]);
        }
        DepartureKind::Unplanned => nodes.iter().for_each(|name| fleet.restart(name)),
    }
}

/// Returns the time from `from` to the last start of a request on `nodes` before `to`; zero when
/// there is none.
fn last_start(fleet: &Fleet, nodes: &[Name], from: Time, to: Time) -> Duration {
    let times = fleet.history.entries.iter().filter_map(|(time, event)| match event {
        HistoryEvent::RunStarted { upstream, .. } if nodes.contains(upstream) => Some(*time),
        _ => None,
    });

    let last = times.filter(|time| *time >= from && *time < to).max();
    last.map_or(Duration::ZERO, |last| last.since(from))
}

/// Returns the time from the return to the first rate window whose rate is at least
/// `RECOVERED_FRACTION` of the mean rate before the departure.
fn recovery_time(fleet: &Fleet, starts: [Time; 3]) -> Option<Duration> {
    let rate = |from: Time| served_tokens(&fleet.history, from, from + RATE_WINDOW) as f64;
    let before = served_tokens(&fleet.history, starts[0], starts[1]) as f64
        / PHASE_DURATION.as_secs_f64()
        * RATE_WINDOW.as_secs_f64();
    let windows = (PHASE_DURATION.as_secs() / RATE_WINDOW.as_secs()) as u32;

    (0..windows)
        .map(|n| RATE_WINDOW * n)
        .find(|after| rate(starts[2] + *after) >= before * RECOVERED_FRACTION)
}

fn service_by_class(fleet: &Fleet, starts: [Time; 3]) -> BTreeMap<&'static str, [ClassService; 3]> {
    CLASSES
        .iter()
        .map(|(name, _)| (*name, starts.map(|from| class_service(fleet, name, from))))
        .collect()
}

/// Returns the service of one class in the phase that starts at `from`.
fn class_service(fleet: &Fleet, class: &str, from: Time) -> ClassService {
    let to = from + PHASE_DURATION;
    let mut submitted_at: BTreeMap<u64, Time> = BTreeMap::new();
    let mut wait_times = Vec::new();
    let mut completed = 0_u32;
    for (time, event) in &fleet.history.entries {
        let is_in_phase = *time >= from && *time < to;
        match event {
            HistoryEvent::Submitted { request, .. } => {
                submitted_at.insert(*request, *time);
            }
            HistoryEvent::RunStarted { request, .. }
                if is_in_phase && has_class(fleet, *request, class) =>
            {
                wait_times.extend(submitted_at.remove(request).map(|since| time.since(since)));
            }
            HistoryEvent::Answered { request, answer: FinalAnswer::Complete { .. } }
                if is_in_phase && has_class(fleet, *request, class) =>
            {
                completed += 1;
            }
            _ => {}
        }
    }

    wait_times.sort_unstable();
    let p95 = wait_times.get(wait_times.len().saturating_sub(1) * 95 / 100);
    ClassService {
        answers_per_s: f64::from(completed) / PHASE_DURATION.as_secs_f64(),
        wait_p95_ms: p95.map_or(0, |wait| wait.as_millis() as u64),
    }
}

fn has_class(fleet: &Fleet, request: u64, class: &str) -> bool {
    fleet.request_class(request).is_some_and(|name| name.as_str() == class)
}
