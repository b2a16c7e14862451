//! Upstreams in cold start.

mod common;

use std::time::Duration;

use common::assert_none;
use sapphirespur_bench::fleet::{Fleet, FleetOptions};
use sapphirespur_bench::invariants::{Violation, served_tokens, within_capacity};
use sapphirespur_bench::measure::fairness::max_token_rate;
use sapphirespur_bench::measure::load::add_backlog;
use sapphirespur_bench::topology::Topology;

/// Time for which the upstreams are cold.
const COLD: Duration = Duration::from_secs(20);

fn cold_fleet(seed: u64, cold_duration: Duration) -> (Topology, Fleet) {
    let mut topology = Topology::small();
    topology.runners = 4;
    topology.runner.cold_duration = cold_duration;
    let mut fleet = topology.start(FleetOptions { seed, ..FleetOptions::default() });
    add_backlog(&mut fleet, &topology, 60);

    (topology, fleet)
}

#[test]
fn an_upstream_that_is_warm_at_once_never_gets_more_than_its_slots() {
    for seed in 71..=73 {
        let (_, mut fleet) = cold_fleet(seed, Duration::ZERO);
        fleet.run_for(Duration::from_secs(60));
        assert_none(&within_capacity(&fleet.history), &format!("seed {seed}"));
    }
}

#[test]
fn a_cold_upstream_gets_no_more_than_it_bears() {
    for seed in 71..=73 {
        let (_, mut fleet) = cold_fleet(seed, COLD);
        fleet.run_for(Duration::from_secs(60));
        assert_none(&within_capacity(&fleet.history), &format!("seed {seed}"));
    }
}

#[test]
fn a_restarted_sidecar_takes_its_upstream_for_cold() {
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

    assert_none(&within_capacity(&fleet.history), "restart");
}

/// An upstream that turns cold without warning falls over at most once before it is spared.
#[test]
fn a_sudden_cold_start_is_found_with_the_first_bad_answers() {
    for seed in 75..=77 {
        let (topology, mut fleet) = cold_fleet(seed, Duration::ZERO);
        fleet.run_for(Duration::from_secs(40));
        let chilled = topology.runner_names().remove(0);
        let now = fleet.now;
        if let Some(engine) = fleet.engines.get_mut(&chilled) {
            engine.params.cold_duration = COLD;
            engine.reset_to_cold(now);
        }
        fleet.run_for(Duration::from_secs(60));

        let falls = within_capacity(&fleet.history)
            .iter()
            .filter(|violation| matches!(violation, Violation::CapacityExceeded { upstream, .. } if *upstream == chilled))
            .count();
        assert!(falls <= 1, "seed {seed}: fell over {falls} times");
    }
}

#[test]
fn a_fleet_that_became_warm_uses_its_slots() {
    let (topology, mut fleet) = cold_fleet(78, Duration::from_secs(5));
    fleet.run_for(Duration::from_secs(60));
    let from = fleet.now;
    fleet.run_for(Duration::from_secs(30));

    let seconds = fleet.now.since(from).as_secs_f64();
    let served = served_tokens(&fleet.history, from, fleet.now) as f64;
    let part = served / (max_token_rate(&topology) * seconds);
    assert!(part > 0.95, "only {part} of the slots are used");
}
