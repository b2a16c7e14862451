//! Injection of each fault at each step of a request.

mod common;

use std::time::Duration;

use common::{
    add_mixed_clients, assert_no_violations, assert_safety, complete_answers_after, find_upstream,
    has_answer, has_run, last_request, run_until, small_fleet,
};
use sapphirespur_bench::client::{CallKind, Client};
use sapphirespur_bench::fleet::{Fleet, FleetOptions, PLATFORM, START};
use sapphirespur_bench::invariants::all_answered;
use sapphirespur_bench::measure::load::{booking_client, model_client};
use sapphirespur_bench::topology::Topology;
use sapphirespur_core::name::Name;

/// Duration of a temporary fault.
const FAULT_DURATION: Duration = Duration::from_secs(8);

/// Time after the faults within which all requests must be answered.
const SETTLE_DURATION: Duration = Duration::from_secs(90);

/// Seeds of each combination of call, step and fault.
const SEEDS: [u64; 2] = [11, 12];

/// Progress of a request when the faults are injected.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Its router received it.
    Queued,
    /// It was dispatched to a sidecar.
    Dispatched,
    /// Its sidecar admitted it.
    Admitted,
    /// An upstream started to run it.
    Running,
    /// Its client received the final answer.
    Answered,
}

/// Fault to inject.
#[derive(Clone, Copy, Debug)]
enum Fault {
    KillSidecar,
    RestartSidecar,
    PauseSidecar,
    KillRouter,
    RestartRouter,
    PauseRouter,
    PartitionRouterFromSidecars,
    PartitionSidecarFromPlatform,
    BlackholeSidecar,
    BlackholeRouter,
    PlatformDown,
    PlatformSlow,
    LostPlatformResponses,
    SuddenColdStart,
    UpstreamUnreachable,
    Flood,
    LossyLinks,
    DuplicatingLinks,
}

/// Nodes at which a fault is injected.
struct FaultTargets {
    router: Name,
    sidecar: Name,
}

impl Fault {
    fn inject(self, fleet: &mut Fleet, topology: &Topology, targets: &FaultTargets) {
        let (router, sidecar) = (targets.router.clone(), targets.sidecar.clone());
        match self {
            Self::KillSidecar => fleet.kill(&sidecar),
            Self::RestartSidecar => {
                fleet.kill(&sidecar);
                fleet.schedule_action(Duration::from_millis(300), move |fleet| {
                    fleet.restart(&sidecar)
                });
            }
            Self::PauseSidecar => {
                fleet.pause(&sidecar);
                fleet.schedule_action(FAULT_DURATION, move |fleet| fleet.resume(&sidecar));
            }
            Self::KillRouter => fleet.kill(&router),
            Self::RestartRouter => {
                fleet.kill(&router);
                fleet.schedule_action(Duration::from_millis(300), move |fleet| {
                    fleet.restart(&router)
                });
            }
            Self::PauseRouter => {
                fleet.pause(&router);
                fleet.schedule_action(FAULT_DURATION, move |fleet| fleet.resume(&router));
            }
            Self::PartitionRouterFromSidecars => {
                let sidecars = [topology.runner_names(), topology.service_names()].concat();
                fleet.partition(&[router], &sidecars);
                fleet.schedule_action(FAULT_DURATION, Fleet::heal_partitions);
            }
            Self::PartitionSidecarFromPlatform => {
                fleet.partition(&[sidecar], &[Name::new(PLATFORM)]);
                fleet.schedule_action(FAULT_DURATION, Fleet::heal_partitions);
            }
            Self::BlackholeSidecar => fleet.blackhole(&sidecar),
            Self::BlackholeRouter => fleet.blackhole(&router),
            Self::PlatformDown => {
                fleet.platform.fault.is_down = true;
                fleet.schedule_action(FAULT_DURATION, |fleet| fleet.platform.fault.is_down = false);
            }
            Self::PlatformSlow => {
                fleet.platform.fault.delay = Duration::from_millis(1_400);
                fleet.schedule_action(FAULT_DURATION, |fleet| {
                    fleet.platform.fault.delay = Duration::ZERO
                });
            }
            Self::LostPlatformResponses => fleet.platform.fault.responses_to_lose = 3,
            Self::SuddenColdStart => {
                let now = fleet.now;
                for engine in fleet.engines.values_mut() {
                    engine.params.cold_duration = FAULT_DURATION;
                    engine.reset_to_cold(now);
                }
            }
            Self::UpstreamUnreachable => {
                set_engine(fleet, &sidecar, false);
                fleet.schedule_action(FAULT_DURATION, move |fleet| {
                    set_engine(fleet, &sidecar, true)
                });
            }
            Self::Flood => {
                let workspace = topology.workspace_names().remove(0);
                let mut flood = model_client(fleet, topology, &workspace, 0, 400);
                flood.until = fleet.now + FAULT_DURATION;
                flood.token_range = (8, 80);
                fleet.add_client(flood);
            }
            Self::LossyLinks => {
                fleet.links.loss_per_mille = 200;
                fleet.schedule_action(FAULT_DURATION, |fleet| fleet.links.loss_per_mille = 0);
            }
            Self::DuplicatingLinks => {
                fleet.links.duplication_per_mille = 300;
                fleet
                    .schedule_action(FAULT_DURATION, |fleet| fleet.links.duplication_per_mille = 0);
            }
        }
    }

