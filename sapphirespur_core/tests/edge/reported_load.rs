//! Upstreams report their load: plain services spread calls by it, and paces scale estimates.

use std::collections::VecDeque;
use std::time::Duration;

use sapphirespur_core::edge::{
    CallInfo, Contact, DeclineReason, FleetNews, InFlightRequest, LoadReport, PeerMessage,
    Placement, RouteTable, Router, SendOutcome, ServiceSpec, ToldLoad, UpstreamEntry,
};
use sapphirespur_core::hash::stable_hash;
use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;

use crate::fleet::{Fleet, SETTLED, STEP};
use crate::support::{START, answer, call, entry, ms, router, table};

const SERVICE: &str = "app";
const SLOTS: usize = 6;
const QUEUE: usize = 24;

/// Part of the arrivals that may be turned away.
const MAX_TURNED_AWAY: f64 = 0.05;

struct Work {
    node: usize,
    request: InFlightRequest,
    steps: u32,
}

/// Upstream that runs a few requests at a time and lets some wait.
#[derive(Default)]
struct FakeUpstream {
    running: Vec<Work>,
    waiting: VecDeque<Work>,
}

impl FakeUpstream {
    /// Takes a request, unless it is full.
    fn accept(&mut self, work: Work) -> Result<(), Work> {
        if self.waiting.len() == QUEUE {
            return Err(work);
        }
        self.waiting.push_back(work);
        self.fill();
        Ok(())
    }

    fn fill(&mut self) {
        while self.running.len() < SLOTS
            && let Some(work) = self.waiting.pop_front()
        {
            self.running.push(work);
        }
    }

    /// Works for one step; returns the requests that are done.
    fn step(&mut self) -> Vec<Work> {
        self.running.iter_mut().for_each(|work| work.steps -= 1);
        let done = self.running.extract_if(.., |work| work.steps == 0).collect();
        self.fill();
        done
    }

    fn told(&self) -> Option<ToldLoad> {
        let (running, waiting) = (self.running.len() as u32, self.waiting.len() as u32);
        ToldLoad::new(running, waiting, SLOTS as u32, None)
    }
}

/// Fleet before upstreams of a plain service.
struct Scene {
    fleet: Fleet,
    upstreams: Vec<FakeUpstream>,
    tells: bool,
    arrivals: u64,
    /// Requests that upstreams refused, and calls that routers declined.
    refused: u64,
    declined: u64,
}

fn plain_entry(index: u16, started_ms: u64) -> UpstreamEntry {
    UpstreamEntry {
        service: Name::new(SERVICE),
        slots: SLOTS as u32,
        started_ms: Some(started_ms),
        ..entry(&format!("a{index}"), 9_000 + index)
    }
}

fn plain_table() -> RouteTable {
    let mut table = table(2, 100_000);
    let spec = ServiceSpec {
        connection_limit: 96,
        cold_start: Duration::ZERO,
        cold_per_s: None,
        engine: None,
    };
    table.services.insert(Name::new(SERVICE), spec);
    table
}

fn add_service(router: &mut Router, upstreams: u16) {
    router.registry_mut().apply_table(plain_table());
    for index in 0..upstreams {
        router.registry_mut().apply_upstream(START, plain_entry(index, 1));
    }
}

fn plain_call() -> CallInfo {
    CallInfo {
        route: Name::new("app"),
        service: Name::new(SERVICE),
        workspace: None,
        prompt: None,
        target: ms(300),
        remaining: ms(2_000),
        ..call("w", 1, 1, 1)
    }
}

impl Scene {
    fn start(routers: usize, tells: bool) -> Self {
        let mut fleet = Fleet::start_with_upstreams(routers, 3, 0);
        for node in &mut fleet.nodes {
            add_service(&mut node.router, 3);
        }
        fleet.run(SETTLED);
        let upstreams = (0..3).map(|_| FakeUpstream::default()).collect();
        Self { fleet, upstreams, tells, arrivals: 0, refused: 0, declined: 0 }
    }

    /// Sends 300 requests a second for `span`: each 200 ms, 60 in 50 ms.
    fn run(&mut self, span: Duration) {
        for step in 0..(span.as_millis() / STEP.as_millis()) {
            self.fleet.step();
            for index in 0..self.upstreams.len() {
                for work in self.upstreams[index].step() {
                    self.end(index, &work, SendOutcome::Answered);
                }
            }
            if step % 20 < 5 {
                (0..12).for_each(|_| self.arrive());
            }
        }
    }

    fn arrive(&mut self) {
        self.arrivals += 1;
        let draw = stable_hash(&[&self.arrivals.to_le_bytes()]);
        let node = (draw >> 32) as usize % self.fleet.nodes.len();
        let now = self.fleet.now;
        let mut tried = Vec::new();
        loop {
            let router = &mut self.fleet.nodes[node].router;
            let admission = match tried.len() {
                0 => router.admit(now, &plain_call()),
                _ => router.admit_retry(now, &plain_call(), &tried, true),
            };
            let Ok(placement) = admission else {
                self.declined += 1;
                return;
            };
            let request = placement.request;
            let index = usize::from(request.upstream.as_str().as_bytes()[1] - b'0');
            tried.push(request.upstream.clone());
            let work = Work { node, request, steps: 3 + (draw % 4) as u32 };
            match self.upstreams[index].accept(work) {
                Ok(()) => return,
                Err(work) => {
                    self.refused += 1;
                    self.end(index, &work, SendOutcome::Rejected);
                }
            }
        }
    }

