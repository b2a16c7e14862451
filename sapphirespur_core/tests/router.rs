//! Tests of the router's state machine: the demand it sends, its use of permits and its refusals.

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

const START_TIME: Time = Time::from_micros(86_400_000_000);
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

    Config::default().with_changes(&changes).expect("the configuration is valid")
}

/// Router with two linked, serving sidecars, and the simulated time.
struct Harness {
    router: Router,
    now: Time,
    next_request: u64,
    next_permit: u64,
}

impl Harness {
    fn new() -> Self {
        let policy = RouterPolicy::default();
        let router = Router::new(START_TIME, name("r"), name("milano"), 7, policy);
        let mut harness = Self { router, now: START_TIME, next_request: 0, next_permit: 0 };
        harness.input(RouterInput::ConfigUpdated(config()));
        for sidecar in SIDECARS {
            harness.input(RouterInput::LinkUp { peer: name(sidecar) });
            harness.send_heartbeat(sidecar);
        }
        harness
    }

    fn input(&mut self, input: RouterInput) -> Vec<RouterOutput> {
        let mut out = Vec::new();
        self.router.handle(self.now, input, &mut out);
        out
    }

    fn send_heartbeat(&mut self, sidecar: &str) -> Vec<RouterOutput> {
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

    fn send_request(&mut self) -> Vec<RouterOutput> {
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

    fn send_permit(&mut self, sidecar: &str) -> Vec<RouterOutput> {
        self.next_permit += 1;
        let permit = Permit { id: self.next_permit, workspace: name("w"), class: name("ordinary") };
        let message = Message::Permit(permit);
        self.input(RouterInput::Message { from: name(sidecar), message })
    }

    fn dispatch(&mut self, sidecar: &str) -> Dispatch {
        let out = self.send_permit(sidecar);
        out.into_iter()
            .find_map(|output| match output {
                RouterOutput::Dispatch(dispatch) => Some(dispatch),
                _ => None,
            })
            .expect("the permit is used")
    }

    fn report_attempt(&mut self, dispatch: &Dispatch, event: AttemptEvent) -> Vec<RouterOutput> {
        let (id, attempt) = (dispatch.id, dispatch.attempt);
        self.input(RouterInput::Attempt { id, attempt, event })
    }

    fn advance(&mut self, duration: Duration) -> Vec<RouterOutput> {
        self.now = self.now + duration;
        self.input(RouterInput::Tick)
    }
}

/// Returns the first demand message to `sidecar`.
fn find_demand<'a>(out: &'a [RouterOutput], sidecar: &str) -> Option<&'a Demand> {
    out.iter().find_map(|output| match output {
        RouterOutput::Send { to, message: Message::Demand(demand) } if to.as_str() == sidecar => {
            Some(demand)
        }
        _ => None,
    })
}

fn find_refusal(out: &[RouterOutput]) -> Option<Refusal> {
    out.iter().find_map(|output| match output {
        RouterOutput::Refuse { refusal, .. } => Some(*refusal),
        _ => None,
    })
}

fn upstream_failed() -> AttemptEvent {
    AttemptEvent::Refused(Refusal::outcome_unknown(RefusalCode::UpstreamFailed))
}

fn no_upstream() -> AttemptEvent {
    AttemptEvent::Refused(Refusal::retryable(RefusalCode::NoUpstream, Duration::from_secs(1)))
}

#[test]
fn first_queued_request_sends_demand_immediately_and_later_ones_do_not() {
    let mut harness = Harness::new();
    let out = harness.send_request();
    assert_eq!(find_demand(&out, "a").map(|demand| demand.entries[0].count), Some(1));
    assert!(find_demand(&harness.send_request(), "a").is_none());
}

#[test]
fn queue_growth_is_sent_with_the_next_refresh() {
    let mut harness = Harness::new();
    for _ in 0..5 {
        harness.send_request();
    }
    let out = harness.advance(Duration::from_millis(500));
    assert_eq!(find_demand(&out, "a").map(|demand| demand.entries[0].count), Some(5));
}

