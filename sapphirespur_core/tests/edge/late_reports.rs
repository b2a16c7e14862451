//! A hot tenant through many routers, whose reports reach each other late, beside one through a
//! single router.

use std::time::Duration;

use sapphirespur_core::collections::HashMap;
use sapphirespur_core::edge::{InFlightRequest, SendOutcome, Shares, UsageKey, WorkspaceUsage};
use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;

use crate::fleet::{Fleet, SETTLED, STEP};
use crate::support::{START, call, ms};

/// Upstreams of the service; its capacity is 100,000 tokens a second.
const UPSTREAMS: u16 = 9;

/// Tokens of a request, and the time in which an upstream prefills them, one request after the other.
const TOKENS: u32 = 700;
const PREFILL_TIME: Duration = Duration::from_millis(63);

/// Requests a second of each of the two: many times the capacity, so that a share is used up before
/// the next report.
const RATE: f64 = 1_600.0;

/// Other workspaces, which ask for somewhat more than their shares, and how many requests of the hot
/// ones come for one of theirs.
const OTHERS: usize = 8;
const OTHERS_TURNS: usize = 8;

/// Request that a router has sent, and when its upstream responds.
struct Sent {
    node: usize,
    request: InFlightRequest,
    responds_at: Time,
}

struct Scene {
    fleet: Fleet,
    sent: Vec<Sent>,
    /// When upstreams have prefilled all that was sent to them.
    idle_at: HashMap<Name, Time>,
    /// When requests of the workspaces were admitted.
    admitted: [Vec<Time>; 2],
    turn: usize,
}

impl Scene {
    fn run(&mut self, span: Duration) {
        let mut due = 0.0;
        for step in 0..(span.as_millis() / STEP.as_millis()) {
            self.fleet.step();
            due += RATE * STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                self.turn += 1;
                self.send(0, "through-one", Some(0));
                self.send(self.turn % self.fleet.nodes.len(), "through-all", Some(1));
                if self.turn.is_multiple_of(OTHERS_TURNS) {
                    let other = format!("other-{}", self.turn / OTHERS_TURNS % OTHERS);
                    self.send(self.turn * 7 % self.fleet.nodes.len(), &other, None);
                }
            }
            self.respond();
            if step.is_multiple_of(10) {
                for node in &mut self.fleet.nodes {
                    node.router.tick(self.fleet.now);
                }
            }
        }
    }

    fn send(&mut self, node: usize, workspace: &str, index: Option<usize>) {
        let now = self.fleet.now;
        let call = call(workspace, 100 + self.turn as u64 % 7, 10, TOKENS);
        if let Ok(placement) = self.fleet.nodes[node].router.admit(now, &call) {
            if let Some(index) = index {
                self.admitted[index].push(now);
            }
            let idle_at = self.idle_at.entry(placement.request.upstream.clone()).or_default();
            *idle_at = now.max(*idle_at) + PREFILL_TIME;
            let (request, responds_at) = (placement.request, *idle_at);
            self.sent.push(Sent { node, request, responds_at });
        }
    }

    fn respond(&mut self) {
        let now = self.fleet.now;
        for sent in self.sent.extract_if(.., |sent| sent.responds_at <= now) {
            let (node, mut request) = (sent.node, sent.request);
            let router = &mut self.fleet.nodes[node].router;
            router.on_first_event(now, &mut request);
            router.on_events(now, &mut request, 1);
            router.finish(now, &request, SendOutcome::Answered);
        }
    }
}

/// Returns the tokens that a router admits of a flood in each second, after the flood has moved to it
/// from another router, whose reports show what was asked for there before.
fn admitted_after_a_move(seed: u64, seconds: u64) -> Vec<u64> {
    const WINDOW_MS: u64 = 4_000;
    const ASKED_BEFORE: f64 = 10_000_000.0;

    let mut shares = Shares::new(ms(WINDOW_MS), seed);
    let key = UsageKey { workspace: 1, route: 1 };
    let mut admitted = vec![0; seconds as usize];
    for step in 0..seconds * 10 {
        let now = START + ms(100 * step);
        let decay = (-((100 * step) as f64) / WINDOW_MS as f64).exp();
        let others = [
            WorkspaceUsage { workspace: 1, asked: (ASKED_BEFORE * decay) as u64, admitted: 0 },
            WorkspaceUsage { workspace: 2, asked: 9_000_000, admitted: 500_000 },
        ];
        for _ in 0..200 {
            let usage = shares.share_usage(now, key, 1_000, 500_000, others.into_iter(), ms(750));
            shares.charge(now, key, 1_000, usage <= 1.0);
            admitted[step as usize / 10] += if usage <= 1.0 { 1_000 } else { 0 };
        }
    }
    admitted
}

// Guards against a flood that is held far below its share after it has moved to another router, for what it
// asked for at the one before.
#[test]
fn flood_that_has_moved_to_another_router_gets_its_share_there() {
    for seed in 0..20 {
        let admitted = admitted_after_a_move(seed, 6);
        let after_a_second: u64 = admitted[1..].iter().sum();
        // Half of the capacity, for five seconds.
        assert!(after_a_second >= 5 * 250_000 * 3 / 4, "router {seed}: {admitted:?}");
    }
}

macro_rules! equal_floods_get_similar_service {
    ($($name:ident: $routers:expr, $data_centres:expr;)*) => {
        $(
            // Guards against routers that all admit a workspace at the same time, before they hear
            // what the others have admitted.
            #[test]
            fn $name() {
                let mut fleet = Fleet::start_with_upstreams($routers, $data_centres, UPSTREAMS);
                fleet.run(SETTLED);
                let mut scene = Scene {
                    fleet,
                    sent: Vec::new(),
                    idle_at: HashMap::default(),
                    admitted: Default::default(),
                    turn: 0,
                };
                scene.run(Duration::from_secs(8));
                let from = scene.fleet.now;
                scene.run(Duration::from_secs(12));
                let count = |index: usize| {
                    scene.admitted[index].iter().filter(|at| **at >= from).count()
                };
                let (one, all) = (count(0), count(1));
                assert!(one * 2 >= all && all * 2 >= one, "{one} through one router, {all} through all");
            }
        )*
    };
}

equal_floods_get_similar_service! {
    floods_through_one_of_four_routers_and_all_are_alike: 4, 3;
    floods_through_one_of_thirty_routers_and_all_are_alike: 30, 3;
    floods_through_one_of_a_hundred_routers_and_all_are_alike: 103, 5;
}