    fn end(&mut self, index: usize, work: &Work, outcome: SendOutcome) {
        let told = self.upstreams[index].told().filter(|_| self.tells);
        let router = &mut self.fleet.nodes[work.node].router;
        if let Some(told) = told {
            router.on_load(self.fleet.now, &work.request, told);
        }
        router.finish(self.fleet.now, &work.request, outcome);
    }

    /// Returns the part of the arrivals that were refused by upstreams or declined by routers.
    fn turned_away(&self) -> f64 {
        (self.refused + self.declined) as f64 / self.arrivals as f64
    }
}

macro_rules! bursts_are_spread {
    ($($name:ident: $routers:expr, $hear_others:expr, $min_without:expr;)*) => {
        $(
            // Guards against routers that choose the same upstream by the same old figures.
            #[test]
            fn $name() {
                let turned_away = |tells| {
                    let mut scene = Scene::start($routers, tells);
                    if !$hear_others {
                        scene.fleet.cut = (0..9).map(|pair| (pair / 3, pair % 3)).collect();
                    }
                    scene.run(Duration::from_secs(20));
                    scene.turned_away()
                };
                let (with, without) = (turned_away(true), turned_away(false));
                assert!(with < MAX_TURNED_AWAY, "{with} turned away");
                assert!(without >= $min_without, "{without} without reported load");
            }
        )*
    };
}

bursts_are_spread! {
    bursts_through_many_routers_are_spread_by_reported_load: 30, true, 0.1;
    routers_that_hear_no_others_spread_bursts_by_their_own_figures: 30, false, 0.0;
}

// Guards against more requests at an upstream that has just refused one, or that its figures show to
// be full, and against a refusal without the time to come back.
#[test]
fn full_upstreams_are_avoided_and_calls_that_find_all_full_are_refused() {
    let mut router = router("r", 0);
    add_service(&mut router, 2);
    let full = ToldLoad::new(6, 24, 6, None).expect("plausible");
    let first = router.admit(START, &plain_call()).expect("placed").request;
    router.on_load(START + ms(5), &first, full);
    router.finish(START + ms(5), &first, SendOutcome::Rejected);
    let second = router.admit(START + ms(10), &plain_call()).expect("placed").request;
    assert_ne!(first.upstream, second.upstream);
    assert_eq!(second.load, None);
    router.on_load(START + ms(15), &second, full);
    router.finish(START + ms(15), &second, SendOutcome::Rejected);
    let decline = router.admit(START + ms(20), &plain_call()).expect_err("declined");
    assert_eq!(decline.reason, DeclineReason::Full);
    // Half of the queue of 24 takes two turns of the six slots, 100 ms each at first.
    assert_eq!(decline.expected_delay, Some(ms(200)));
    assert!(decline.retry_after >= ms(200), "{decline:?}");
    let retried = router.admit_retry(
        START + ms(20),
        &plain_call(),
        &[first.upstream.clone(), second.upstream],
        true,
    );
    assert_eq!(retried.map(|_| ()).map_err(|decline| decline.reason), Err(DeclineReason::Full));
    let later = router.admit(START + ms(150), &plain_call()).expect("placed").request;
    let load = later.load.expect("the figures that were used");
    assert_eq!((load.occupied, load.slots, load.pace), (30.0, 6, 1.0));
    assert!(load.age >= ms(135) && load.age <= ms(145), "{load}");
}

// Guards against figures of the process instance before, told by this router's responses or by
// routers that have not learned of the restart.
#[test]
fn restarted_upstream_starts_without_figures() {
    let mut router = router("r", 0);
    add_service(&mut router, 1);
    let told = ToldLoad::new(6, 20, 6, Some(400.0)).expect("plausible");
    let first = router.admit(START, &plain_call()).expect("placed").request;
    router.on_load(START + ms(100), &first, told);
    assert!(told_of(&router, START + ms(200)).is_some());

    let restarted = START + ms(500);
    router.registry_mut().apply_upstream(restarted, plain_entry(0, 2));
    router.on_load(restarted + ms(100), &first, told);
    assert_eq!(told_of(&router, restarted + ms(200)), None);

    for (age_ms, is_taken) in [(700, false), (20, true)] {
        let upstream = router.registry().upstreams().get("a0").expect("known").key;
        let load = LoadReport { upstream, running: 2, slots: 6, age_ms, ..LoadReport::default() };
        let mut message = empty_message();
        message.news.loads.push(load);
        router.on_peer_message(restarted + ms(300), ([10, 0, 0, 2], 7_400).into(), message);
        assert_eq!(told_of(&router, restarted + ms(300)).is_some(), is_taken);
    }
}

fn told_of(router: &Router, now: Time) -> Option<ToldLoad> {
    let upstream = router.registry().upstreams().get("a0").expect("known");
    upstream.known.told(now).map(|(told, _)| told)
}

