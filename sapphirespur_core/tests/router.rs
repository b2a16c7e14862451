//! A router by itself: what it tells sidecars, and what it does with their permits.

use std::time::Duration;

use sapphirespur_core::config::{
    Change, Class, Config, DataCentre, DataCentreState, Model, Target, Upstream, UpstreamState,
    Workspace,
};
use sapphirespur_core::hash::sha256_hex;
use sapphirespur_core::limiter::Phase;
use sapphirespur_core::message::{
    Demand, Heartbeat, Message, NodeState, Permit, PermitReturn, SidecarState,
};
use sapphirespur_core::name::Name;
use sapphirespur_core::request::{
    AttemptId, Outcome, Refusal, RefusalCode, RequestHead, RequestId,
};
use sapphirespur_core::router::{
    AttemptEvent, Dispatch, Router, RouterInput, RouterOutput, RouterPolicy,
};
use sapphirespur_core::time::Time;

const START: Time = Time::from_micros(86_400_000_000);
const SIDECARS: [&str; 2] = ["a", "b"];

fn name(text: &str) -> Name {
    Name::new(text)
}

fn config() -> Config {
    let mut changes = vec![
        Change::SetClass(name("ordinary"), Class { weight: 1, default: true }),
        Change::SetDataCentre(name("milano"), DataCentre { state: DataCentreState::In }),
        Change::SetModel(name("writer"), Model {}),
        Change::SetWorkspace(
            name("w"),
            Workspace { share: 1, key_digests: vec![sha256_hex(b"key")] },
        ),
    ];
    changes.extend(SIDECARS.map(|sidecar| {
        let upstream = Upstream {
            target: Target::Model(name("writer")),
            data_centre: name("milano"),
            address: name(sidecar),
            control: name(sidecar),
            slots: 8,
            cold_slots: 2,
            state: UpstreamState::Active,
        };
        Change::SetUpstream(name(sidecar), upstream)
    }));

    Config::default().with_changes(&changes).expect("the configuration is right")
}

/// Router with two sidecars and a clock.
struct Scene {
    router: Router,
    now: Time,
    next_request: u64,
    next_permit: u64,
}

impl Scene {
    fn new() -> Self {
        let policy = RouterPolicy::default();
        let router = Router::new(START, name("r"), name("milano"), 7, policy);
        let mut scene = Self { router, now: START, next_request: 0, next_permit: 0 };
        scene.input(RouterInput::ConfigUpdated(config()));
        for sidecar in SIDECARS {
            scene.input(RouterInput::LinkUp { peer: name(sidecar) });
            scene.beat(sidecar);
        }
        scene
    }

    fn input(&mut self, input: RouterInput) -> Vec<RouterOutput> {
        let mut out = Vec::new();
        self.router.handle(self.now, input, &mut out);
        out
    }

    fn beat(&mut self, sidecar: &str) -> Vec<RouterOutput> {
        let state = NodeState::Sidecar(SidecarState {
            upstream: name(sidecar),
            phase: Phase::Warm,
            limit: 8,
            free: 8,
            serving: true,
        });
        let message = Message::Heartbeat(Heartbeat { incarnation: 1, revision: 1, state });
        self.input(RouterInput::Message { from: name(sidecar), message })
    }

    fn request(&mut self) -> Vec<RouterOutput> {
        self.next_request += 1;
        let head = RequestHead {
            key_digest: Some(sha256_hex(b"key")),
            target: Target::Model(name("writer")),
            method: "POST".to_owned(),
            path: "/v1/completions".to_owned(),
            class: None,
            cost_hint: Some(100),
            idempotency_key: None,
            fingerprint: "f".to_owned(),
        };
        self.input(RouterInput::Request { id: RequestId(self.next_request), head })
    }

    fn permit(&mut self, sidecar: &str) -> Vec<RouterOutput> {
        self.next_permit += 1;
        let permit = Permit { id: self.next_permit, workspace: name("w"), class: name("ordinary") };
        let message = Message::Permit(permit);
        self.input(RouterInput::Message { from: name(sidecar), message })
    }

    fn dispatch(&mut self, sidecar: &str) -> Dispatch {
        let out = self.permit(sidecar);
        out.into_iter()
            .find_map(|output| match output {
                RouterOutput::Dispatch(dispatch) => Some(dispatch),
                _ => None,
            })
            .expect("the permit is spent")
    }

    fn attempt(&mut self, dispatch: &Dispatch, event: AttemptEvent) -> Vec<RouterOutput> {
        let (id, attempt) = (dispatch.id, dispatch.attempt);
        self.input(RouterInput::Attempt { id, attempt, event })
    }

    fn wait(&mut self, span: Duration) -> Vec<RouterOutput> {
        self.now = self.now + span;
        self.input(RouterInput::Tick)
    }
}

/// Returns the demand that was told to a sidecar.
fn told<'a>(out: &'a [RouterOutput], sidecar: &str) -> Option<&'a Demand> {
    out.iter().find_map(|output| match output {
        RouterOutput::Send { to, message: Message::Demand(demand) } if to.as_str() == sidecar => {
            Some(demand)
        }
        _ => None,
    })
}

