//! Requests with one prompt segment crash every upstream that begins to respond to them.

use std::time::Duration;

use sapphirespur_core::edge::{CallInfo, InFlightRequest, Prompt, SendOutcome};
use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;

use crate::fleet::{Fleet, SETTLED, STEP};
use crate::support::{call, entry, ms};

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
        let is_crash =
            |sent: &&Sent| sent.is_harmful && now.since(sent.request.placed_at) >= CRASH_AFTER;
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
            router.finish(now, &sent.request, SendOutcome::Broken);
        }
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
