//! Injection of each fault at each step of a configuration change.

mod common;

use std::time::Duration;

use common::{assert_no_violations, run_until, small_fleet};
use sapphirespur_bench::fleet::{Fleet, PLATFORM};
use sapphirespur_bench::invariants::{
    CONFIG_PROPAGATION_LIMIT, config_in_force_within, config_never_reverts,
};
use sapphirespur_bench::topology::Topology;
use sapphirespur_core::config::{Change, Workspace};
use sapphirespur_core::name::Name;

/// Duration of a temporary fault.
const FAULT_DURATION: Duration = Duration::from_secs(6);

/// Seeds of each combination of step and fault.
const SEEDS: [u64; 3] = [31, 32, 33];

/// Progress of a configuration change when the faults are injected.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// It is not accepted yet.
    Planned,
    /// It is accepted, and in force at no node yet.
    Accepted,
    /// It is in force at one node or more.
    AppliedByOne,
    /// It is in force at half of the nodes or more.
    AppliedByHalf,
}

/// Fault to inject.
#[derive(Clone, Copy, Debug)]
enum Fault {
    KillWatcher,
    RestartWatchers,
    RestartAllRouters,
    RestartSidecars,
    PauseWatcher,
    PartitionDataCentres,
    PartitionWatchersFromPlatform,
    BlackholeRouters,
    PlatformDown,
    PlatformSlow,
    StaleVmList,
    LossyLinks,
    DuplicatingLinks,
    ConcurrentOperators,
}

impl Fault {
    fn inject(self, fleet: &mut Fleet, topology: &Topology) {
        let routers = topology.router_names();
        match self {
            Self::KillWatcher => fleet.kill(&routers[0]),
            Self::RestartWatchers => restart(fleet, &routers[..2]),
            Self::RestartAllRouters => restart(fleet, &routers),
            Self::RestartSidecars => {
                restart(fleet, &[topology.runner_names(), topology.service_names()].concat());
            }
            Self::PauseWatcher => {
                fleet.pause(&routers[0]);
                let router = routers[0].clone();
                fleet.schedule_action(FAULT_DURATION, move |fleet| fleet.resume(&router));
            }
            Self::PartitionDataCentres => {
                let sides: Vec<Vec<Name>> = topology
                    .data_centres
                    .iter()
                    .map(|name| fleet.nodes_in(&Name::new(name)))
                    .collect();
                fleet.partition(&sides[0], &sides[1]);
                fleet.schedule_action(FAULT_DURATION, Fleet::heal_partitions);
            }
            Self::PartitionWatchersFromPlatform => {
                fleet.partition(&routers[..3], &[Name::new(PLATFORM)]);
                fleet.schedule_action(FAULT_DURATION, Fleet::heal_partitions);
            }
            Self::BlackholeRouters => routers.iter().for_each(|name| fleet.blackhole(name)),
            Self::PlatformDown => {
                fleet.platform.fault.is_down = true;
                fleet.schedule_action(FAULT_DURATION, |fleet| fleet.platform.fault.is_down = false);
            }
            Self::PlatformSlow => {
                fleet.platform.fault.delay = Duration::from_secs(2);
                fleet.schedule_action(FAULT_DURATION, |fleet| {
                    fleet.platform.fault.delay = Duration::ZERO
                });
                for later in 1..8_u32 {
                    let delay = Duration::from_millis(300) * later;
                    fleet.schedule_action(delay, move |fleet| {
                        fleet.confirm(&[share("w1", later)]);
                    });
                }
            }
            Self::StaleVmList => {
                let mut stale = topology.members();
                stale.retain(|vm| vm.name != routers[0]);
                fleet.set_members(stale);
                let members = topology.members();
                fleet.schedule_action(FAULT_DURATION, move |fleet| fleet.set_members(members));
            }
            Self::LossyLinks => {
                fleet.links.loss_per_mille = 300;
                fleet.schedule_action(FAULT_DURATION, |fleet| fleet.links.loss_per_mille = 0);
            }
            Self::DuplicatingLinks => {
                fleet.links.duplication_per_mille = 300;
                fleet
                    .schedule_action(FAULT_DURATION, |fleet| fleet.links.duplication_per_mille = 0);
            }
            Self::ConcurrentOperators => {
                let base = fleet.platform.config.revision;
                let first_accepted = fleet.confirm_against(base, &[share("w1", 7)]);
                let second_accepted = fleet.confirm_against(base, &[share("w1", 9)]);
                assert!(
                    !(first_accepted && second_accepted),
                    "two conflicting changes of one revision were accepted"
                );
            }
        }
    }
}

fn restart(fleet: &mut Fleet, names: &[Name]) {
    for name in names {
        fleet.kill(name);
        let name = name.clone();
        fleet.schedule_action(Duration::from_millis(500), move |fleet| fleet.restart(&name));
    }
}

fn share(workspace: &str, share: u32) -> Change {
    let key_digests = vec![sapphirespur_core::hash::sha256_hex(workspace.as_bytes())];

    Change::SetWorkspace(Name::new(workspace), Workspace { share, key_digests })
}

