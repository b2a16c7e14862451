//! Requests with one prompt segment crash every upstream that begins to respond to them.

use std::time::Duration;

use sapphirespur_core::edge::{CallInfo, DeclineReason, InFlightRequest, Prompt, SendOutcome};
use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;

use crate::fleet::{Fleet, SETTLED, STEP};
use crate::support::{START, call, entry, ms, router};

/// Upstreams of the service.
const UPSTREAMS: u16 = 18;

/// Time from the send of a request to the head of its response, and to its first event.
const HEAD_AFTER: Duration = Duration::from_millis(50);
const EVENT_AFTER: Duration = Duration::from_millis(200);

/// Time from the send of a harmful request to the crash of its upstream.
const CRASH_AFTER: Duration = Duration::from_millis(150);

/// Length of a response, and the interval between its events.
const RESPONSE_TIME: Duration = Duration::from_millis(700);
const EVENT_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which the entry of a crashed upstream is removed, and that of its replacement appears.
const REMOVED_AFTER: Duration = Duration::from_secs(3);
const REPLACED_AFTER: Duration = Duration::from_secs(4);

/// Interval between sound requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(20);

/// Crashes after which few harmful requests may be sent, how many, and from how long afterwards.
const MAX_CRASHES: usize = 5;
const MAX_SENDS: usize = 3;
const SETTLE_AFTER_CRASHES: Duration = Duration::from_secs(3);

/// Identities of prompt segments: the ones that all requests share, and the one that crashes.
const FIRST: u64 = 0x11;
const HARMFUL: u64 = 0x666;

/// Request that a router has sent to an upstream.
struct Sent {
    node: usize,
    request: InFlightRequest,
    is_harmful: bool,
}

/// Fleet with the upstreams that it uses and their crashes.
struct Scene {
    /// Whether harmful requests crash upstreams; otherwise they are answered.
    is_harmful: bool,
    fleet: Fleet,
    sent: Vec<Sent>,
    next_upstream: u16,
    next_node: usize,
    /// When upstreams crashed under harmful requests.
    crashes: Vec<Time>,
    /// When harmful requests were sent to upstreams.
    harmful_sends: Vec<Time>,
    /// When sound requests arrived, and whether they were sent.
    sound: Vec<(Time, bool)>,
    /// Upstreams that are to be removed and replaced, and when they crashed.
    crashed: Vec<(Time, Name)>,
}

impl Scene {
    fn start(routers: usize, data_centres: usize) -> Self {
        let mut fleet = Fleet::start_with_upstreams(routers, data_centres, UPSTREAMS);
        fleet.run(SETTLED);
        Self {
            is_harmful: true,
            fleet,
            sent: Vec::new(),
            next_upstream: UPSTREAMS,
            next_node: 0,
            crashes: Vec::new(),
            harmful_sends: Vec::new(),
            sound: Vec::new(),
            crashed: Vec::new(),
        }
    }

    /// Runs for `span` with sound requests, and harmful ones with the segments `harmful` before the
    /// last one at every `interval`.
    fn run(&mut self, span: Duration, harmful: &[u64], interval: Duration) {
        for step in 0..(span.as_millis() / STEP.as_millis()) as u32 {
            self.fleet.step();
            let elapsed = STEP * step;
            if elapsed.as_millis().is_multiple_of(SOUND_INTERVAL.as_millis()) {
                let turn = u64::from(step) % 7;
                let is_sent = self.send(&prompt(&[FIRST, 0x20 + turn]), false);
                self.sound.push((self.fleet.now, is_sent));
            }
            if !harmful.is_empty() && elapsed.as_millis().is_multiple_of(interval.as_millis()) {
                self.send(&prompt(harmful), true);
            }
            self.respond();
            self.replace();
            if elapsed.as_millis().is_multiple_of(100) {
                for node in &mut self.fleet.nodes {
                    node.router.tick(self.fleet.now);
                }
            }
        }
    }

    /// Sends a request at the next router; returns whether it was placed.
    fn send(&mut self, call: &CallInfo, is_harmful: bool) -> bool {
        let now = self.fleet.now;
        self.next_node = (self.next_node + 1) % self.fleet.nodes.len();
        let node = self.next_node;
        let Ok(placement) = self.fleet.nodes[node].router.admit(now, call) else { return false };
        if is_harmful {
            self.harmful_sends.push(now);
        }
        self.sent.push(Sent { node, request: placement.request, is_harmful });
        true
    }

