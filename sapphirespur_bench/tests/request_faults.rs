//! Every fault at every step of a request.

mod common;

use std::time::Duration;

use common::{
    add_mixed_clients, assert_always, assert_none, has_ended, has_run, last_request, run_until,
    runner_of, small_fleet, whole_after,
};
use sapphirespur_bench::client::{CallKind, Client};
use sapphirespur_bench::fleet::{Fleet, FleetOptions, PLATFORM, START};
use sapphirespur_bench::invariants::all_answered;
use sapphirespur_bench::measure::load::{booking_client, model_client};
use sapphirespur_bench::topology::Topology;
use sapphirespur_core::name::Name;

/// Time for which a passing fault lasts.
const FAULT: Duration = Duration::from_secs(8);

/// Time after which everything must have ended.
const SETTLED: Duration = Duration::from_secs(90);

/// Seeds of each cell.
const SEEDS: [u64; 2] = [11, 12];

/// Step of a request.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// It came to its router.
    Waiting,
    /// It was sent to its sidecar.
    Dispatched,
    /// Its sidecar has it, and the upstream has not.
    Admitted,
    /// The upstream runs it.
    Running,
    /// It has its final answer.
    Ended,
}

/// Fault.
#[derive(Clone, Copy, Debug)]
enum Fault {
    KillSidecar,
    RestartSidecar,
    FreezeSidecar,
    KillRouter,
    RestartRouter,
    FreezeRouter,
    CutRouterFromSidecars,
    CutSidecarFromPlatform,
    SilenceSidecar,
    SilenceRouter,
    PlatformDown,
    PlatformSlow,
    LostPlatformAnswers,
    SuddenCold,
    UpstreamGone,
    Flood,
    LossyLinks,
    RepeatingLinks,
}

/// What a fault is done to.
struct Scene {
    router: Name,
    sidecar: Name,
}

impl Fault {
    fn strike(self, fleet: &mut Fleet, topology: &Topology, scene: &Scene) {
        let (router, sidecar) = (scene.router.clone(), scene.sidecar.clone());
        match self {
            Self::KillSidecar => fleet.kill(&sidecar),
            Self::RestartSidecar => {
                fleet.kill(&sidecar);
                fleet.schedule_action(Duration::from_millis(300), move |fleet| {
                    fleet.restart(&sidecar)
                });
            }
            Self::FreezeSidecar => {
                fleet.pause(&sidecar);
                fleet.schedule_action(FAULT, move |fleet| fleet.resume(&sidecar));
            }
            Self::KillRouter => fleet.kill(&router),
            Self::RestartRouter => {
                fleet.kill(&router);
                fleet.schedule_action(Duration::from_millis(300), move |fleet| {
                    fleet.restart(&router)
                });
            }
            Self::FreezeRouter => {
                fleet.pause(&router);
                fleet.schedule_action(FAULT, move |fleet| fleet.resume(&router));
            }
            Self::CutRouterFromSidecars => {
                let sidecars = [topology.runner_names(), topology.service_names()].concat();
                fleet.partition(&[router], &sidecars);
                fleet.schedule_action(FAULT, Fleet::heal_partitions);
            }
            Self::CutSidecarFromPlatform => {
                fleet.partition(&[sidecar], &[Name::new(PLATFORM)]);
                fleet.schedule_action(FAULT, Fleet::heal_partitions);
            }
            Self::SilenceSidecar => fleet.blackhole(&sidecar),
            Self::SilenceRouter => fleet.blackhole(&router),
            Self::PlatformDown => {
                fleet.platform.fault.is_down = true;
                fleet.schedule_action(FAULT, |fleet| fleet.platform.fault.is_down = false);
            }
            Self::PlatformSlow => {
                fleet.platform.fault.delay = Duration::from_millis(1_400);
                fleet.schedule_action(FAULT, |fleet| fleet.platform.fault.delay = Duration::ZERO);
            }
            Self::LostPlatformAnswers => fleet.platform.fault.responses_to_lose = 3,
            Self::SuddenCold => {
                let now = fleet.now;
                for engine in fleet.engines.values_mut() {
                    engine.params.cold_duration = FAULT;
                    engine.reset_to_cold(now);
                }
            }
            Self::UpstreamGone => {
                set_engine(fleet, &sidecar, false);
                fleet.schedule_action(FAULT, move |fleet| set_engine(fleet, &sidecar, true));
            }
            Self::Flood => {
                let workspace = topology.workspace_names().remove(0);
                let mut flood = model_client(fleet, topology, &workspace, 0, 400);
                flood.until = fleet.now + FAULT;
                flood.token_range = (8, 80);
                fleet.add_client(flood);
            }
            Self::LossyLinks => {
                fleet.links.loss_per_mille = 200;
                fleet.schedule_action(FAULT, |fleet| fleet.links.loss_per_mille = 0);
            }
            Self::RepeatingLinks => {
                fleet.links.duplication_per_mille = 300;
                fleet.schedule_action(FAULT, |fleet| fleet.links.duplication_per_mille = 0);
            }
        }
    }

