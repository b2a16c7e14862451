//! A hot tenant whose clients the load balancer sends to one small router.

use std::collections::VecDeque;
use std::time::Duration;

use sapphirespur_core::edge::OverloadGuard;
use sapphirespur_core::time::Time;

use crate::support::START;

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(10);

/// Interval between the ticks of a router.
const TICK: Duration = Duration::from_millis(100);

/// Interval between readiness checks, and failed ones in a row after which a router gets no new
/// connections.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
const MAX_MISSES: u32 = 2;

/// Requests a second that a router can serve; a refusal takes an eighth of the time.
const CAPACITY_PER_S: f64 = 150.0;
const REFUSAL_COST: f64 = 0.125;

/// Rounds through the tasks of a router in which it serves a request; a tick waits for one.
const ROUNDS: u32 = 4;

/// Connections and requests a second of the tenant.
const CONNECTIONS: usize = 50;
const REQUESTS_PER_S: usize = 500;

/// Window in which the users compare what workspaces get.
const FAIRNESS_WINDOW: Duration = Duration::from_secs(6);

/// Router with its queue of work.
struct SmallRouter {
    guard: OverloadGuard,
    /// Work that waits: the time that each request takes, and whether it is served.
    queue: VecDeque<(Duration, bool)>,
    /// Time for which the queue keeps the router busy.
    backlog: Duration,
    tick_due: Time,
    misses: u32,
}

impl SmallRouter {
    fn new() -> Self {
        Self {
            guard: OverloadGuard::default(),
            queue: VecDeque::new(),
            backlog: Duration::ZERO,
            tick_due: START + TICK,
            misses: 0,
        }
    }

    /// Takes a request; returns whether it is served.
    fn take(&mut self) -> bool {
        let is_served = self.guard.check(1).is_none();
        let cost = if is_served { 1.0 } else { REFUSAL_COST };
        let cost = Duration::from_secs_f64(cost / CAPACITY_PER_S);
        self.queue.push_back((cost, is_served));
        self.backlog += cost;
        is_served
    }

    /// Works for one step.
    fn step(&mut self, now: Time) {
        let mut left = STEP;
        while let Some((cost, is_served)) = self.queue.front_mut() {
            let worked = left.min(*cost);
            (*cost, left, self.backlog) = (*cost - worked, left - worked, self.backlog - worked);
            if !cost.is_zero() {
                break;
            }
            if *is_served {
                self.guard.on_finished();
            }
            self.queue.pop_front();
        }
        if now >= self.tick_due + self.backlog / ROUNDS {
            let lateness = now.since(self.tick_due);
            self.guard.on_tick(now, lateness);
            self.tick_due = now + TICK;
        }
    }

    fn check_readiness(&mut self, now: Time) {
        let is_ready = !self.guard.wants_relief(now);
        self.guard.on_readiness_check(is_ready);
        self.misses = if is_ready { 0 } else { self.misses + 1 };
    }

    fn is_in_rotation(&self) -> bool {
        self.misses < MAX_MISSES
    }
}

/// Requests that were served in each second.
fn served_by_second(routers: usize, seconds: usize) -> Vec<usize> {
    let mut routers: Vec<_> = (0..routers).map(|_| SmallRouter::new()).collect();
    let mut connections = [0_usize; CONNECTIONS];
    let mut served = vec![0; seconds];
    let mut now = START;
    let steps_per_s = (1_000 / STEP.as_millis()) as usize;
    let mut turn = 0;
    for step in 0..seconds * steps_per_s {
        now = now + STEP;
        for _ in 0..REQUESTS_PER_S / steps_per_s {
            turn = (turn + 1) % CONNECTIONS;
            let router = &mut routers[connections[turn]];
            if router.take() {
                served[step / steps_per_s] += 1;
            } else if router.guard.moves_client() {
                // The hash of the client leads all its new connections to the same router.
                let next = routers.iter().position(SmallRouter::is_in_rotation);
                connections[turn] = next.unwrap_or(0);
            }
        }
        for router in &mut routers {
            router.step(now);
            if (step + 1)
                .is_multiple_of(steps_per_s / (1_000 / CHECK_INTERVAL.as_millis() as usize))
            {
                router.check_readiness(now);
            }
        }
    }
    served
}

macro_rules! flood_spreads {
    ($($name:ident: $routers:expr;)*) => {
        $(
            // Guards against a router short of processor time that stays in rotation, so that the clients
            // that it refuses come back to it and their workspace gets what one small router can serve.
            #[test]
            fn $name() {
                let window = FAIRNESS_WINDOW.as_secs() as usize;
                let served = served_by_second($routers, window + 2);
                let last: usize = served[window..].iter().sum();
                let by_one_router = 2.0 * CAPACITY_PER_S;
                assert!(last as f64 > 1.5 * by_one_router, "{served:?}");
            }
        )*
    };
}

flood_spreads! {
    flood_at_one_of_three_small_routers_spreads_within_the_fairness_window: 3;
    flood_at_one_of_twenty_small_routers_spreads_within_the_fairness_window: 20;
}

#[test]
fn flood_of_the_only_router_is_served_as_far_as_it_can() {
    let served: usize = served_by_second(1, 10).iter().sum();
    assert!(served as f64 > 10.0 * CAPACITY_PER_S / 2.0, "{served}");
}