    /// Lets the upstreams respond, or crash.
    fn respond(&mut self) {
        let now = self.fleet.now;
        let is_harmful = self.is_harmful;
        let is_crash = |sent: &&Sent| {
            is_harmful && sent.is_harmful && now.since(sent.request.placed_at) >= CRASH_AFTER
        };
        while let Some(upstream) =
            self.sent.iter().find(is_crash).map(|sent| sent.request.upstream.clone())
        {
            self.crashes.push(now);
            self.crash(&upstream);
        }

        for sent in &mut self.sent {
            let router = &mut self.fleet.nodes[sent.node].router;
            let age = now.since(sent.request.placed_at);
            if age >= HEAD_AFTER {
                sent.request.is_framed = true;
                router.on_first_event(now, &mut sent.request);
            }
            let is_due = now.since(sent.request.last_event_at) >= EVENT_INTERVAL;
            if age >= EVENT_AFTER && is_due {
                router.on_events(now, &mut sent.request, 1);
            }
            if age >= RESPONSE_TIME {
                router.finish(now, &sent.request, SendOutcome::Answered);
            }
        }
        self.sent.retain(|sent| now.since(sent.request.placed_at) < RESPONSE_TIME);
    }

    /// Ends an upstream with all requests that it runs.
    fn crash(&mut self, upstream: &Name) {
        let now = self.fleet.now;
        self.crashed.push((now, upstream.clone()));
        for sent in self.sent.extract_if(.., |sent| sent.request.upstream == *upstream) {
            let router = &mut self.fleet.nodes[sent.node].router;
            router.finish(now, &sent.request, SendOutcome::Disconnected);
            if sent.request.has_just_begun() {
                router.on_upstream_lost(now, &sent.request);
            }
        }
    }

    /// Ends `count` upstreams that have requests, at the same time.
    fn crash_herd(&mut self, count: usize) {
        let mut upstreams: Vec<Name> =
            self.sent.iter().map(|sent| sent.request.upstream.clone()).collect();
        upstreams.sort();
        upstreams.dedup();
        for upstream in upstreams.iter().take(count) {
            self.crash(upstream);
        }
    }

    /// Restarts a router, whose requests end.
    fn restart(&mut self, index: usize, data_centres: usize, started_ms: u64) {
        self.sent.retain(|sent| sent.node != index);
        let replaced = self.fleet.node(index, data_centres, started_ms);
        let before = std::mem::replace(&mut self.fleet.nodes[index], replaced);
        let known = before.router.registry().upstreams();
        for upstream in known.iter().filter(|upstream| upstream.gone_at.is_none()) {
            let router = &mut self.fleet.nodes[index].router;
            router.registry_mut().apply_upstream(self.fleet.now, upstream.entry.clone());
        }
        let left: Vec<Name> = self.fleet.nodes[index]
            .router
            .registry()
            .upstreams()
            .iter()
            .map(|upstream| upstream.entry.id.clone())
            .filter(|id| known.get(id.as_str()).is_none_or(|upstream| upstream.gone_at.is_some()))
            .collect();
        for id in left {
            let router = &mut self.fleet.nodes[index].router;
            router.registry_mut().remove_upstream_at(id.as_str(), self.fleet.now);
        }
    }

    /// Returns the quarantined segments at a router.
    fn quarantined(&self, node: usize) -> Vec<u64> {
        self.fleet.nodes[node].router.quarantine().quarantined()
    }

    /// Removes the entries of crashed upstreams, and adds those of their replacements.
    fn replace(&mut self) {
        let now = self.fleet.now;
        for (at, id) in &self.crashed {
            if now == *at + REMOVED_AFTER {
                for node in &mut self.fleet.nodes {
                    node.router.registry_mut().remove_upstream_at(id.as_str(), now);
                }
            }
            if now == *at + REPLACED_AFTER {
                let mut new =
                    entry(&format!("u{}", self.next_upstream), 8_000 + self.next_upstream);
                new.cold = Duration::from_secs(3);
                self.next_upstream += 1;
                for node in &mut self.fleet.nodes {
                    node.router.registry_mut().apply_upstream(now, new.clone());
                }
            }
        }
    }

    /// Returns how many harmful requests were sent although the fleet had time to learn of the
    /// crashes.
    fn sends_after_crashes(&self) -> usize {
        let Some(last) = self.crashes.get(MAX_CRASHES - 1) else { return 0 };
        let from = *last + SETTLE_AFTER_CRASHES;
        self.harmful_sends.iter().filter(|at| **at > from).count()
    }

