//! Data centres taken out and returned, leaving upstreams and graceful shutdowns, with faults.

mod common;

use std::time::Duration;

use common::{
    add_mixed_clients, assert_no_violations, assert_safety, complete_answers_after, small_fleet,
};
use sapphirespur_bench::fleet::{Fleet, PLATFORM};
use sapphirespur_bench::invariants::{
    all_answered, no_interrupted_answers, no_work_after_close, within_capacity,
};
use sapphirespur_bench::measure::load::model_client;
use sapphirespur_bench::topology::{Topology, data_centre_change};
use sapphirespur_core::config::{Change, DataCentreState, UpstreamState};
use sapphirespur_core::name::Name;

/// Time for which clients send requests.
const LOAD_DURATION: Duration = Duration::from_secs(40);

/// Time after the load within which all requests must be answered.
const SETTLE_DURATION: Duration = Duration::from_secs(60);

/// Way in which a part of the fleet stops taking work.
#[derive(Clone, Copy, Debug)]
enum Departure {
    DataCentreOut,
    UpstreamLeaving,
    SidecarDrains,
    RouterDrains,
}

/// Fault that is injected around a departure; none of them interrupts an answer by itself.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    PlatformDown,
    PartitionWatcherFromPlatform,
    LossyLinks,
    DuplicatingLinks,
    BlackholedLinks,
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

        assert!(accepted, "the change was not accepted");
    }
}

impl Fault {
    fn inject(self, fleet: &mut Fleet, topology: &Topology) {
        match self {
            Self::None => {}
            Self::PlatformDown => fleet.platform.fault.is_down = true,
            Self::PartitionWatcherFromPlatform => {
                fleet.partition(&topology.router_names()[..1], &[Name::new(PLATFORM)]);
            }
            Self::LossyLinks => fleet.links.loss_per_mille = 100,
            Self::DuplicatingLinks => fleet.links.duplication_per_mille = 200,
            Self::BlackholedLinks => {
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

/// Runs a departure under load; `is_before` is set if the fault is injected before it.
fn run_case(departure: Departure, fault: Fault, is_before: bool, seed: u64) {
    let context = format!("{departure:?} {fault:?} before {is_before} seed {seed}");
    let (topology, mut fleet) = small_fleet(seed);
    add_mixed_clients(&mut fleet, &topology, LOAD_DURATION);
    fleet.run_for(Duration::from_secs(10));
    if is_before && !matches!(fault, Fault::PlatformDown) {
        fault.inject(&mut fleet, &topology);
    }
    departure.start(&mut fleet, &topology);
    fleet.run_for(Duration::from_millis(50));
    if !is_before {
        fault.inject(&mut fleet, &topology);
    }
    let departed_at = fleet.now;
    fleet.run_for(LOAD_DURATION + SETTLE_DURATION);

    assert_safety(&fleet, &context);
    assert_no_violations(&all_answered(&fleet.history, departed_at), &context);
    assert_no_violations(&no_interrupted_answers(&fleet.history), &context);
    assert!(
        complete_answers_after(&fleet, departed_at) > 20,
        "{context}: the remaining nodes do not serve"
    );
}

macro_rules! matrix {
    ($($name:ident: $departure:ident, $fault:ident;)*) => {
        $(
            #[test]
            fn $name() {
                for seed in [61, 62] {
                    for is_before in [true, false] {
                        run_case(Departure::$departure, Fault::$fault, is_before, seed);
                    }
                }
            }
        )*
    };
}

matrix! {
    data_centre_out_interrupts_no_answers: DataCentreOut, None;
    data_centre_out_with_platform_down_interrupts_no_answers: DataCentreOut, PlatformDown;
    data_centre_out_with_partitioned_watcher_interrupts_no_answers:
        DataCentreOut, PartitionWatcherFromPlatform;
    data_centre_out_with_lossy_links_interrupts_no_answers: DataCentreOut, LossyLinks;
    data_centre_out_with_duplicating_links_interrupts_no_answers: DataCentreOut, DuplicatingLinks;
    data_centre_out_with_blackholed_links_interrupts_no_answers: DataCentreOut, BlackholedLinks;
    data_centre_out_with_stale_vm_list_interrupts_no_answers: DataCentreOut, StaleVmList;
    upstream_leaving_interrupts_no_answers: UpstreamLeaving, None;
    upstream_leaving_with_platform_down_interrupts_no_answers: UpstreamLeaving, PlatformDown;
    upstream_leaving_with_lossy_links_interrupts_no_answers: UpstreamLeaving, LossyLinks;
    upstream_leaving_with_duplicating_links_interrupts_no_answers:
        UpstreamLeaving, DuplicatingLinks;
    upstream_leaving_with_blackholed_links_interrupts_no_answers: UpstreamLeaving, BlackholedLinks;
    upstream_leaving_with_stale_vm_list_interrupts_no_answers: UpstreamLeaving, StaleVmList;
    sidecar_drain_interrupts_no_answers: SidecarDrains, None;
    sidecar_drain_with_lossy_links_interrupts_no_answers: SidecarDrains, LossyLinks;
    sidecar_drain_with_duplicating_links_interrupts_no_answers: SidecarDrains, DuplicatingLinks;
    sidecar_drain_with_blackholed_links_interrupts_no_answers: SidecarDrains, BlackholedLinks;
    sidecar_drain_with_stale_vm_list_interrupts_no_answers: SidecarDrains, StaleVmList;
    router_drain_interrupts_no_answers: RouterDrains, None;
    router_drain_with_lossy_links_interrupts_no_answers: RouterDrains, LossyLinks;
    router_drain_with_duplicating_links_interrupts_no_answers: RouterDrains, DuplicatingLinks;
    router_drain_with_blackholed_links_interrupts_no_answers: RouterDrains, BlackholedLinks;
    router_drain_with_stale_vm_list_interrupts_no_answers: RouterDrains, StaleVmList;
}

#[test]
fn returned_data_centre_serves_again() {
    let (topology, mut fleet) = small_fleet(63);
    add_mixed_clients(&mut fleet, &topology, LOAD_DURATION);
    fleet.run_for(Duration::from_secs(10));
    assert!(fleet.confirm(&[data_centre_change("west", DataCentreState::Out)]));
    fleet.run_for(Duration::from_secs(10));
    assert!(fleet.confirm(&[data_centre_change("west", DataCentreState::In)]));
    fleet.run_for(Duration::from_secs(5));

    assert_no_violations(&no_work_after_close(&fleet.history), "out and back");
    for name in topology.runner_names().iter().filter(|name| name.as_str().starts_with("west")) {
        let status = fleet.sidecar(name).status(fleet.now);
        assert!(status.serving, "{name} does not serve");
        assert!(status.attempts > 0, "{name} has no attempts");
    }
}

/// The upstreams of a data centre may be cold when it returns, and its sidecars have no load report
/// that says so yet.
#[test]
fn returned_cold_data_centre_is_not_overloaded() {
    for seed in [64, 65, 66] {
        let (topology, mut fleet) = small_fleet(seed);
        add_mixed_clients(&mut fleet, &topology, LOAD_DURATION);
        for workspace in topology.workspace_names() {
            let mut client = model_client(&mut fleet, &topology, &workspace, 0, 30);
            client.until = fleet.now + LOAD_DURATION;
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
        fleet.run_for(LOAD_DURATION + SETTLE_DURATION);

        let context = format!("seed {seed}");
        assert_no_violations(&within_capacity(&fleet.history), &context);
        assert_no_violations(&no_interrupted_answers(&fleet.history), &context);
        assert_safety(&fleet, &context);
    }
}