    /// Returns whether the fault stops a node for good, so that its clients need another one.
    fn is_permanent(self) -> bool {
        matches!(self, Self::KillSidecar | Self::KillRouter)
    }
}

fn set_engine(fleet: &mut Fleet, sidecar: &Name, is_up: bool) {
    if let Some(engine) = fleet.engines.get_mut(sidecar) {
        engine.is_up = is_up;
    }
}

/// Sends a request under mixed load, brings it to `step`, injects `faults` and checks the
/// invariants.
fn run_case(kind: CallKind, step: Step, faults: &[Fault], seed: u64) {
    let context = format!("{kind:?} {step:?} {faults:?} seed {seed}");
    let (topology, mut fleet) = small_fleet(seed);
    add_mixed_clients(&mut fleet, &topology, Duration::from_secs(40));
    fleet.run_for(Duration::from_secs(5));
    let request = send_tracked_request(&mut fleet, &topology, kind);
    let is_reached =
        run_until(&mut fleet, Duration::from_secs(20), |fleet| has_reached(fleet, request, step));
    assert!(is_reached, "{context}: the step was not reached");

    let targets = find_targets(&fleet, &topology, request, kind);
    for fault in faults {
        fault.inject(&mut fleet, &topology, &targets);
    }
    fleet.run_for(FAULT_DURATION);
    let recovered_at = fleet.now;
    fleet.run_for(SETTLE_DURATION);

    assert_safety(&fleet, &context);
    assert_no_violations(&all_answered(&fleet.history, recovered_at), &context);
    let complete = complete_answers_after(&fleet, recovered_at);
    let permanent = faults.iter().filter(|fault| fault.is_permanent()).count();
    assert!(
        complete > 20 || permanent > 1,
        "{context}: only {complete} complete answers after the faults"
    );
}

/// Sends the request at whose steps the faults are injected and returns its number.
fn send_tracked_request(fleet: &mut Fleet, topology: &Topology, kind: CallKind) -> u64 {
    let workspace = topology.workspace_names().remove(1);
    let mut client = match kind {
        CallKind::Idempotent => model_client(fleet, topology, &workspace, 1, 1),
        CallKind::Keyed => booking_client(fleet, topology, &workspace, 1),
        CallKind::Unkeyed => {
            Client { kind: CallKind::Unkeyed, ..booking_client(fleet, topology, &workspace, 1) }
        }
    };
    client.token_range = (64, 64);
    client.until = fleet.now + Duration::from_millis(100);
    let before = last_request(fleet);
    let find_tracked = |fleet: &Fleet| {
        let request = last_request(fleet)?;
        let entry = fleet.requests.get(&request)?;
        (Some(request) > before && entry.tokens == 64).then_some(request)
    };
    fleet.add_client(client);
    let mut found = None;
    run_until(fleet, Duration::from_secs(1), |fleet| {
        found = find_tracked(fleet);
        found.is_some()
    });

    found.expect("the request was sent")
}

fn has_reached(fleet: &Fleet, request: u64, step: Step) -> bool {
    match step {
        Step::Queued => fleet.requests.contains_key(&request),
        Step::Dispatched => fleet.is_dispatched(request),
        Step::Admitted => fleet.is_admitted(request) || has_run(fleet, request),
        Step::Running => has_run(fleet, request),
        Step::Answered => has_answer(fleet, request),
    }
}

fn find_targets(fleet: &Fleet, topology: &Topology, request: u64, kind: CallKind) -> FaultTargets {
    let default_sidecar = match kind {
        CallKind::Idempotent => topology.runner_names().remove(0),
        CallKind::Keyed | CallKind::Unkeyed => topology.service_names().remove(0),
    };
    let entry = fleet.requests.get(&request);
    let router = entry.map_or_else(|| topology.router_names().remove(0), |r| r.router.clone());
    let sidecar = fleet
        .request_sidecar(request)
        .or_else(|| find_upstream(fleet, request))
        .unwrap_or(default_sidecar);

    FaultTargets { router, sidecar }
}

macro_rules! matrix {
    ($($fault:ident: $name:ident;)*) => {
        $(
            mod $name {
                use super::*;

                #[test]
                fn invariants_hold_at_every_step_of_a_model_call() {
                    run_all_steps(CallKind::Idempotent, &[Fault::$fault]);
                }

                #[test]
                fn invariants_hold_at_every_step_of_a_booking_without_a_key() {
                    run_all_steps(CallKind::Unkeyed, &[Fault::$fault]);
                }

                #[test]
                fn invariants_hold_at_every_step_of_a_booking() {
                    run_all_steps(CallKind::Keyed, &[Fault::$fault]);
                }
            }
        )*
    };
}