    /// Returns the fraction of the sound requests that were sent from `from` on.
    fn sound_fraction(&self, from: Time) -> f64 {
        let sent: Vec<bool> =
            self.sound.iter().filter(|(at, _)| *at >= from).map(|(_, is_sent)| *is_sent).collect();
        sent.iter().filter(|is_sent| **is_sent).count() as f64 / sent.len().max(1) as f64
    }
}

/// Returns a call whose prompt has `shared` segments before its own one.
fn prompt(shared: &[u64]) -> CallInfo {
    let mut segments: Vec<(u64, u32)> = shared.iter().map(|id| (*id, 200)).collect();
    segments.push((u64::MAX, 400));
    let tokens = segments.iter().map(|(_, tokens)| tokens).sum();

    CallInfo { prompt: Some(Prompt::new(&segments, tokens, 100)), ..call("w", 1, 10, 10) }
}

macro_rules! crashing_segment_stops_being_sent {
    ($($name:ident: $routers:expr, $data_centres:expr, $harmful:expr, $interval_ms:expr;)*) => {
        $(
            // Guards against sending requests on although upstreams have ended under one segment of
            // their prompts.
            #[test]
            fn $name() {
                let mut scene = Scene::start($routers, $data_centres);
                scene.run(Duration::from_secs(5), &[], ms(0));
                let calm = scene.sound_fraction(Time::default());
                scene.run(Duration::from_secs(25), $harmful, ms($interval_ms));
                assert!(!scene.crashes.is_empty());
                let sends = scene.sends_after_crashes();
                assert!(sends <= MAX_SENDS, "{sends} sends, {} crashes", scene.crashes.len());
                let later = scene.sound_fraction(scene.fleet.now - Duration::from_secs(12));
                assert!(later > calm / 2.0, "{later} of the sound requests, {calm} before");
            }
        )*
    };
}

crashing_segment_stops_being_sent! {
    one_router_stops_sending_a_crashing_segment: 1, 1, &[FIRST, HARMFUL], 900;
    four_routers_stop_sending_a_crashing_segment: 4, 3, &[FIRST, HARMFUL], 900;
    crashing_segment_that_comes_often_is_stopped: 4, 3, &[FIRST, HARMFUL], 120;
    crashing_segment_that_comes_rarely_is_stopped: 4, 3, &[FIRST, HARMFUL], 2_500;
    crashing_first_segment_is_stopped: 4, 3, &[HARMFUL, 0x21], 700;
    crashing_segment_between_others_is_stopped: 4, 3, &[FIRST, HARMFUL, 0x21], 700;
    thirty_routers_with_relays_stop_sending_a_crashing_segment: 30, 3, &[FIRST, HARMFUL], 300;
}

// Guards against refusing sound requests for what they share with those that crash upstreams.
#[test]
fn only_the_crashing_segment_is_quarantined_and_all_routers_know_it() {
    let mut scene = Scene::start(30, 3);
    scene.run(Duration::from_secs(5), &[], ms(0));
    scene.run(Duration::from_secs(10), &[FIRST, HARMFUL, 0x21], ms(300));
    for node in 0..30 {
        assert_eq!(scene.quarantined(node), [HARMFUL], "r{node}");
    }
}

// Guards against refusing a segment that comes in all requests, as upstreams end for other reasons.
#[test]
fn herd_kills_quarantine_no_segment() {
    let mut scene = Scene::start(4, 3);
    scene.run(Duration::from_secs(2), &[], ms(0));
    for _ in 0..4 {
        scene.crash_herd(6);
        scene.run(ms(700), &[], ms(0));
        scene.crash_herd(6);
        scene.run(Duration::from_secs(6), &[], ms(0));
        for node in 0..4 {
            assert_eq!(scene.quarantined(node), Vec::<u64>::new(), "r{node}");
        }
    }
}

// Guards against a quarantine without an end after the cause has been mended.
#[test]
fn segment_that_no_longer_crashes_upstreams_is_released() {
    let mut scene = Scene::start(4, 3);
    scene.run(Duration::from_secs(2), &[], ms(0));
    scene.run(Duration::from_secs(4), &[FIRST, HARMFUL], ms(500));
    assert_eq!(scene.quarantined(0), [HARMFUL]);
    scene.is_harmful = false;
    scene.run(Duration::from_secs(12), &[FIRST, HARMFUL], ms(500));
    for node in 0..4 {
        assert_eq!(scene.quarantined(node), Vec::<u64>::new(), "r{node}");
    }
}

