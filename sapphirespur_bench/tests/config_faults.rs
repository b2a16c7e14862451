//! Every fault at every step of a configuration change.

mod common;

use std::time::Duration;

use common::{assert_none, run_until, small_fleet};
use sapphirespur_bench::fleet::{Fleet, PLATFORM};
use sapphirespur_bench::invariants::{
    CONFIG_PROPAGATION_LIMIT, config_in_force_within, config_never_reverts,
};
use sapphirespur_bench::topology::Topology;
use sapphirespur_core::config::{Change, Workspace};
use sapphirespur_core::name::Name;

/// Time for which a passing fault lasts.
const FAULT: Duration = Duration::from_secs(6);

/// Seeds of each cell.
const SEEDS: [u64; 3] = [31, 32, 33];

/// Step of a configuration change.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Before it is accepted.
    Planned,
    /// It is accepted and in force nowhere.
    Accepted,
    /// It is in force at one node.
    FirstTaken,
    /// It is in force at half of the nodes.
    HalfTaken,
}

/// Fault.
#[derive(Clone, Copy, Debug)]
enum Fault {
    KillWatcher,
    RestartWatchers,
    RestartAllRouters,
    RestartSidecars,
    FreezeWatcher,
    CutDataCentres,
    CutWatchersFromPlatform,
    SilenceRouters,
    PlatformDown,
    PlatformSlow,
    StaleVmList,
    LossyLinks,
    RepeatingLinks,
    RacingOperator,
}

