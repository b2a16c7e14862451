//! Sidecar on its own: permits, and the lifecycle and reported status of attempts.

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

    Config::default().with_changes(&changes).expect("the configuration is valid")
}

/// Sidecar with one linked router and a settable clock.
struct TestSidecar {
    sidecar: Sidecar,
    now: Time,
}

impl TestSidecar {
    fn new() -> Self {
        let sidecar = Sidecar::new(START, name("e"), INCARNATION, SidecarPolicy::default());
        let mut sidecar = Self { sidecar, now: START };
        sidecar.input(SidecarInput::LinkUp { peer: name("r") });
        sidecar.receive(Message::ConfigFull(ConfigFull { config: config() }));
        sidecar
    }

    fn input(&mut self, input: SidecarInput) -> Vec<SidecarOutput> {
        let mut out = Vec::new();
        self.sidecar.handle(self.now, input, &mut out);
        out
    }

    fn receive(&mut self, message: Message) -> Vec<SidecarOutput> {
        self.input(SidecarInput::Message { from: name("r"), message })
    }

    /// Sends a demand of `count` waiting requests and returns the numbers of the issued permits.
    fn send_demand(&mut self, sequence: u64, count: u32) -> Vec<u64> {
        let entry = QueueDemand {
            workspace: name("w"),
            class: name("ordinary"),
            count,
            head_age: Duration::ZERO,
            head_cost: 100,
        };
        let demand = Demand { sequence, full: sequence == 1, entries: vec![entry] };
        issued_permits(&self.receive(Message::Demand(demand)))
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

    fn query(&mut self, permit: u64, counter: u64) -> AttemptStatus {
        let out = self.input(SidecarInput::QueryAttempt { attempt: attempt(counter), permit });
        out.iter()
            .find_map(|output| match output {
                SidecarOutput::AttemptStatus { status, .. } => Some(*status),
                _ => None,
            })
            .expect("the query is answered")
    }
}

fn attempt(counter: u64) -> AttemptId {
    AttemptId { incarnation: 7, counter }
}

fn issued_permits(out: &[SidecarOutput]) -> Vec<u64> {
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

fn refusal_outcome(out: &[SidecarOutput]) -> Option<Outcome> {
    out.iter().find_map(|output| match output {
        SidecarOutput::Refuse { refusal, .. } => Some(refusal.outcome),
        _ => None,
    })
}

#[test]
fn permits_are_limited_to_the_cold_slots() {
    let mut sidecar = TestSidecar::new();
    assert_eq!(sidecar.send_demand(1, 10).len(), 2);
}

#[test]
fn used_permit_is_refused() {
    let mut sidecar = TestSidecar::new();
    let permit = sidecar.send_demand(1, 1)[0];
    assert!(is_called(&sidecar.start(permit, 1), 1));
    let out = sidecar.start(permit, 2);
    assert!(!is_called(&out, 2));
    assert_eq!(refusal_outcome(&out), Some(Outcome::NotRun));
}

#[test]
fn expired_permit_is_refused_and_its_slot_is_reissued() {
    let mut sidecar = TestSidecar::new();
    let permits = sidecar.send_demand(1, 10);
    sidecar.now = sidecar.now + Duration::from_millis(500);
    let reissued = issued_permits(&sidecar.input(SidecarInput::Tick));
    assert_eq!(reissued.len(), 2);
    assert_eq!(refusal_outcome(&sidecar.start(permits[0], 1)), Some(Outcome::NotRun));
}

#[test]
fn returned_permit_frees_its_slot() {
    let mut sidecar = TestSidecar::new();
    let permits = sidecar.send_demand(1, 2);
    sidecar.receive(Message::PermitReturn(PermitReturn { id: permits[0], remaining: 0 }));
    assert_eq!(sidecar.send_demand(2, 3).len(), 1);
}

#[test]
fn started_attempt_is_reported_as_running() {
    let mut sidecar = TestSidecar::new();
    let permit = sidecar.send_demand(1, 1)[0];
    sidecar.start(permit, 1);
    assert_eq!(sidecar.query(permit, 1), AttemptStatus::Running);
}

#[test]
fn finished_attempt_is_reported_as_unknown() {
    let mut sidecar = TestSidecar::new();
    let permit = sidecar.send_demand(1, 1)[0];
    sidecar.start(permit, 1);
    let event = UpstreamEvent::Finished { cost: Some(100), response: None };
    sidecar.input(SidecarInput::Upstream { attempt: attempt(1), event });
    assert_eq!(sidecar.query(permit, 1), AttemptStatus::Unknown);
}

#[test]
fn attempt_queried_before_its_start_never_starts() {
    let mut sidecar = TestSidecar::new();
    let permit = sidecar.send_demand(1, 1)[0];
    assert_eq!(sidecar.query(permit, 1), AttemptStatus::NeverStarted);
    let out = sidecar.start(permit, 1);
    assert!(!is_called(&out, 1));
    assert_eq!(refusal_outcome(&out), Some(Outcome::NotRun));
}

#[test]
fn attempt_from_before_a_restart_is_reported_as_unknown() {
    let mut sidecar = TestSidecar::new();
    assert_eq!(sidecar.query(INCARNATION - 1, 1), AttemptStatus::Unknown);
}

#[test]
fn attempt_cancelled_before_its_start_never_starts() {
    let mut sidecar = TestSidecar::new();
    let permit = sidecar.send_demand(1, 1)[0];
    sidecar.input(SidecarInput::Cancel { attempt: attempt(1) });
    assert!(!is_called(&sidecar.start(permit, 1), 1));
}

#[test]
fn cancelled_attempt_is_aborted_and_frees_its_slot() {
    let mut sidecar = TestSidecar::new();
    let permits = sidecar.send_demand(1, 2);
    sidecar.start(permits[0], 1);
    let out = sidecar.input(SidecarInput::Cancel { attempt: attempt(1) });
    assert!(out.contains(&SidecarOutput::Abort { attempt: attempt(1) }));
    assert_eq!(sidecar.send_demand(2, 3).len(), 1);
}

macro_rules! failure_tests {
    ($($name:ident: $failure:ident => $outcome:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let mut sidecar = TestSidecar::new();
                let permit = sidecar.send_demand(1, 1)[0];
                sidecar.start(permit, 1);
                let event = UpstreamEvent::Failed(UpstreamFailure::$failure);
                let out = sidecar.input(SidecarInput::Upstream { attempt: attempt(1), event });
                assert_eq!(refusal_outcome(&out), Some(Outcome::$outcome));
            }
        )*
    };
}

failure_tests! {
    unsent_call_is_refused_as_not_run: NotSent => NotRun;
    idempotent_call_to_overloaded_upstream_is_refused_as_not_run: Overloaded => NotRun;
    call_with_incomplete_response_is_refused_as_unknown: Incomplete => Unknown;
}

#[test]
fn sidecar_without_configuration_issues_no_permits() {
    let mut sidecar = Sidecar::new(START, name("e"), INCARNATION, SidecarPolicy::default());
    let mut out = Vec::new();
    sidecar.handle(START, SidecarInput::LinkUp { peer: name("r") }, &mut out);
    let mut sidecar = TestSidecar { sidecar, now: START };
    assert_eq!(sidecar.send_demand(1, 5), Vec::<u64>::new());
}

#[test]
fn lost_demand_message_triggers_resync() {
    let mut sidecar = TestSidecar::new();
    sidecar.send_demand(1, 1);
    let demand = Demand { sequence: 3, full: false, entries: Vec::new() };
    let out = sidecar.receive(Message::Demand(demand));
    assert!(out.iter().any(is_resync));
}

#[test]
fn heartbeat_after_lost_demand_message_triggers_resync() {
    let mut sidecar = TestSidecar::new();
    sidecar.send_demand(1, 1);
    let state = NodeState::Router { demand_sequence: 2, draining: false };
    let heartbeat = Heartbeat { incarnation: 7, revision: 1, state };
    let out = sidecar.receive(Message::Heartbeat(heartbeat));
    assert!(out.iter().any(is_resync));
}

#[test]
fn duplicate_demand_message_is_ignored() {
    let mut sidecar = TestSidecar::new();
    let permits = sidecar.send_demand(1, 1);
    sidecar.start(permits[0], 1);
    assert_eq!(sidecar.send_demand(1, 1), Vec::<u64>::new());
}
