//! Upstreams name a limit of requests a second that all routers together keep.

use std::time::Duration;

use sapphirespur_core::collections::HashMap;
use sapphirespur_core::edge::{DeclineReason, InFlightRequest, SendOutcome};
use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;

use crate::fleet::{Fleet, SETTLED, STEP};
use crate::support::{START, call, entry, ms, router};

/// Upstreams of the service; the first ones name a limit.
const UPSTREAMS: u16 = 9;
const LIMITED: u16 = 6;

/// Window in which requests are counted, the multiple of the limit that may come in it, and how many
/// beyond.
const WINDOW: Duration = Duration::from_secs(4);
const OVERSHOOT: f64 = 1.5;
const ALLOWANCE: f64 = 5.0;

/// Time after a limit was named from which it counts.
const SETTLE_AFTER_NAMED: Duration = Duration::from_secs(3);

/// Time from the send of a request to the head of its response, and to its end.
const HEAD_AFTER: Duration = Duration::from_millis(40);
const RESPONSE_TIME: Duration = Duration::from_millis(300);

struct Sent {
    node: usize,
    request: InFlightRequest,
    is_told: bool,
}

/// Fleet with upstreams that name limits.
struct Scene {
    fleet: Fleet,
    /// Limit in requests a second, while it is named.
    per_s: Option<f64>,
    sent: Vec<Sent>,
    /// When requests arrived, by upstream.
    arrivals: HashMap<Name, Vec<Time>>,
    /// Requests that are due, as a fraction.
    due: f64,
    turn: usize,
    /// Routers that get half of the requests.
    busy: usize,
    /// Requests at limited upstreams that these routers have sent.
    by_busy: usize,
}

impl Scene {
    fn start(routers: usize, data_centres: usize) -> Self {
        let mut fleet = Fleet::start_with_upstreams(routers, data_centres, UPSTREAMS);
        fleet.run(SETTLED);
        Self {
            fleet,
            per_s: None,
            sent: Vec::new(),
            arrivals: HashMap::default(),
            due: 0.0,
            turn: 0,
            busy: routers.div_ceil(4),
            by_busy: 0,
        }
    }

    /// Sends `rate` requests a second for `span`, half of them at the busy routers.
    fn run(&mut self, span: Duration, rate: f64) {
        for _ in 0..(span.as_millis() / STEP.as_millis()) {
            self.fleet.step();
            self.due += rate * STEP.as_secs_f64();
            while self.due >= 1.0 {
                self.due -= 1.0;
                self.send();
            }
            self.respond();
        }
    }

    fn send(&mut self) {
        let now = self.fleet.now;
        self.turn += 1;
        let routers = self.fleet.nodes.len();
        let is_busy = self.turn.is_multiple_of(2);
        let node = if is_busy { self.turn / 2 % self.busy } else { self.turn % routers };
        let shared = self.turn as u64 % 23;
        let call = call("w", shared, 50, 50);
        let Ok(placement) = self.fleet.nodes[node].router.admit(now, &call) else { return };
        let upstream = placement.request.upstream.clone();
        self.by_busy += usize::from(is_busy && is_limited(&upstream));
        self.arrivals.entry(upstream).or_default().push(now);
        self.sent.push(Sent { node, request: placement.request, is_told: false });
    }

    fn respond(&mut self) {
        let now = self.fleet.now;
        for sent in &mut self.sent {
            let router = &mut self.fleet.nodes[sent.node].router;
            let age = now.since(sent.request.placed_at);
            if age >= HEAD_AFTER && !std::mem::replace(&mut sent.is_told, true) {
                router.on_first_event(now, &mut sent.request);
                let is_limited = is_limited(&sent.request.upstream);
                router.on_limit(now, &sent.request, self.per_s.filter(|_| is_limited));
            }
            if age >= RESPONSE_TIME {
                router.finish(now, &sent.request, SendOutcome::Answered);
            }
        }
        self.sent.retain(|sent| now.since(sent.request.placed_at) < RESPONSE_TIME);
    }

    /// Returns the most requests at a limited upstream in a window since `from`.
    fn most_in_window(&self, from: Time) -> usize {
        let most = |arrivals: &Vec<Time>| {
            let within = |start: &Time| {
                arrivals.iter().filter(|at| **at >= *start && at.since(*start) < WINDOW).count()
            };
            arrivals.iter().filter(|at| **at >= from).map(within).max().unwrap_or(0)
        };
        let limited = self.arrivals.iter().filter(|(upstream, _)| is_limited(upstream));
        limited.map(|(_, arrivals)| most(arrivals)).max().unwrap_or(0)
    }

    /// Returns the requests at all limited upstreams since `from`.
    fn limited_arrivals(&self, from: Time) -> usize {
        let limited = self.arrivals.iter().filter(|(upstream, _)| is_limited(upstream));
        limited.map(|(_, arrivals)| arrivals.iter().filter(|at| **at >= from).count()).sum()
    }
}

fn is_limited(upstream: &Name) -> bool {
    (0..LIMITED).any(|index| upstream.as_str() == format!("u{index}"))
}

fn allowed(per_s: f64) -> f64 {
    OVERSHOOT * per_s * WINDOW.as_secs_f64() + ALLOWANCE
}

macro_rules! named_limit_holds {
    ($($name:ident: $routers:expr, $data_centres:expr, $per_s:expr, $rate:expr;)*) => {
        $(
            // Guards against sending an upstream more requests than the limit that it has named, and
            // against leaving it idle.
            #[test]
            fn $name() {
                let mut scene = Scene::start($routers, $data_centres);
                scene.run(Duration::from_secs(3), $rate);
                scene.per_s = Some($per_s);
                scene.run(SETTLE_AFTER_NAMED, $rate);
                let from = scene.fleet.now;
                scene.run(Duration::from_secs(12), $rate);
                let most = scene.most_in_window(from) as f64;
                assert!(most <= allowed($per_s), "{most} in 4 s, {} allowed", allowed($per_s));
                let used = scene.limited_arrivals(from) as f64;
                let usable = 12.0 * f64::from(LIMITED) * $per_s;
                assert!(used >= usable / 2.0, "{used} requests of {usable}");
            }
        )*
    };
}