/// Brings a change to `step`, injects `faults` and checks that all running nodes apply it.
fn run_case(step: Step, faults: &[Fault], seed: u64) {
    let context = format!("{step:?} {faults:?} seed {seed}");
    let (topology, mut fleet) = small_fleet(seed);
    let nodes: Vec<Name> = fleet.nodes.keys().cloned().collect();
    fleet.run_for(Duration::from_secs(2));

    if !matches!(step, Step::Planned) {
        assert!(fleet.confirm(&[share("w0", 5)]), "{context}: not accepted");
        run_to_step(&mut fleet, &nodes, step, &context);
    }
    for fault in faults {
        fault.inject(&mut fleet, &topology);
    }
    if matches!(step, Step::Planned) {
        let accepted = fleet.confirm(&[share("w0", 5)]);
        assert!(accepted || fleet.platform.fault.is_down, "{context}: not accepted");
    }
    // A change accepted during the faults must be in force within the limit after they end.
    fleet.run_for(FAULT_DURATION + CONFIG_PROPAGATION_LIMIT);

    assert_no_violations(&config_never_reverts(&fleet.history), &context);
    let alive: Vec<Name> = nodes.into_iter().filter(|name| fleet.nodes[name].is_alive).collect();
    let accepted = fleet.platform.config.revision;
    for name in &alive {
        assert_eq!(fleet.node_revision(name), accepted, "{context}: {name} is behind");
    }
    assert_no_violations(
        &config_in_force_within(&fleet.history, &alive, FAULT_DURATION + CONFIG_PROPAGATION_LIMIT),
        &context,
    );
}

fn run_to_step(fleet: &mut Fleet, nodes: &[Name], step: Step, context: &str) {
    let revision = fleet.platform.config.revision;
    let min_nodes = match step {
        Step::Planned | Step::Accepted => 0,
        Step::AppliedByOne => 1,
        Step::AppliedByHalf => nodes.len() / 2,
    };
    let is_reached = run_until(fleet, CONFIG_PROPAGATION_LIMIT, |fleet| {
        nodes.iter().filter(|name| fleet.node_revision(name) == revision).count() >= min_nodes
    });

    assert!(is_reached, "{context}: the step was not reached");
}

macro_rules! matrix {
    ($($fault:ident: $name:ident;)*) => {
        const ALL_FAULTS: &[Fault] = &[$(Fault::$fault),*];

        $(
            #[test]
            fn $name() {
                for step in STEPS {
                    for seed in SEEDS {
                        run_case(step, &[Fault::$fault], seed);
                    }
                }
            }
        )*
    };
}

/// Steps at which each fault is injected.
const STEPS: [Step; 4] = [Step::Planned, Step::Accepted, Step::AppliedByOne, Step::AppliedByHalf];

matrix! {
    KillWatcher: config_converges_with_killed_watcher;
    RestartWatchers: config_converges_with_restarted_watchers;
    RestartAllRouters: config_converges_with_all_routers_restarted;
    RestartSidecars: config_converges_with_restarted_sidecars;
    PauseWatcher: config_converges_with_paused_watcher;
    PartitionDataCentres: config_converges_with_partitioned_data_centres;
    PartitionWatchersFromPlatform: config_converges_with_watchers_partitioned_from_platform;
    BlackholeRouters: config_converges_with_blackholed_routers;
    PlatformDown: config_converges_with_platform_down;
    PlatformSlow: config_converges_with_slow_platform;
    StaleVmList: config_converges_with_stale_vm_list;
    LossyLinks: config_converges_with_lossy_links;
    DuplicatingLinks: config_converges_with_duplicating_links;
    ConcurrentOperators: config_converges_with_concurrent_operators;
}

#[test]
fn config_converges_with_pairs_of_faults() {
    for step in [Step::Accepted, Step::AppliedByHalf] {
        for (index, first) in ALL_FAULTS.iter().enumerate() {
            for second in &ALL_FAULTS[index + 1..] {
                run_case(step, &[*first, *second], 41);
            }
        }
    }
}

#[test]
fn change_without_faults_is_in_force_at_all_nodes_within_one_second() {
    let (_, mut fleet) = small_fleet(51);
    let nodes: Vec<Name> = fleet.nodes.keys().cloned().collect();
    assert!(fleet.confirm(&[share("w0", 3)]));
    let bound = Duration::from_secs(1);
    fleet.run_for(bound);

    let mut history = fleet.history.clone();
    let revision = fleet.platform.config.revision;
    history.entries.retain(|(_, event)| {
        !matches!(
            event,
            sapphirespur_bench::history::HistoryEvent::ConfigAccepted { revision: r }
                if *r < revision
        )
    });
    assert_no_violations(&config_in_force_within(&history, &nodes, bound), "no fault");
}

#[test]
fn router_restarted_while_the_platform_is_down_gets_the_config_from_its_peers() {
    let (topology, mut fleet) = small_fleet(52);
    assert!(fleet.confirm(&[share("w0", 3)]));
    fleet.run_for(Duration::from_secs(2));
    fleet.platform.fault.is_down = true;
    let router = topology.router_names().remove(3);
    fleet.kill(&router);
    fleet.run_for(Duration::from_secs(1));
    fleet.restart(&router);
    fleet.run_for(Duration::from_secs(5));

    assert_eq!(fleet.node_revision(&router), fleet.platform.config.revision);
    assert!(fleet.router(&router).is_ready());
}