// Guards against a router that sends what the others have quarantined, because it has just started.
#[test]
fn restarted_router_learns_what_is_quarantined() {
    for (routers, data_centres) in [(4, 3), (30, 3)] {
        let mut scene = Scene::start(routers, data_centres);
        scene.run(Duration::from_secs(10), &[FIRST, HARMFUL], ms(300));
        scene.fleet.nodes[1] = scene.fleet.node(1, data_centres, 2);
        scene.run(Duration::from_secs(3), &[], ms(0));
        assert_eq!(scene.quarantined(1), [HARMFUL]);
    }
}

// Guards against answers to a harmful request that differ, or that bid the client to return soon.
#[test]
fn quarantined_request_is_refused_at_once_and_alike() {
    let mut scene = Scene::start(2, 1);
    scene.run(Duration::from_secs(4), &[FIRST, HARMFUL], ms(300));
    let now = scene.fleet.now;
    let router = &mut scene.fleet.nodes[0].router;
    for _ in 0..3 {
        let decline = router.admit(now, &prompt(&[FIRST, HARMFUL])).expect_err("refused");
        assert_eq!(decline.reason, DeclineReason::Quarantined);
        assert!(decline.retry_after >= Duration::from_secs(5));
    }
    assert!(router.admit(now, &prompt(&[FIRST, 0x21])).is_ok());
}

// Guards against a response without a length that a crash cut before its first event, taken as whole.
#[test]
fn response_that_may_have_been_cut_as_it_began_proves_nothing() {
    let mut router = router("r", 4);
    let mut now = START;
    for _ in 0..2 {
        now = now + ms(100);
        let mut lost = router.admit(now, &prompt(&[HARMFUL])).expect("placed").request;
        router.on_first_event(now, &mut lost);
        router.on_upstream_lost(now, &lost);
        router.finish(now, &lost, SendOutcome::Answered);
    }
    assert_eq!(router.quarantine().quarantined(), [HARMFUL]);

    let later = now + Duration::from_secs(6);
    let mut tried = router.admit(later, &prompt(&[HARMFUL])).expect("it is tried").request;
    assert!(router.admit(later, &prompt(&[HARMFUL])).is_err(), "one at a time");
    tried.is_framed = true;
    router.finish(later, &tried, SendOutcome::Answered);
    assert_eq!(router.quarantine().quarantined(), Vec::<u64>::new());
}

// Guards against sound segments that stay refused since they were new when upstreams crashed.
#[test]
fn sound_segments_suspected_right_after_the_start_are_released() {
    let mut scene = Scene::start(4, 3);
    scene.run(Duration::from_secs(25), &[FIRST, HARMFUL], ms(500));
    for node in 0..4 {
        assert_eq!(scene.quarantined(node), [HARMFUL], "r{node}");
    }
    assert!(scene.sends_after_crashes() <= MAX_SENDS);
}

// Guards against trials that cost one upstream after the other.
#[test]
fn crashing_segment_is_tried_rarely_over_a_long_time() {
    let mut scene = Scene::start(4, 3);
    scene.run(Duration::from_secs(100), &[FIRST, HARMFUL], ms(300));
    assert!(scene.crashes.len() <= MAX_CRASHES + MAX_SENDS, "{} crashes", scene.crashes.len());
    assert!(scene.sends_after_crashes() <= MAX_SENDS);
}

// Guards against what routers forget when they are restarted, one after the other.
#[test]
fn crashing_segment_stays_quarantined_while_routers_restart_in_turn() {
    let mut scene = Scene::start(4, 3);
    scene.run(Duration::from_secs(6), &[FIRST, HARMFUL], ms(300));
    for (count, index) in [0, 1, 2, 3, 0, 1, 2, 3].into_iter().enumerate() {
        scene.restart(index, 3, 2 + count as u64);
        scene.run(Duration::from_secs(4), &[FIRST, HARMFUL], ms(300));
    }
    assert!(scene.crashes.len() <= MAX_CRASHES + MAX_SENDS, "{} crashes", scene.crashes.len());
    assert!(scene.sends_after_crashes() <= MAX_SENDS);
}

// Guards against a second harmful segment that is not found beside the first.
#[test]
fn two_crashing_segments_are_both_quarantined() {
    const OTHER: u64 = 0x777;

    let mut scene = Scene::start(4, 3);
    scene.run(Duration::from_secs(3), &[], ms(0));
    for _ in 0..20 {
        scene.run(ms(400), &[FIRST, HARMFUL], ms(400));
        scene.run(ms(400), &[0x21, OTHER], ms(400));
    }
    for node in 0..4 {
        assert_eq!(scene.quarantined(node), [HARMFUL, OTHER], "r{node}");
    }
    let served = scene.sound_fraction(scene.fleet.now - Duration::from_secs(5));
    assert!(served > 0.5, "{served} of the sound requests");
}