    /// Tells whether the struck node stays away, so that its callers need another one.
    fn is_lasting(self) -> bool {
        matches!(self, Self::KillSidecar | Self::KillRouter)
    }
}

fn set_engine(fleet: &mut Fleet, sidecar: &Name, is_up: bool) {
    if let Some(engine) = fleet.engines.get_mut(sidecar) {
        engine.is_up = is_up;
    }
}

/// Runs one cell: a request of its own is brought to `step`, then `faults` strike.
fn run_cell(kind: CallKind, step: Step, faults: &[Fault], seed: u64) {
    let what = format!("{kind:?} {step:?} {faults:?} seed {seed}");
    let (topology, mut fleet) = small_fleet(seed);
    add_mixed_clients(&mut fleet, &topology, Duration::from_secs(40));
    fleet.run_for(Duration::from_secs(5));
    let request = send_own(&mut fleet, &topology, kind);
    let is_reached =
        run_until(&mut fleet, Duration::from_secs(20), |fleet| is_at(fleet, request, step));
    assert!(is_reached, "{what}: the step was not reached");

    let scene = scene_of(&fleet, &topology, request, kind);
    for fault in faults {
        fault.strike(&mut fleet, &topology, &scene);
    }
    fleet.run_for(FAULT);
    let healed = fleet.now;
    fleet.run_for(SETTLED);

    assert_always(&fleet, &what);
    assert_none(&all_answered(&fleet.history, healed), &what);
    let whole = whole_after(&fleet, healed);
    let lasting = faults.iter().filter(|fault| fault.is_lasting()).count();
    assert!(whole > 20 || lasting > 1, "{what}: only {whole} answers after the fault");
}

/// Sends the request that the cell is about and returns its number.
fn send_own(fleet: &mut Fleet, topology: &Topology, kind: CallKind) -> u64 {
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
    let is_own = |fleet: &Fleet| {
        let request = last_request(fleet)?;
        let entry = fleet.requests.get(&request)?;
        (Some(request) > before && entry.tokens == 64).then_some(request)
    };
    fleet.add_client(client);
    let mut found = None;
    run_until(fleet, Duration::from_secs(1), |fleet| {
        found = is_own(fleet);
        found.is_some()
    });

    found.expect("the request is sent")
}

fn is_at(fleet: &Fleet, request: u64, step: Step) -> bool {
    match step {
        Step::Waiting => fleet.requests.contains_key(&request),
        Step::Dispatched => fleet.is_dispatched(request),
        Step::Admitted => fleet.is_admitted(request) || has_run(fleet, request),
        Step::Running => has_run(fleet, request),
        Step::Ended => has_ended(fleet, request),
    }
}

fn scene_of(fleet: &Fleet, topology: &Topology, request: u64, kind: CallKind) -> Scene {
    let some_sidecar = match kind {
        CallKind::Idempotent => topology.runner_names().remove(0),
        CallKind::Keyed | CallKind::Unkeyed => topology.service_names().remove(0),
    };
    let entry = fleet.requests.get(&request);
    let router = entry.map_or_else(|| topology.router_names().remove(0), |r| r.router.clone());
    let sidecar = fleet
        .request_sidecar(request)
        .or_else(|| runner_of(fleet, request))
        .unwrap_or(some_sidecar);

    Scene { router, sidecar }
}

macro_rules! matrix {
    ($($fault:ident: $name:ident;)*) => {
        $(
            mod $name {
                use super::*;

                #[test]
                fn at_every_step_of_a_model_call() {
                    run_row(CallKind::Idempotent, &[Fault::$fault]);
                }

                #[test]
                fn at_every_step_of_a_payment_without_a_key() {
                    run_row(CallKind::Unkeyed, &[Fault::$fault]);
                }

                #[test]
                fn at_every_step_of_a_booking() {
                    run_row(CallKind::Keyed, &[Fault::$fault]);
                }
            }
        )*
    };
}