fn refusal_of(out: &[RouterOutput]) -> Option<Refusal> {
    out.iter().find_map(|output| match output {
        RouterOutput::Refuse { refusal, .. } => Some(*refusal),
        _ => None,
    })
}

fn broken() -> AttemptEvent {
    AttemptEvent::Refused(Refusal::outcome_unknown(RefusalCode::UpstreamFailed))
}

fn not_sent() -> AttemptEvent {
    AttemptEvent::Refused(Refusal::retryable(RefusalCode::NoUpstream, Duration::from_secs(1)))
}

#[test]
fn first_queued_request_sends_demand_immediately_and_later_ones_do_not() {
    let mut scene = Scene::new();
    let out = scene.request();
    assert_eq!(told(&out, "a").map(|demand| demand.entries[0].count), Some(1));
    assert!(told(&scene.request(), "a").is_none());
}

#[test]
fn queue_growth_is_sent_with_the_next_refresh() {
    let mut scene = Scene::new();
    for _ in 0..5 {
        scene.request();
    }
    let out = scene.wait(Duration::from_millis(500));
    assert_eq!(told(&out, "a").map(|demand| demand.entries[0].count), Some(5));
}

/// A returned permit tells the sidecar that the queue is empty, so it must hear of new work.
#[test]
fn new_demand_is_sent_immediately_after_a_permit_return() {
    let mut scene = Scene::new();
    for _ in 0..5 {
        scene.request();
    }
    scene.wait(Duration::from_millis(500));
    for _ in 0..5 {
        scene.dispatch("b");
    }
    let out = scene.permit("a");
    let returned = Message::PermitReturn(PermitReturn { id: scene.next_permit, remaining: 0 });
    assert!(out.contains(&RouterOutput::Send { to: name("a"), message: returned }));

    assert!(told(&scene.request(), "a").is_some(), "the sidecar is not told");
}

#[test]
fn refusal_reports_unknown_outcome_if_any_attempt_may_have_run() {
    let mut scene = Scene::new();
    scene.request();
    let first = scene.dispatch("a");
    assert_eq!(refusal_of(&scene.attempt(&first, broken())), None);
    let second = scene.dispatch("b");
    assert_eq!(refusal_of(&scene.attempt(&second, not_sent())), None);

    let out = scene.wait(Duration::from_secs(31));
    let refusal = refusal_of(&out).expect("the request is given up");
    assert_eq!(refusal.outcome, Outcome::Unknown);
}

#[test]
fn refusal_reports_not_run_if_no_attempt_ran() {
    let mut scene = Scene::new();
    scene.request();
    let first = scene.dispatch("a");
    scene.attempt(&first, not_sent());

    let out = scene.wait(Duration::from_secs(31));
    let refusal = refusal_of(&out).expect("the request is given up");
    assert_eq!((refusal.outcome, refusal.retry_after.is_some()), (Outcome::NotRun, true));
}

#[test]
fn events_of_superseded_attempts_are_ignored() {
    let mut scene = Scene::new();
    scene.request();
    let first = scene.dispatch("a");
    scene.attempt(&first, not_sent());
    let second = scene.dispatch("b");
    assert_ne!(first.attempt, second.attempt);
    scene.attempt(&first, AttemptEvent::Finished);
    assert_eq!(scene.router.status(scene.now).serving, 1);
    scene.attempt(&second, AttemptEvent::Finished);
    assert_eq!(scene.router.status(scene.now).serving, 0);
}

#[test]
fn partially_delivered_answer_is_not_retried() {
    let mut scene = Scene::new();
    scene.request();
    let first = scene.dispatch("a");
    scene.attempt(&first, AttemptEvent::Delivering);
    let out = scene.attempt(&first, AttemptEvent::AnswerLost);
    assert_eq!(refusal_of(&out).map(|refusal| refusal.code), Some(RefusalCode::AnswerLost));
}

#[test]
fn failure_retries_are_limited_by_the_retry_budget() {
    let mut scene = Scene::new();
    let mut refused = 0;
    for _ in 0..40 {
        scene.request();
        for _ in 0..40 {
            let dispatch = scene.dispatch("a");
            if refusal_of(&scene.attempt(&dispatch, broken())).is_some() {
                refused += 1;
                break;
            }
        }
    }
    assert_eq!(refused, 40);
    // Ten saved retries and one for each ten requests.
    let attempts = scene.next_permit;
    assert!(attempts <= 40 + 10 + 4, "{attempts} attempts for 40 requests");
}

#[test]
fn attempt_ids_are_unique() {
    let mut scene = Scene::new();
    scene.request();
    scene.request();
    let attempts: Vec<AttemptId> = ["a", "b"].map(|s| scene.dispatch(s).attempt).to_vec();
    assert_ne!(attempts[0], attempts[1]);
}

#[test]
fn requests_are_refused_immediately_without_serving_sidecars() {
    let mut scene = Scene::new();
    for sidecar in SIDECARS {
        scene.input(RouterInput::LinkDown { peer: name(sidecar) });
    }
    let refusal = refusal_of(&scene.request()).expect("refused");
    assert_eq!((refusal.code, refusal.outcome), (RefusalCode::NoUpstream, Outcome::NotRun));
    assert!(refusal.retry_after.is_some());
}