impl Fault {
    fn strike(self, fleet: &mut Fleet, topology: &Topology) {
        let routers = topology.router_names();
        match self {
            Self::KillWatcher => fleet.kill(&routers[0]),
            Self::RestartWatchers => restart(fleet, &routers[..2]),
            Self::RestartAllRouters => restart(fleet, &routers),
            Self::RestartSidecars => {
                restart(fleet, &[topology.runner_names(), topology.service_names()].concat());
            }
            Self::FreezeWatcher => {
                fleet.pause(&routers[0]);
                let router = routers[0].clone();
                fleet.schedule_action(FAULT, move |fleet| fleet.resume(&router));
            }
            Self::CutDataCentres => {
                let sides: Vec<Vec<Name>> = topology
                    .data_centres
                    .iter()
                    .map(|name| fleet.nodes_in(&Name::new(name)))
                    .collect();
                fleet.partition(&sides[0], &sides[1]);
                fleet.schedule_action(FAULT, Fleet::heal_partitions);
            }
            Self::CutWatchersFromPlatform => {
                fleet.partition(&routers[..3], &[Name::new(PLATFORM)]);
                fleet.schedule_action(FAULT, Fleet::heal_partitions);
            }
            Self::SilenceRouters => routers.iter().for_each(|name| fleet.blackhole(name)),
            Self::PlatformDown => {
                fleet.platform.fault.is_down = true;
                fleet.schedule_action(FAULT, |fleet| fleet.platform.fault.is_down = false);
            }
            Self::PlatformSlow => {
                fleet.platform.fault.delay = Duration::from_secs(2);
                fleet.schedule_action(FAULT, |fleet| fleet.platform.fault.delay = Duration::ZERO);
                for later in 1..8_u32 {
                    let span = Duration::from_millis(300) * later;
                    fleet.schedule_action(span, move |fleet| {
                        fleet.confirm(&[share("w1", later)]);
                    });
                }
            }
            Self::StaleVmList => {
                let mut stale = topology.members();
                stale.retain(|vm| vm.name != routers[0]);
                fleet.set_members(stale);
                let members = topology.members();
                fleet.schedule_action(FAULT, move |fleet| fleet.set_members(members));
            }
            Self::LossyLinks => {
                fleet.links.loss_per_mille = 300;
                fleet.schedule_action(FAULT, |fleet| fleet.links.loss_per_mille = 0);
            }
            Self::RepeatingLinks => {
                fleet.links.duplication_per_mille = 300;
                fleet.schedule_action(FAULT, |fleet| fleet.links.duplication_per_mille = 0);
            }
            Self::RacingOperator => {
                let base = fleet.platform.config.revision;
                let won = fleet.confirm_against(base, &[share("w1", 7)]);
                let lost = fleet.confirm_against(base, &[share("w1", 9)]);
                assert!(!(won && lost), "two operators won against one revision");
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

/// Brings a change to `step`, lets `faults` strike and checks where it is in force.
fn run_cell(step: Step, faults: &[Fault], seed: u64) {
    let what = format!("{step:?} {faults:?} seed {seed}");
    let (topology, mut fleet) = small_fleet(seed);
    let nodes: Vec<Name> = fleet.nodes.keys().cloned().collect();
    fleet.run_for(Duration::from_secs(2));

    if !matches!(step, Step::Planned) {
        assert!(fleet.confirm(&[share("w0", 5)]), "{what}: not accepted");
        reach(&mut fleet, &nodes, step, &what);
    }
    for fault in faults {
        fault.strike(&mut fleet, &topology);
    }
    if matches!(step, Step::Planned) {
        let accepted = fleet.confirm(&[share("w0", 5)]);
        assert!(accepted || fleet.platform.fault.is_down, "{what}: not accepted");
    }
    // A change that is accepted while faults last must be in force within the bound after them.
    fleet.run_for(FAULT + CONFIG_PROPAGATION_LIMIT);

    assert_none(&config_never_reverts(&fleet.history), &what);
    let alive: Vec<Name> = nodes.into_iter().filter(|name| fleet.nodes[name].is_alive).collect();
    let accepted = fleet.platform.config.revision;
    for name in &alive {
        assert_eq!(fleet.node_revision(name), accepted, "{what}: {name} is behind");
    }
    assert_none(
        &config_in_force_within(&fleet.history, &alive, FAULT + CONFIG_PROPAGATION_LIMIT),
        &what,
    );
}

fn reach(fleet: &mut Fleet, nodes: &[Name], step: Step, what: &str) {
    let revision = fleet.platform.config.revision;
    let wanted = match step {
        Step::Planned | Step::Accepted => 0,
        Step::FirstTaken => 1,
        Step::HalfTaken => nodes.len() / 2,
    };
    let is_reached = run_until(fleet, CONFIG_PROPAGATION_LIMIT, |fleet| {
        nodes.iter().filter(|name| fleet.node_revision(name) == revision).count() >= wanted
    });

    assert!(is_reached, "{what}: the step was not reached");
}

macro_rules! matrix {
    ($($fault:ident: $name:ident;)*) => {
        const ALL: &[Fault] = &[$(Fault::$fault),*];

        $(
            #[test]
            fn $name() {
                for step in STEPS {
                    for seed in SEEDS {
                        run_cell(step, &[Fault::$fault], seed);
                    }
                }
            }
        )*
    };
}

/// Steps of the matrix.
const STEPS: [Step; 4] = [Step::Planned, Step::Accepted, Step::FirstTaken, Step::HalfTaken];

matrix! {
    KillWatcher: kill_watcher;
    RestartWatchers: restart_watchers;
    RestartAllRouters: restart_all_routers;
    RestartSidecars: restart_sidecars;
    FreezeWatcher: freeze_watcher;
    CutDataCentres: cut_data_centres;
    CutWatchersFromPlatform: cut_watchers_from_platform;
    SilenceRouters: silence_routers;
    PlatformDown: platform_down;
    PlatformSlow: platform_slow;
    StaleVmList: stale_vm_list;
    LossyLinks: lossy_links;
    RepeatingLinks: repeating_links;
    RacingOperator: racing_operator;
}

#[test]
fn pairs_of_faults() {
    for step in [Step::Accepted, Step::HalfTaken] {
        for (index, first) in ALL.iter().enumerate() {
            for second in &ALL[index + 1..] {
                run_cell(step, &[*first, *second], 41);
            }
        }
    }
}

#[test]
fn a_change_without_faults_is_in_force_everywhere_within_a_second() {
    let (_, mut fleet) = small_fleet(51);
    let nodes: Vec<Name> = fleet.nodes.keys().cloned().collect();
    assert!(fleet.confirm(&[share("w0", 3)]));
    let bound = Duration::from_secs(1);
    fleet.run_for(bound);

    let mut history = fleet.history.clone();
    let revision = fleet.platform.config.revision;
    history.entries.retain(|(_, event)| {
        !matches!(event, sapphirespur_bench::history::HistoryEvent::ConfigAccepted { revision: r } if *r < revision)
    });
    assert_none(&config_in_force_within(&history, &nodes, bound), "no fault");
}

#[test]
fn a_router_that_restarts_empty_while_the_platform_is_down_learns_from_its_peers() {
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
