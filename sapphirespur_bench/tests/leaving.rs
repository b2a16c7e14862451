//! Data centres out and back, upstreams that leave and graceful shutdowns, with faults.

mod common;

use std::time::Duration;

use common::{add_mixed_clients, assert_always, assert_none, small_fleet, whole_after};
use sapphirespur_bench::fleet::{Fleet, PLATFORM};
use sapphirespur_bench::invariants::{
    all_answered, no_interrupted_answers, no_work_after_close, within_capacity,
};
use sapphirespur_bench::measure::load::model_client;
use sapphirespur_bench::topology::{Topology, data_centre_change};
use sapphirespur_core::config::{Change, DataCentreState, UpstreamState};
use sapphirespur_core::name::Name;

/// Time for which clients send.
const LOAD: Duration = Duration::from_secs(40);

/// Time after which everything must have ended.
const SETTLED: Duration = Duration::from_secs(60);

/// Departure.
#[derive(Clone, Copy, Debug)]
enum Departure {
    DataCentreOut,
    UpstreamLeaving,
    SidecarDrains,
    RouterDrains,
}

/// Fault that comes with a departure and takes no answer by itself.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    PlatformDown,
    CutWatcherFromPlatform,
    LossyLinks,
    RepeatingLinks,
    SilentControlLinks,
    StaleVmList,
}

impl Departure {
    fn start(self, fleet: &mut Fleet, topology: &Topology) {
        let accepted = match self {
            Self::DataCentreOut => {
                fleet.confirm(&[data_centre_change("west", DataCentreState::Out)])
            }
            Self::UpstreamLeaving => {
                let name = topology.runner_names().remove(0);
                let mut upstream = fleet.platform.config.upstreams[&name].clone();
                upstream.state = UpstreamState::Leaving;
                fleet.confirm(&[Change::SetUpstream(name, upstream)])
            }
            Self::SidecarDrains => {
                fleet.drain(&topology.runner_names()[0]);
                fleet.drain(&topology.service_names()[1]);
                true
            }
            Self::RouterDrains => {
                fleet.drain(&topology.router_names()[0]);
                true
            }
        };

        assert!(accepted, "the departure is accepted");
    }
}

impl Fault {
    fn strike(self, fleet: &mut Fleet, topology: &Topology) {
        match self {
            Self::None => {}
            Self::PlatformDown => fleet.platform.fault.is_down = true,
            Self::CutWatcherFromPlatform => {
                fleet.partition(&topology.router_names()[..1], &[Name::new(PLATFORM)]);
            }
            Self::LossyLinks => fleet.links.loss_per_mille = 100,
            Self::RepeatingLinks => fleet.links.duplication_per_mille = 200,
            Self::SilentControlLinks => {
                let epochs: Vec<u64> = fleet.links.up.values().copied().collect();
                fleet.links.blackholed.extend(epochs.iter().step_by(3));
            }
            Self::StaleVmList => {
                let mut stale = topology.members();
                stale.truncate(3);
                fleet.set_members(stale);
            }
        }
    }
}

/// Runs a departure under load; `is_before` tells whether the fault comes first.
fn run_cell(departure: Departure, fault: Fault, is_before: bool, seed: u64) {
    let what = format!("{departure:?} {fault:?} before {is_before} seed {seed}");
    let (topology, mut fleet) = small_fleet(seed);
    add_mixed_clients(&mut fleet, &topology, LOAD);
    fleet.run_for(Duration::from_secs(10));
    if is_before && !matches!(fault, Fault::PlatformDown) {
        fault.strike(&mut fleet, &topology);
    }
    departure.start(&mut fleet, &topology);
    fleet.run_for(Duration::from_millis(50));
    if !is_before {
        fault.strike(&mut fleet, &topology);
    }
    let left = fleet.now;
    fleet.run_for(LOAD + SETTLED);

    assert_always(&fleet, &what);
    assert_none(&all_answered(&fleet.history, left), &what);
    assert_none(&no_interrupted_answers(&fleet.history), &what);
    assert!(whole_after(&fleet, left) > 20, "{what}: the rest does not serve");
}

macro_rules! matrix {
    ($($name:ident: $departure:ident, $fault:ident;)*) => {
        $(
            #[test]
            fn $name() {
                for seed in [61, 62] {
                    for is_before in [true, false] {
                        run_cell(Departure::$departure, Fault::$fault, is_before, seed);
                    }
                }
            }
        )*
    };
}