named_limit_holds! {
    one_router_keeps_the_named_limit: 1, 1, 5.0, 80.0;
    four_routers_keep_the_named_limit: 4, 3, 5.0, 80.0;
    four_routers_keep_a_low_named_limit: 4, 3, 0.6, 60.0;
    four_routers_keep_a_high_named_limit: 4, 3, 30.0, 400.0;
    twelve_routers_keep_the_named_limit: 12, 3, 5.0, 120.0;
    thirty_routers_keep_the_named_limit: 30, 3, 5.0, 200.0;
    forty_four_routers_keep_the_named_limit: 44, 4, 4.8, 300.0;
    a_hundred_routers_keep_the_named_limit: 103, 5, 4.8, 700.0;
}

// Guards against parts that do not follow the requests: one router of many gets most of them.
#[test]
fn busy_router_among_many_uses_its_part_of_the_limit() {
    let mut scene = Scene::start(44, 4);
    scene.per_s = Some(5.0);
    scene.busy = 1;
    scene.run(Duration::from_secs(6), 300.0);
    let from = scene.fleet.now;
    scene.by_busy = 0;
    scene.run(Duration::from_secs(12), 300.0);
    let usable = 12.0 * f64::from(LIMITED) * 5.0;
    assert!(scene.by_busy as f64 > usable / 4.0, "{} requests of {usable}", scene.by_busy);
    let most = scene.most_in_window(from) as f64;
    assert!(most <= allowed(5.0), "{most} in 4 s, {} allowed", allowed(5.0));
}

// Guards against routers that miss the end of a limit, as they sent nothing to the upstream.
#[test]
fn all_routers_use_an_upstream_again_after_its_limit() {
    for (routers, data_centres) in [(4, 3), (44, 4)] {
        let mut scene = Scene::start(routers, data_centres);
        let per_s = 2;
        scene.per_s = Some(f64::from(per_s));
        scene.run(Duration::from_secs(8), 90.0);
        scene.per_s = None;
        scene.run(Duration::from_secs(4), 90.0);
        let from = scene.fleet.now;
        scene.run(Duration::from_secs(4), 90.0);
        let (used, limit) = (scene.limited_arrivals(from), per_s as usize * 4 * LIMITED as usize);
        assert!(used > limit, "{used} requests, {limit} while it was limited");
        for node in &scene.fleet.nodes {
            let limits = node.router.registry().upstreams().iter();
            assert!(limits.into_iter().all(|upstream| upstream.limit.is_none()));
        }
    }
}

// Guards against the old limit after an upstream has named a lower one.
#[test]
fn lowered_limit_holds() {
    let mut scene = Scene::start(4, 3);
    scene.per_s = Some(20.0);
    scene.run(Duration::from_secs(6), 200.0);
    scene.per_s = Some(4.0);
    scene.run(SETTLE_AFTER_NAMED, 200.0);
    let from = scene.fleet.now;
    scene.run(Duration::from_secs(8), 200.0);
    let most = scene.most_in_window(from) as f64;
    assert!(most <= allowed(4.0), "{most} in 4 s, {} allowed", allowed(4.0));
}

// Guards against a sum of parts that exceeds the limit after a router has started or gone.
#[test]
fn named_limit_holds_while_routers_come_and_go() {
    let mut scene = Scene::start(4, 3);
    scene.per_s = Some(5.0);
    scene.run(Duration::from_secs(5), 100.0);
    let from = scene.fleet.now;
    for (step, index) in [1, 2, 3].into_iter().enumerate() {
        scene.sent.retain(|sent| sent.node != index);
        scene.fleet.nodes[index] = scene.fleet.node(index, 3, 2 + step as u64);
        scene.run(Duration::from_secs(3), 100.0);
    }
    let most = scene.most_in_window(from) as f64;
    assert!(most <= allowed(5.0), "{most} in 4 s, {} allowed", allowed(5.0));
}

// Guards against a burst on tokens that many routers have kept.
#[test]
fn named_limit_holds_in_a_burst_after_calm() {
    for (routers, data_centres) in [(4, 3), (44, 4)] {
        let mut scene = Scene::start(routers, data_centres);
        scene.per_s = Some(4.0);
        scene.run(Duration::from_secs(3), 60.0);
        scene.run(Duration::from_secs(6), 2.0);
        let from = scene.fleet.now;
        scene.run(Duration::from_secs(8), 600.0);
        let most = scene.most_in_window(from) as f64;
        assert!(most <= allowed(4.0), "{routers} routers: {most}, {} allowed", allowed(4.0));
    }
}

// Guards against holding a request back, or a wrong reason, where all limits are used up.
#[test]
fn request_beyond_all_limits_is_refused_with_the_time_to_come_back() {
    let mut router = router("r", 0);
    router.registry_mut().apply_upstream(START, entry("u0", 8_000));
    let first = router.admit(START, &call("w", 1, 10, 10)).expect("placed");
    assert!(router.on_limit(START, &first.request, Some(0.5)));
    let decline = router.admit(START + ms(100), &call("w", 1, 10, 10)).expect_err("refused");
    assert_eq!(decline.reason, DeclineReason::Limited);
    assert!(decline.retry_after >= ms(500), "{decline:?}");
    let later = START + Duration::from_secs(5);
    assert!(router.admit(later, &call("w", 1, 10, 10)).is_ok());
}
