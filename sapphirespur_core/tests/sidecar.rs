//! A sidecar by itself: permits, fates of attempts and what it says of them.

use std::time::Duration;

use sapphirespur_core::config::{
    Change, Class, Config, DataCentre, DataCentreState, Model, Target, Upstream, UpstreamState,
    Workspace,
};
use sapphirespur_core::hash::sha256_hex;
use sapphirespur_core::message::{
    ConfigFull, Demand, Heartbeat, Message, NodeState, PermitReturn, QueueDemand,
};
use sapphirespur_core::name::Name;
use sapphirespur_core::request::{AttemptId, Outcome, Repeatability};
use sapphirespur_core::sidecar::{
    AttemptStart, AttemptStatus, Sidecar, SidecarInput, SidecarOutput, SidecarPolicy,
    UpstreamEvent, UpstreamFailure,
};
use sapphirespur_core::time::Time;

const START: Time = Time::from_micros(86_400_000_000);
const INCARNATION: u64 = 1_000_000;

fn name(text: &str) -> Name {
    Name::new(text)
}

fn config() -> Config {
    let data_centre = DataCentre { state: DataCentreState::In };
    let workspace = Workspace { share: 1, key_digests: vec![sha256_hex(b"w")] };
    let upstream = Upstream {
        target: Target::Model(name("writer")),
        data_centre: name("milano"),
        address: name("127.0.0.1:1"),
        control: name("127.0.0.1:2"),
        slots: 4,
        cold_slots: 2,
        state: UpstreamState::Active,
    };
    let changes = [
        Change::SetClass(name("ordinary"), Class { weight: 1, default: true }),
        Change::SetDataCentre(name("milano"), data_centre),
        Change::SetModel(name("writer"), Model {}),
        Change::SetWorkspace(name("w"), workspace),
        Change::SetUpstream(name("e"), upstream),
    ];

    Config::default().with_changes(&changes).expect("the configuration is right")
}

/// Sidecar with one router and a clock.
struct Scene {
    sidecar: Sidecar,
    now: Time,
}

impl Scene {
    fn new() -> Self {
        let sidecar = Sidecar::new(START, name("e"), INCARNATION, SidecarPolicy::default());
        let mut scene = Self { sidecar, now: START };
        scene.input(SidecarInput::LinkUp { peer: name("r") });
        scene.say(Message::ConfigFull(ConfigFull { config: config() }));
        scene
    }

    fn input(&mut self, input: SidecarInput) -> Vec<SidecarOutput> {
        let mut out = Vec::new();
        self.sidecar.handle(self.now, input, &mut out);
        out
    }

    fn say(&mut self, message: Message) -> Vec<SidecarOutput> {
        self.input(SidecarInput::Message { from: name("r"), message })
    }

    /// Tells of waiting requests and returns the permits that come back.
    fn ask(&mut self, sequence: u64, count: u32) -> Vec<u64> {
        let entry = QueueDemand {
            workspace: name("w"),
            class: name("ordinary"),
            count,
            head_age: Duration::ZERO,
            head_cost: 100,
        };
        let demand = Demand { sequence, full: sequence == 1, entries: vec![entry] };
        permits_of(&self.say(Message::Demand(demand)))
    }

    fn start(&mut self, permit: u64, counter: u64) -> Vec<SidecarOutput> {
        self.input(SidecarInput::Start(AttemptStart {
            attempt: attempt(counter),
            permit,
            cost: 100,
            repeatability: Repeatability::Idempotent,
            wall_s: 1_800_000_000,
        }))
    }

    fn status(&mut self, permit: u64, counter: u64) -> AttemptStatus {
        let out = self.input(SidecarInput::QueryAttempt { attempt: attempt(counter), permit });
        out.iter()
            .find_map(|output| match output {
                SidecarOutput::AttemptStatus { status, .. } => Some(*status),
                _ => None,
            })
            .expect("the question is answered")
    }
}

fn attempt(counter: u64) -> AttemptId {
    AttemptId { incarnation: 7, counter }
}

fn permits_of(out: &[SidecarOutput]) -> Vec<u64> {
    out.iter()
        .filter_map(|output| match output {
            SidecarOutput::Send { message: Message::Permit(permit), .. } => Some(permit.id),
            _ => None,
        })
        .collect()
}

fn is_called(out: &[SidecarOutput], counter: u64) -> bool {
    out.contains(&SidecarOutput::Call { attempt: attempt(counter) })
}

fn is_resync(output: &SidecarOutput) -> bool {
    matches!(output, SidecarOutput::Send { message: Message::DemandResync(_), .. })
}

fn refused_as(out: &[SidecarOutput]) -> Option<Outcome> {
    out.iter().find_map(|output| match output {
        SidecarOutput::Refuse { refusal, .. } => Some(refusal.outcome),
        _ => None,
    })
}

#[test]
fn no_more_permits_are_issued_than_a_cold_upstream_bears() {
    let mut scene = Scene::new();
    assert_eq!(scene.ask(1, 10).len(), 2);
}

#[test]
fn a_permit_is_spent_once() {
    let mut scene = Scene::new();
    let permit = scene.ask(1, 1)[0];
    assert!(is_called(&scene.start(permit, 1), 1));
    let out = scene.start(permit, 2);
    assert!(!is_called(&out, 2));
    assert_eq!(refused_as(&out), Some(Outcome::NotRun));
}