matrix! {
    data_centre_out: DataCentreOut, None;
    data_centre_out_while_the_platform_fails: DataCentreOut, PlatformDown;
    data_centre_out_with_a_watcher_cut_off: DataCentreOut, CutWatcherFromPlatform;
    data_centre_out_over_lossy_links: DataCentreOut, LossyLinks;
    data_centre_out_over_repeating_links: DataCentreOut, RepeatingLinks;
    data_centre_out_over_silent_links: DataCentreOut, SilentControlLinks;
    data_centre_out_with_a_stale_vm_list: DataCentreOut, StaleVmList;
    upstream_leaves: UpstreamLeaving, None;
    upstream_leaves_while_the_platform_fails: UpstreamLeaving, PlatformDown;
    upstream_leaves_over_lossy_links: UpstreamLeaving, LossyLinks;
    upstream_leaves_over_repeating_links: UpstreamLeaving, RepeatingLinks;
    upstream_leaves_over_silent_links: UpstreamLeaving, SilentControlLinks;
    upstream_leaves_with_a_stale_vm_list: UpstreamLeaving, StaleVmList;
    sidecar_drains: SidecarDrains, None;
    sidecar_drains_over_lossy_links: SidecarDrains, LossyLinks;
    sidecar_drains_over_repeating_links: SidecarDrains, RepeatingLinks;
    sidecar_drains_over_silent_links: SidecarDrains, SilentControlLinks;
    sidecar_drains_with_a_stale_vm_list: SidecarDrains, StaleVmList;
    router_drains: RouterDrains, None;
    router_drains_over_lossy_links: RouterDrains, LossyLinks;
    router_drains_over_repeating_links: RouterDrains, RepeatingLinks;
    router_drains_over_silent_links: RouterDrains, SilentControlLinks;
    router_drains_with_a_stale_vm_list: RouterDrains, StaleVmList;
}

#[test]
fn a_data_centre_that_returns_serves_again() {
    let (topology, mut fleet) = small_fleet(63);
    add_mixed_clients(&mut fleet, &topology, LOAD);
    fleet.run_for(Duration::from_secs(10));
    assert!(fleet.confirm(&[data_centre_change("west", DataCentreState::Out)]));
    fleet.run_for(Duration::from_secs(10));
    assert!(fleet.confirm(&[data_centre_change("west", DataCentreState::In)]));
    fleet.run_for(Duration::from_secs(5));

    assert_none(&no_work_after_close(&fleet.history), "out and back");
    for name in topology.runner_names().iter().filter(|name| name.as_str().starts_with("west")) {
        let status = fleet.sidecar(name).status(fleet.now);
        assert!(status.serving, "{name} does not serve again");
        assert!(status.attempts > 0, "{name} gets no work");
    }
}

/// A data centre that was out may come back cold, which its sidecars cannot know yet.
#[test]
fn a_data_centre_that_returns_cold_is_not_overloaded() {
    for seed in [64, 65, 66] {
        let (topology, mut fleet) = small_fleet(seed);
        add_mixed_clients(&mut fleet, &topology, LOAD);
        for workspace in topology.workspace_names() {
            let mut client = model_client(&mut fleet, &topology, &workspace, 0, 30);
            client.until = fleet.now + LOAD;
            fleet.add_client(client);
        }
        fleet.run_for(Duration::from_secs(15));
        assert!(fleet.confirm(&[data_centre_change("west", DataCentreState::Out)]));
        fleet.run_for(Duration::from_secs(10));
        let now = fleet.now;
        for name in fleet.nodes_in(&Name::new("west")) {
            if let Some(engine) = fleet.engines.get_mut(&name) {
                engine.params.cold_duration = Duration::from_secs(8);
                engine.reset_to_cold(now);
            }
        }
        assert!(fleet.confirm(&[data_centre_change("west", DataCentreState::In)]));
        fleet.run_for(LOAD + SETTLED);

        let what = format!("seed {seed}");
        assert_none(&within_capacity(&fleet.history), &what);
        assert_none(&no_interrupted_answers(&fleet.history), &what);
        assert_always(&fleet, &what);
    }
}