/// A returned permit informs the sidecar that the queue is empty, so new work must be sent to it
/// without waiting for a refresh.
#[test]
fn new_demand_is_sent_immediately_after_a_permit_return() {
    let mut harness = Harness::new();
    for _ in 0..5 {
        harness.send_request();
    }
    harness.advance(Duration::from_millis(500));
    for _ in 0..5 {
        harness.dispatch("b");
    }
    let out = harness.send_permit("a");
    let returned = Message::PermitReturn(PermitReturn { id: harness.next_permit, remaining: 0 });
    assert!(out.contains(&RouterOutput::Send { to: name("a"), message: returned }));

    assert!(
        find_demand(&harness.send_request(), "a").is_some(),
        "no demand was sent to the sidecar"
    );
}

#[test]
fn refusal_reports_unknown_outcome_if_any_attempt_may_have_run() {
    let mut harness = Harness::new();
    harness.send_request();
    let first = harness.dispatch("a");
    assert_eq!(find_refusal(&harness.report_attempt(&first, upstream_failed())), None);
    let second = harness.dispatch("b");
    assert_eq!(find_refusal(&harness.report_attempt(&second, no_upstream())), None);

    let out = harness.advance(Duration::from_secs(31));
    let refusal = find_refusal(&out).expect("the request is refused");
    assert_eq!(refusal.outcome, Outcome::Unknown);
}

#[test]
fn refusal_reports_not_run_if_no_attempt_ran() {
    let mut harness = Harness::new();
    harness.send_request();
    let first = harness.dispatch("a");
    harness.report_attempt(&first, no_upstream());

    let out = harness.advance(Duration::from_secs(31));
    let refusal = find_refusal(&out).expect("the request is refused");
    assert_eq!((refusal.outcome, refusal.retry_after.is_some()), (Outcome::NotRun, true));
}

#[test]
fn events_of_superseded_attempts_are_ignored() {
    let mut harness = Harness::new();
    harness.send_request();
    let first = harness.dispatch("a");
    harness.report_attempt(&first, no_upstream());
    let second = harness.dispatch("b");
    assert_ne!(first.attempt, second.attempt);
    harness.report_attempt(&first, AttemptEvent::Finished);
    assert_eq!(harness.router.status(harness.now).serving, 1);
    harness.report_attempt(&second, AttemptEvent::Finished);
    assert_eq!(harness.router.status(harness.now).serving, 0);
}

#[test]
fn partially_delivered_answer_is_not_retried() {
    let mut harness = Harness::new();
    harness.send_request();
    let first = harness.dispatch("a");
    harness.report_attempt(&first, AttemptEvent::Delivering);
    let out = harness.report_attempt(&first, AttemptEvent::AnswerLost);
    assert_eq!(find_refusal(&out).map(|refusal| refusal.code), Some(RefusalCode::AnswerLost));
}

#[test]
fn failure_retries_are_limited_by_the_retry_budget() {
    let mut harness = Harness::new();
    let mut refused = 0;
    for _ in 0..40 {
        harness.send_request();
        for _ in 0..40 {
            let dispatch = harness.dispatch("a");
            if find_refusal(&harness.report_attempt(&dispatch, upstream_failed())).is_some() {
                refused += 1;
                break;
            }
        }
    }
    assert_eq!(refused, 40);
    // A full budget of ten retries, and one more for each ten requests.
    let attempts = harness.next_permit;
    assert!(attempts <= 40 + 10 + 4, "{attempts} attempts for 40 requests");
}

#[test]
fn attempt_ids_are_unique() {
    let mut harness = Harness::new();
    harness.send_request();
    harness.send_request();
    let attempts: Vec<AttemptId> = ["a", "b"].map(|s| harness.dispatch(s).attempt).to_vec();
    assert_ne!(attempts[0], attempts[1]);
}

#[test]
fn requests_are_refused_immediately_without_serving_sidecars() {
    let mut harness = Harness::new();
    for sidecar in SIDECARS {
        harness.input(RouterInput::LinkDown { peer: name(sidecar) });
    }
    let refusal = find_refusal(&harness.send_request()).expect("the request is refused");
    assert_eq!((refusal.code, refusal.outcome), (RefusalCode::NoUpstream, Outcome::NotRun));
    assert!(refusal.retry_after.is_some());
}
