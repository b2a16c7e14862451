//! Fair service over the fleet.

mod common;

use std::time::Duration;

use common::assert_none;
use sapphirespur_bench::fleet::{Fleet, FleetOptions, START};
use sapphirespur_bench::history::HistoryEvent;
use sapphirespur_bench::invariants::{fairness_gap, no_starvation, served_tokens};
use sapphirespur_bench::measure::fairness::{Scheduling, run};
use sapphirespur_bench::measure::load::{ANSWER_TOKENS, add_backlog, model_client};
use sapphirespur_bench::topology::{CLASSES, Topology};
use sapphirespur_core::name::Name;

/// Bound of the gap, in largest requests, from the stated goal.
const GAP_BOUND: f64 = 4.0;

/// Bound of the slots in use while work waits, from the stated goal.
const UTILISATION_BOUND: f64 = 0.99;

macro_rules! deployments {
    ($($name:ident: $topology:ident, $seed:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let report_interval = Duration::from_millis(500);
                let figures = run(&Topology::$topology(), Scheduling::Fleet { report_interval }, $seed);

                assert!(figures.gap_any_interval <= GAP_BOUND, "{figures:?}");
                assert!(figures.utilisation >= UTILISATION_BOUND, "{figures:?}");
            }
        )*
    };
}

deployments! {
    the_gap_is_bounded_at_the_agenzia_seed_1: agenzia, 1;
    the_gap_is_bounded_at_the_agenzia_seed_2: agenzia, 2;
    the_gap_is_bounded_at_the_agenzia_seed_3: agenzia, 3;
    the_gap_is_bounded_at_katharotis_seed_1: katharotis, 1;
    the_gap_is_bounded_at_katharotis_seed_2: katharotis, 2;
    the_gap_is_bounded_at_katharotis_seed_3: katharotis, 3;
}

fn backlogged_fleet(seed: u64) -> (Topology, Fleet) {
    let topology = Topology::agenzia();
    let mut fleet = topology.start(FleetOptions { seed, ..FleetOptions::default() });
    add_backlog(&mut fleet, &topology, 40);

    (topology, fleet)
}

#[test]
fn no_workspace_starves() {
    let (topology, mut fleet) = backlogged_fleet(81);
    let from = fleet.now + Duration::from_secs(20);
    fleet.run_for(Duration::from_secs(120));

    let names = topology.workspace_names();
    let window = Duration::from_secs(10);
    assert_none(&no_starvation(&fleet.history, &names, from, fleet.now, window), "backlog");
}

#[test]
fn the_lowest_class_of_a_workspace_does_not_starve() {
    let mut topology = Topology::small();
    topology.shares = vec![1];
    let mut fleet = topology.start(FleetOptions { seed: 82, ..FleetOptions::default() });
    let workspace = Name::new("w0");
    for class in 0..CLASSES.len() {
        let client = model_client(&mut fleet, &topology, &workspace, class, 30);
        fleet.add_client(client);
    }
    fleet.run_for(Duration::from_secs(120));

    let served = |class: &str| {
        let of_class = |request: &u64| fleet.request_class(*request) == Some(Name::new(class));
        let tokens = fleet.history.entries.iter().map(|(_, event)| match event {
            HistoryEvent::Served { request, tokens, .. } if of_class(request) => u64::from(*tokens),
            _ => 0,
        });
        tokens.sum::<u64>() as f64
    };
    let (label, dossier) = (served("label"), served("dossier"));
    assert!(label > 0.0, "the lowest class got nothing");
    let ratio = dossier / label;
    assert!((6.0..=10.0).contains(&ratio), "weights 8 and 1 led to a ratio of {ratio}");
}