fn run_row(kind: CallKind, faults: &[Fault]) {
    for step in [Step::Waiting, Step::Dispatched, Step::Admitted, Step::Running, Step::Ended] {
        for seed in SEEDS {
            run_cell(kind, step, faults, seed);
        }
    }
}

matrix! {
    KillSidecar: kill_sidecar;
    RestartSidecar: restart_sidecar;
    FreezeSidecar: freeze_sidecar;
    KillRouter: kill_router;
    RestartRouter: restart_router;
    FreezeRouter: freeze_router;
    CutRouterFromSidecars: cut_router_from_sidecars;
    CutSidecarFromPlatform: cut_sidecar_from_platform;
    SilenceSidecar: silence_sidecar;
    SilenceRouter: silence_router;
    PlatformDown: platform_down;
    PlatformSlow: platform_slow;
    LostPlatformAnswers: lost_platform_answers;
    SuddenCold: sudden_cold;
    UpstreamGone: upstream_gone;
    Flood: flood;
    LossyLinks: lossy_links;
    RepeatingLinks: repeating_links;
}

/// Faults whose pairs strike bookings.
const PAIRED: [Fault; 9] = [
    Fault::KillSidecar,
    Fault::RestartSidecar,
    Fault::FreezeSidecar,
    Fault::RestartRouter,
    Fault::CutRouterFromSidecars,
    Fault::SilenceSidecar,
    Fault::PlatformDown,
    Fault::PlatformSlow,
    Fault::LostPlatformAnswers,
];

macro_rules! pairs {
    ($($name:ident: $step:ident;)*) => {
        $(
            #[test]
            fn $name() {
                for (index, first) in PAIRED.into_iter().enumerate() {
                    for second in PAIRED.into_iter().skip(index + 1) {
                        run_cell(CallKind::Keyed, Step::$step, &[first, second], 21);
                    }
                }
            }
        )*
    };
}

pairs! {
    pairs_of_faults_while_a_booking_is_dispatched: Dispatched;
    pairs_of_faults_while_a_booking_is_admitted: Admitted;
    pairs_of_faults_while_a_booking_runs: Running;
}

/// A request does not wait for the sidecars that were asked first and answer nothing.
#[test]
fn a_request_is_served_though_the_sidecars_that_seem_free_are_frozen() {
    let topology = Topology { runners: 6, ..Topology::small() };
    let options = FleetOptions { seed: 22, ..FleetOptions::default() };
    let mut fleet = topology.start(options);
    for name in &topology.runner_names()[1..] {
        fleet.pause(name);
    }
    let request = send_own(&mut fleet, &topology, CallKind::Idempotent);
    // Well before the silence of the frozen ones is noticed.
    let is_running = run_until(&mut fleet, Duration::from_secs(1), |fleet| has_run(fleet, request));

    assert!(is_running, "the request waits for frozen sidecars");
}

/// A request for an upstream that is gone for good ends soon and as not run.
#[test]
fn a_request_for_the_only_upstream_which_is_gone_is_refused() {
    for kind in [CallKind::Idempotent, CallKind::Keyed] {
        let topology = Topology { runners: 1, services: 1, ..Topology::small() };
        let options = FleetOptions { seed: 23, ..FleetOptions::default() };
        let mut fleet = topology.start(options);
        for engine in fleet.engines.values_mut() {
            engine.is_up = false;
        }
        let request = send_own(&mut fleet, &topology, kind);
        let limit = Duration::from_secs(15);
        let is_ended = run_until(&mut fleet, limit, |fleet| has_ended(fleet, request));

        assert!(is_ended, "{kind:?} has no answer");
        assert_always(&fleet, "gone");
    }
}

/// Control links that went silent are replaced, so that their router serves again.
#[test]
fn a_router_whose_links_went_silent_serves_again() {
    let (topology, mut fleet) = small_fleet(24);
    let router = topology.router_names().remove(0);
    fleet.blackhole(&router);
    fleet.run_for(Duration::from_secs(6));
    let workspace = topology.workspace_names().remove(0);
    let mut client = model_client(&mut fleet, &topology, &workspace, 0, 1);
    client.router_weights = vec![1, 0, 0, 0];
    client.token_range = (8, 8);
    fleet.add_client(client);
    let is_served =
        run_until(&mut fleet, Duration::from_secs(2), |fleet| whole_after(fleet, START) > 0);

    assert!(is_served, "the router does not serve");
}