#[test]
fn an_expired_permit_is_refused_and_its_slot_is_free_again() {
    let mut scene = Scene::new();
    let permits = scene.ask(1, 10);
    scene.now = scene.now + Duration::from_millis(500);
    let renewed = permits_of(&scene.input(SidecarInput::Tick));
    assert_eq!(renewed.len(), 2);
    assert_eq!(refused_as(&scene.start(permits[0], 1)), Some(Outcome::NotRun));
}

#[test]
fn a_returned_permit_frees_its_slot() {
    let mut scene = Scene::new();
    let permits = scene.ask(1, 2);
    scene.say(Message::PermitReturn(PermitReturn { id: permits[0], remaining: 0 }));
    assert_eq!(scene.ask(2, 3).len(), 1);
}

#[test]
fn an_attempt_under_way_is_known() {
    let mut scene = Scene::new();
    let permit = scene.ask(1, 1)[0];
    scene.start(permit, 1);
    assert_eq!(scene.status(permit, 1), AttemptStatus::Running);
}

#[test]
fn an_attempt_that_ended_may_have_run() {
    let mut scene = Scene::new();
    let permit = scene.ask(1, 1)[0];
    scene.start(permit, 1);
    let event = UpstreamEvent::Finished { cost: Some(100), response: None };
    scene.input(SidecarInput::Upstream { attempt: attempt(1), event });
    assert_eq!(scene.status(permit, 1), AttemptStatus::Unknown);
}

#[test]
fn an_attempt_that_is_asked_after_before_it_starts_never_starts() {
    let mut scene = Scene::new();
    let permit = scene.ask(1, 1)[0];
    assert_eq!(scene.status(permit, 1), AttemptStatus::NeverStarted);
    let out = scene.start(permit, 1);
    assert!(!is_called(&out, 1));
    assert_eq!(refused_as(&out), Some(Outcome::NotRun));
}

#[test]
fn an_attempt_of_a_former_life_may_have_run() {
    let mut scene = Scene::new();
    assert_eq!(scene.status(INCARNATION - 1, 1), AttemptStatus::Unknown);
}

#[test]
fn a_cancelled_attempt_that_has_not_started_never_starts() {
    let mut scene = Scene::new();
    let permit = scene.ask(1, 1)[0];
    scene.input(SidecarInput::Cancel { attempt: attempt(1) });
    assert!(!is_called(&scene.start(permit, 1), 1));
}

#[test]
fn a_cancelled_attempt_is_broken_off_and_frees_its_slot() {
    let mut scene = Scene::new();
    let permits = scene.ask(1, 2);
    scene.start(permits[0], 1);
    let out = scene.input(SidecarInput::Cancel { attempt: attempt(1) });
    assert!(out.contains(&SidecarOutput::Abort { attempt: attempt(1) }));
    assert_eq!(scene.ask(2, 3).len(), 1);
}

macro_rules! failures {
    ($($name:ident: $failure:ident => $outcome:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let mut scene = Scene::new();
                let permit = scene.ask(1, 1)[0];
                scene.start(permit, 1);
                let event = UpstreamEvent::Failed(UpstreamFailure::$failure);
                let out = scene.input(SidecarInput::Upstream { attempt: attempt(1), event });
                assert_eq!(refused_as(&out), Some(Outcome::$outcome));
            }
        )*
    };
}

failures! {
    a_call_that_was_not_sent_did_not_run: NotSent => NotRun;
    a_call_that_an_engine_refused_did_not_run: Overloaded => NotRun;
    a_call_that_broke_may_have_run: Incomplete => Unknown;
}

#[test]
fn a_sidecar_without_a_configuration_issues_no_permit() {
    let mut sidecar = Sidecar::new(START, name("e"), INCARNATION, SidecarPolicy::default());
    let mut out = Vec::new();
    sidecar.handle(START, SidecarInput::LinkUp { peer: name("r") }, &mut out);
    let mut scene = Scene { sidecar, now: START };
    assert_eq!(scene.ask(1, 5), Vec::<u64>::new());
}

#[test]
fn a_lost_demand_message_is_asked_for_again() {
    let mut scene = Scene::new();
    scene.ask(1, 1);
    let entry = Demand { sequence: 3, full: false, entries: Vec::new() };
    let out = scene.say(Message::Demand(entry));
    assert!(out.iter().any(is_resync));
}

#[test]
fn a_lost_last_demand_message_shows_with_the_heartbeat() {
    let mut scene = Scene::new();
    scene.ask(1, 1);
    let state = NodeState::Router { demand_sequence: 2, draining: false };
    let heartbeat = Heartbeat { incarnation: 7, revision: 1, state };
    let out = scene.say(Message::Heartbeat(heartbeat));
    assert!(out.iter().any(is_resync));
}

#[test]
fn a_repeated_demand_message_is_ignored() {
    let mut scene = Scene::new();
    let permits = scene.ask(1, 1);
    scene.start(permits[0], 1);
    assert_eq!(scene.ask(1, 1), Vec::<u64>::new());
}