fn empty_message() -> PeerMessage {
    let contact = Contact { router: 9, address: ([10, 0, 0, 2], 7_400).into(), data_centre: 0 };
    PeerMessage {
        sender: contact,
        contacts: Vec::new(),
        wants_sums: false,
        seen: 0,
        report: None,
        news: FleetNews::default(),
    }
}

/// Upstreams of a model service, and how many of them are slowed at a time.
const ENGINES: u16 = 20;
const SLOWED: usize = 3;

/// Pace of slowed upstreams in percent, and for how long one stays slowed.
const SLOW_PERCENT: f64 = 400.0;
const SLOWED_TIME: Duration = Duration::from_millis(600);

/// Time of a prefill at the usual pace.
const PREFILL: Duration = Duration::from_millis(40);

/// Request in the prefill queue of an engine, with the work left.
struct Prefill {
    left: Duration,
    node: usize,
    placement: Placement,
}

/// Returns whether an engine is slowed; others are after each [`SLOWED_TIME`].
fn is_slowed(index: u16, since_start: Duration) -> bool {
    let epoch = (since_start.as_millis() / SLOWED_TIME.as_millis()) as u64;
    let rank = |other: u16| stable_hash(&[&other.to_le_bytes(), &epoch.to_le_bytes()]);
    (0..ENGINES).filter(|other| rank(*other) < rank(index)).count() < SLOWED
}

/// Sends `rate` requests on average in each step. Returns the mean time to the first event in
/// milliseconds where paces change, and the learned time over which they do.
fn run_engines(seed: u64, routers: usize, rate: u64, tells: bool) -> (f64, Duration) {
    let mut fleet = Fleet::start_with_upstreams(routers, 1, ENGINES);
    for node in &mut fleet.nodes {
        assert!(node.router.registry_mut().apply_table(table(2, 4_000_000)));
    }
    fleet.run(SETTLED);
    let from = fleet.now;
    let mut queues: Vec<VecDeque<Prefill>> = (0..ENGINES).map(|_| VecDeque::new()).collect();
    let (mut total, mut count, mut turn) = (Duration::ZERO, 0, 0_u64);
    for _ in 0..2_000 {
        fleet.step();
        for (index, queue) in (0..).zip(&mut queues) {
            let percent =
                if is_slowed(index, fleet.now.since(from)) { SLOW_PERCENT } else { 100.0 };
            let mut budget = STEP.mul_f64(100.0 / percent);
            while let Some(first) = queue.front_mut()
                && !budget.is_zero()
            {
                let done = first.left.min(budget);
                first.left -= done;
                budget -= done;
                if !first.left.is_zero() {
                    break;
                }
                let Some(Prefill { node, placement, .. }) = queue.pop_front() else { break };
                let router = &mut fleet.nodes[node].router;
                if tells {
                    let told = ToldLoad::new(1, 0, 64, Some(percent)).expect("plausible");
                    router.on_load(fleet.now, &placement.request, told);
                }
                let delay = fleet.now.since(placement.request.placed_at);
                answer(router, &placement, delay);
                total += delay;
                count += 1;
            }
        }
        for _ in 0..(2 * rate) {
            turn += 1;
            let draw = stable_hash(&[&turn.to_le_bytes(), &seed.to_le_bytes()]);
            if draw & 1 == 0 {
                continue;
            }
            let node = (draw >> 32) as usize % fleet.nodes.len();
            let admission = fleet.nodes[node].router.admit(fleet.now, &call("w", turn, 10, 3_990));
            let Ok(placement) = admission else { continue };
            let index: usize = placement.instance.as_str()[1..].parse().expect("a number");
            queues[index].push_back(Prefill { left: PREFILL, node, placement });
        }
    }
    let service = fleet.nodes[0].router.registry().upstreams().service_load(&Name::new("pool"));
    (total.as_secs_f64() * 1_000.0 / f64::from(count), service.pace_time.get())
}

macro_rules! paces_are_followed {
    ($($name:ident: $routers:expr, $rate:expr, $factor:expr;)*) => {
        $(
            // Guards against paces that are not followed, or held for too long: an upstream that is
            // avoided after it has recovered is missing.
            #[test]
            fn $name() {
                let (mut with, mut without) = (0.0, 0.0);
                for seed in 0..3 {
                    let (mean_ms, pace_time) = run_engines(seed, $routers, $rate, true);
                    let range = SLOWED_TIME / 2..SLOWED_TIME * 2;
                    assert!(range.contains(&pace_time), "{pace_time:?}");
                    with += mean_ms / 3.0;
                    without += run_engines(seed, $routers, $rate, false).0 / 3.0;
                }
                assert!(with < $factor * without, "{with} ms, {without} ms without paces");
            }
        )*
    };
}

paces_are_followed! {
    one_router_follows_paces_that_change: 1, 3, 1.0;
    one_router_follows_paces_that_change_under_high_load: 1, 4, 1.05;
    four_routers_follow_paces_that_change: 4, 2, 1.0;
    twelve_routers_follow_paces_that_change: 12, 2, 1.05;
}
