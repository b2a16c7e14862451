//! Load of upstreams during a cold start.

mod common;

use std::time::Duration;

use common::assert_no_violations;
use sapphirespur_bench::fleet::{Fleet, FleetOptions};
use sapphirespur_bench::invariants::{Violation, served_tokens, within_capacity};
use sapphirespur_bench::measure::fairness::max_token_rate;
use sapphirespur_bench::measure::load::add_backlog;
use sapphirespur_bench::topology::Topology;

/// Cold period of an upstream after a start.
const COLD_DURATION: Duration = Duration::from_secs(20);

fn cold_fleet(seed: u64, cold_duration: Duration) -> (Topology, Fleet) {
    let mut topology = Topology::small();
    topology.runners = 4;
    topology.runner.cold_duration = cold_duration;
    let mut fleet = topology.start(FleetOptions { seed, ..FleetOptions::default() });
    add_backlog(&mut fleet, &topology, 60);

    (topology, fleet)
}

#[test]
fn upstream_without_cold_start_never_exceeds_its_slots() {
    for seed in 71..=73 {
        let (_, mut fleet) = cold_fleet(seed, Duration::ZERO);
        fleet.run_for(Duration::from_secs(60));
        assert_no_violations(&within_capacity(&fleet.history), &format!("seed {seed}"));
    }
}

#[test]
fn cold_upstream_never_exceeds_its_cold_slots() {
    for seed in 71..=73 {
        let (_, mut fleet) = cold_fleet(seed, COLD_DURATION);
        fleet.run_for(Duration::from_secs(60));
        assert_no_violations(&within_capacity(&fleet.history), &format!("seed {seed}"));
    }
}

#[test]
fn restarted_sidecar_treats_its_upstream_as_cold() {
    let (topology, mut fleet) = cold_fleet(74, Duration::ZERO);
    fleet.run_for(Duration::from_secs(30));
    for name in topology.runner_names() {
        let now = fleet.now;
        fleet.kill(&name);
        if let Some(engine) = fleet.engines.get_mut(&name) {
            engine.params.cold_duration = Duration::from_secs(5);
            engine.reset_to_cold(now);
        }
        fleet.restart(&name);
    }
    fleet.run_for(Duration::from_secs(30));

    assert_no_violations(&within_capacity(&fleet.history), "restart");
}

/// An upstream that becomes cold without a restart of its sidecar may crash under its full load.
/// The sidecar must then lower its limit, so that it crashes only once.
#[test]
fn unannounced_cold_start_causes_at_most_one_crash() {
    for seed in 75..=77 {
        let (topology, mut fleet) = cold_fleet(seed, Duration::ZERO);
        fleet.run_for(Duration::from_secs(40));
        let cold_upstream = topology.runner_names().remove(0);
        let now = fleet.now;
        if let Some(engine) = fleet.engines.get_mut(&cold_upstream) {
            engine.params.cold_duration = COLD_DURATION;
            engine.reset_to_cold(now);
        }
        fleet.run_for(Duration::from_secs(60));

        let crashes = within_capacity(&fleet.history)
            .iter()
            .filter(|violation| {
                matches!(
                    violation,
                    Violation::CapacityExceeded { upstream, .. } if *upstream == cold_upstream
                )
            })
            .count();
        assert!(crashes <= 1, "seed {seed}: crashed {crashes} times");
    }
}

#[test]
fn fleet_uses_its_slots_after_warm_up() {
    let (topology, mut fleet) = cold_fleet(78, Duration::from_secs(5));
    fleet.run_for(Duration::from_secs(60));
    let from = fleet.now;
    fleet.run_for(Duration::from_secs(30));

    let seconds = fleet.now.since(from).as_secs_f64();
    let served = served_tokens(&fleet.history, from, fleet.now) as f64;
    let utilisation = served / (max_token_rate(&topology) * seconds);
    assert!(utilisation > 0.95, "only {utilisation} of the capacity is used");
}