/// One workspace that floods takes nothing from the others' shares.
#[test]
fn a_flood_harms_none_but_its_sender() {
    let served = |flood: usize| {
        let (topology, mut fleet) = backlogged_fleet(83);
        let flooding = Name::new("w15");
        let client = model_client(&mut fleet, &topology, &flooding, 0, flood);
        fleet.add_client(client);
        fleet.run_for(Duration::from_secs(120));
        let others: u64 =
            topology.workspace_names()[..15].iter().map(|name| tokens_of(&fleet, name)).sum();
        others as f64
    };

    let (calm, flooded) = (served(1), served(2_000));
    assert!(flooded > calm * 0.97, "others got {flooded} tokens instead of {calm}");
}

#[test]
fn idleness_earns_no_credit() {
    let topology = Topology { shares: vec![1, 1], ..Topology::agenzia() };
    let mut fleet = topology.start(FleetOptions { seed: 84, ..FleetOptions::default() });
    let busy = model_client(&mut fleet, &topology, &Name::new("w0"), 0, 300);
    fleet.add_client(busy);
    fleet.run_for(Duration::from_secs(60));
    let late = model_client(&mut fleet, &topology, &Name::new("w1"), 0, 300);
    fleet.add_client(late);
    fleet.run_for(Duration::from_secs(10));
    let from = fleet.now;
    fleet.run_for(Duration::from_secs(60));

    let shares = [(Name::new("w0"), 1), (Name::new("w1"), 1)];
    let gap = fairness_gap(&fleet.history, &shares, from, fleet.now);
    let largest = f64::from(ANSWER_TOKENS.1);
    // Both have 80 slots; the late one must not take the slots of the other for its idle minute.
    assert!(gap.any_interval / largest < 40.0, "{gap:?}");
}

#[test]
fn no_slot_idles_while_work_waits_at_one_router_only() {
    let topology = Topology::agenzia();
    let mut fleet = topology.start(FleetOptions { seed: 85, ..FleetOptions::default() });
    let mut client = model_client(&mut fleet, &topology, &Name::new("w0"), 0, 400);
    client.router_weights = vec![1, 0, 0, 0, 0, 0];
    fleet.add_client(client);
    fleet.run_for(Duration::from_secs(60));
    let from = fleet.now;
    fleet.run_for(Duration::from_secs(60));

    let rate = sapphirespur_bench::measure::fairness::max_token_rate(&topology);
    let served = served_tokens(&fleet.history, from, fleet.now) as f64;
    let part = served / (rate * 60.0);
    assert!(part >= UTILISATION_BOUND, "only {part} of the slots are used");
}

#[test]
fn the_same_seed_leads_to_the_same_run() {
    let run = || {
        let (_, mut fleet) = backlogged_fleet(86);
        fleet.run_for(Duration::from_secs(20));
        fleet.history.entries
    };

    assert!(run() == run());
}

fn tokens_of(fleet: &Fleet, workspace: &Name) -> u64 {
    let entries = fleet.history.entries.iter().filter(|(time, _)| *time >= START);

    entries
        .map(|(_, event)| match event {
            HistoryEvent::Served { workspace: other, tokens, .. } if other == workspace => {
                u64::from(*tokens)
            }
            _ => 0,
        })
        .sum()
}

/// Requests below the capacity come and go in waves, and each wave finds the idle slots.
#[test]
fn waves_of_requests_find_the_idle_slots() {
    let topology = Topology { runners: 4, ..Topology::small() };
    let mut fleet = topology.start(FleetOptions { seed: 87, ..FleetOptions::default() });
    let mut client = model_client(&mut fleet, &topology, &Name::new("w0"), 0, 24);
    client.router_weights = vec![1, 0, 0, 0];
    client.token_range = (64, 64);
    fleet.add_client(client);
    fleet.run_for(Duration::from_secs(60));
    let from = fleet.now;
    fleet.run_for(Duration::from_secs(60));

    // Each request takes 200 ms to its first step and 160 ms for each of seven further ones.
    let rate = 24.0 * 64.0 / (0.2 + 7.0 * 0.16);
    let served = served_tokens(&fleet.history, from, fleet.now) as f64;
    let part = served / (rate * 60.0);
    assert!(part >= 0.95, "only {part} of the requests run at once");
}
