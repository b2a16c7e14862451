//! Fairness of service and utilisation of the fleet.

mod common;

use std::time::Duration;

use common::assert_no_violations;
use sapphirespur_bench::fleet::{Fleet, FleetOptions, START};
use sapphirespur_bench::history::HistoryEvent;
use sapphirespur_bench::invariants::{fairness_gap, no_starvation, served_tokens};
use sapphirespur_bench::measure::fairness::{Scheduling, run};
use sapphirespur_bench::measure::load::{ANSWER_TOKENS, add_backlog, model_client};
use sapphirespur_bench::topology::{CLASSES, Topology};
use sapphirespur_core::name::Name;

/// Limit of the fairness gap, in largest requests; this is the stated goal.
const MAX_FAIRNESS_GAP: f64 = 4.0;

/// Least utilisation of the slots while requests wait; this is the stated goal.
const MIN_UTILISATION: f64 = 0.99;

macro_rules! deployments {
    ($($name:ident: $topology:ident, $seed:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let report_interval = Duration::from_millis(500);
                let result = run(&Topology::$topology(), Scheduling::Fleet { report_interval }, $seed);

                assert!(result.gap_any_interval <= MAX_FAIRNESS_GAP, "{result:?}");
                assert!(result.utilisation >= MIN_UTILISATION, "{result:?}");
            }
        )*
    };
}

deployments! {
    fairness_gap_is_bounded_in_agenzia_topology_seed_1: agenzia, 1;
    fairness_gap_is_bounded_in_agenzia_topology_seed_2: agenzia, 2;
    fairness_gap_is_bounded_in_agenzia_topology_seed_3: agenzia, 3;
    fairness_gap_is_bounded_in_katharotis_topology_seed_1: katharotis, 1;
    fairness_gap_is_bounded_in_katharotis_topology_seed_2: katharotis, 2;
    fairness_gap_is_bounded_in_katharotis_topology_seed_3: katharotis, 3;
}

fn backlogged_fleet(seed: u64) -> (Topology, Fleet) {
    let topology = Topology::agenzia();
    let mut fleet = topology.start(FleetOptions { seed, ..FleetOptions::default() });
    add_backlog(&mut fleet, &topology, 40);

    (topology, fleet)
}

#[test]
fn backlogged_workspaces_do_not_starve() {
    let (topology, mut fleet) = backlogged_fleet(81);
    let from = fleet.now + Duration::from_secs(20);
    fleet.run_for(Duration::from_secs(120));

    let names = topology.workspace_names();
    let window = Duration::from_secs(10);
    assert_no_violations(
        &no_starvation(&fleet.history, &names, from, fleet.now, window),
        "backlog",
    );
}

#[test]
fn classes_of_a_workspace_are_served_by_weight() {
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
        let is_in_class = |request: &u64| fleet.request_class(*request) == Some(Name::new(class));
        let tokens = fleet.history.entries.iter().map(|(_, event)| match event {
            HistoryEvent::Served { request, tokens, .. } if is_in_class(request) => {
                u64::from(*tokens)
            }
            _ => 0,
        });
        tokens.sum::<u64>() as f64
    };
    let (label, dossier) = (served("label"), served("dossier"));
    assert!(label > 0.0, "the lowest class was not served");
    let ratio = dossier / label;
    assert!((6.0..=10.0).contains(&ratio), "service ratio of weights 8 and 1 is {ratio}");
}

/// A workspace that sends far more than its share does not reduce the service of the others.
#[test]
fn flood_from_one_workspace_does_not_reduce_service_of_others() {
    let served = |flood: usize| {
        let (topology, mut fleet) = backlogged_fleet(83);
        let flooding = Name::new("w15");
        let client = model_client(&mut fleet, &topology, &flooding, 0, flood);
        fleet.add_client(client);
        fleet.run_for(Duration::from_secs(120));
        let others: u64 = topology.workspace_names()[..15]
            .iter()
            .map(|name| workspace_served_tokens(&fleet, name))
            .sum();
        others as f64
    };

    let (baseline, with_flood) = (served(1), served(2_000));
    assert!(
        with_flood > baseline * 0.97,
        "others got {with_flood} tokens with the flood and {baseline} without it"
    );
}

#[test]
fn idle_workspace_earns_no_credit() {
    let topology = Topology { shares: vec![1, 1], ..Topology::agenzia() };
    let mut fleet = topology.start(FleetOptions { seed: 84, ..FleetOptions::default() });
    let early_client = model_client(&mut fleet, &topology, &Name::new("w0"), 0, 300);
    fleet.add_client(early_client);
    fleet.run_for(Duration::from_secs(60));
    let late_client = model_client(&mut fleet, &topology, &Name::new("w1"), 0, 300);
    fleet.add_client(late_client);
    fleet.run_for(Duration::from_secs(10));
    let from = fleet.now;
    fleet.run_for(Duration::from_secs(60));

    let shares = [(Name::new("w0"), 1), (Name::new("w1"), 1)];
    let gap = fairness_gap(&fleet.history, &shares, from, fleet.now);
    let largest = f64::from(ANSWER_TOKENS.1);
    // The fair share of each is 80 slots. With credit for its idle minute, the late workspace would
    // take the slots of the other.
    assert!(gap.any_interval / largest < 40.0, "{gap:?}");
}

#[test]
fn all_slots_are_used_when_only_one_router_has_a_backlog() {
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
    let utilisation = served / (rate * 60.0);
    assert!(utilisation >= MIN_UTILISATION, "only {utilisation} of the slots are used");
}

#[test]
fn same_seed_gives_same_history() {
    let run = || {
        let (_, mut fleet) = backlogged_fleet(86);
        fleet.run_for(Duration::from_secs(20));
        fleet.history.entries
    };

    assert!(run() == run());
}

/// Returns the number of tokens that a workspace has been served in the run.
fn workspace_served_tokens(fleet: &Fleet, workspace: &Name) -> u64 {
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

/// Requests of equal size arrive in bursts below the capacity. Each burst must use the idle slots.
#[test]
fn bursts_below_capacity_use_idle_slots() {
    let topology = Topology { runners: 4, ..Topology::small() };
    let mut fleet = topology.start(FleetOptions { seed: 87, ..FleetOptions::default() });
    let mut client = model_client(&mut fleet, &topology, &Name::new("w0"), 0, 24);
    client.router_weights = vec![1, 0, 0, 0];
    client.token_range = (64, 64);
    fleet.add_client(client);
    fleet.run_for(Duration::from_secs(60));
    let from = fleet.now;
    fleet.run_for(Duration::from_secs(60));

    // A request takes 200 ms to its first step and 160 ms for each of the seven further steps.
    let rate = 24.0 * 64.0 / (0.2 + 7.0 * 0.16);
    let served = served_tokens(&fleet.history, from, fleet.now) as f64;
    let utilisation = served / (rate * 60.0);
    assert!(utilisation >= 0.95, "only {utilisation} of the requests are served without waiting");
}