fn run_all_steps(kind: CallKind, faults: &[Fault]) {
    for step in [Step::Queued, Step::Dispatched, Step::Admitted, Step::Running, Step::Answered] {
        for seed in SEEDS {
            run_case(kind, step, faults, seed);
        }
    }
}

matrix! {
    KillSidecar: kill_sidecar;
    RestartSidecar: restart_sidecar;
    PauseSidecar: pause_sidecar;
    KillRouter: kill_router;
    RestartRouter: restart_router;
    PauseRouter: pause_router;
    PartitionRouterFromSidecars: partition_router_from_sidecars;
    PartitionSidecarFromPlatform: partition_sidecar_from_platform;
    BlackholeSidecar: blackhole_sidecar;
    BlackholeRouter: blackhole_router;
    PlatformDown: platform_down;
    PlatformSlow: slow_platform;
    LostPlatformResponses: lost_platform_responses;
    SuddenColdStart: sudden_cold_start;
    UpstreamUnreachable: upstream_unreachable;
    Flood: flood;
    LossyLinks: lossy_links;
    DuplicatingLinks: duplicating_links;
}

/// Faults that are injected in pairs into bookings.
const PAIRED_FAULTS: [Fault; 9] = [
    Fault::KillSidecar,
    Fault::RestartSidecar,
    Fault::PauseSidecar,
    Fault::RestartRouter,
    Fault::PartitionRouterFromSidecars,
    Fault::BlackholeSidecar,
    Fault::PlatformDown,
    Fault::PlatformSlow,
    Fault::LostPlatformResponses,
];

macro_rules! pairs {
    ($($name:ident: $step:ident;)*) => {
        $(
            #[test]
            fn $name() {
                for (index, first) in PAIRED_FAULTS.into_iter().enumerate() {
                    for second in PAIRED_FAULTS.into_iter().skip(index + 1) {
                        run_case(CallKind::Keyed, Step::$step, &[first, second], 21);
                    }
                }
            }
        )*
    };
}

pairs! {
    invariants_hold_under_two_faults_while_a_booking_is_dispatched: Dispatched;
    invariants_hold_under_two_faults_while_a_booking_is_admitted: Admitted;
    invariants_hold_under_two_faults_while_a_booking_runs: Running;
}

/// The router asks a few sidecars with free slots first. If these are paused, it must ask others
/// before it notices that they are unresponsive.
#[test]
fn request_is_served_when_sidecars_with_free_slots_are_paused() {
    let topology = Topology { runners: 6, ..Topology::small() };
    let options = FleetOptions { seed: 22, ..FleetOptions::default() };
    let mut fleet = topology.start(options);
    for name in &topology.runner_names()[1..] {
        fleet.pause(name);
    }
    let request = send_tracked_request(&mut fleet, &topology, CallKind::Idempotent);
    // This is well before the paused sidecars are considered unresponsive.
    let is_running = run_until(&mut fleet, Duration::from_secs(1), |fleet| has_run(fleet, request));

    assert!(is_running, "the request waits for paused sidecars");
}

/// A request whose only upstream stays unreachable must be refused soon, as not run.
#[test]
fn request_is_refused_when_its_only_upstream_is_unreachable() {
    for kind in [CallKind::Idempotent, CallKind::Keyed] {
        let topology = Topology { runners: 1, services: 1, ..Topology::small() };
        let options = FleetOptions { seed: 23, ..FleetOptions::default() };
        let mut fleet = topology.start(options);
        for engine in fleet.engines.values_mut() {
            engine.is_up = false;
        }
        let request = send_tracked_request(&mut fleet, &topology, kind);
        let limit = Duration::from_secs(15);
        let is_ended = run_until(&mut fleet, limit, |fleet| has_answer(fleet, request));

        assert!(is_ended, "{kind:?} got no answer");
        assert_safety(&fleet, "unreachable upstream");
    }
}

/// A router must replace control links that drop all messages while they seem open.
#[test]
fn router_with_blackholed_links_serves_again() {
    let (topology, mut fleet) = small_fleet(24);
    let router = topology.router_names().remove(0);
    fleet.blackhole(&router);
    fleet.run_for(Duration::from_secs(6));
    let workspace = topology.workspace_names().remove(0);
    let mut client = model_client(&mut fleet, &topology, &workspace, 0, 1);
    client.router_weights = vec![1, 0, 0, 0];
    client.token_range = (8, 8);
    fleet.add_client(client);
    let is_served = run_until(&mut fleet, Duration::from_secs(2), |fleet| {
        complete_answers_after(fleet, START) > 0
    });

    assert!(is_served, "the router did not serve the request");
}
