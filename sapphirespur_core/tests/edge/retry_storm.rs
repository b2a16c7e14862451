//! Upstreams reject all requests while routers are killed, start again, are cut off or lose their
//! requests: the retries of the whole fleet stay within its budget.

use std::ops::Range;
use std::time::Duration;

use sapphirespur_core::edge::{CallInfo, RetryLimits, RouterSettings, SendOutcome};
use sapphirespur_core::time::Time;

use crate::fleet::{Fleet, SETTLED, STEP};
use crate::support::{START, call, ms, settings};

const LIMITS: RetryLimits =
    RetryLimits { ratio: 0.2, allowance: 151.0, window: Duration::from_secs(10) };

/// Requests of clients per second and router.
const REQUESTS_PER_S: f64 = 20.0;

/// Sends of one request after the first one.
const MAX_RETRIES: usize = 3;

const DATA_CENTRES: usize = 4;

const UPSTREAMS: u16 = 6;

/// Time in which the budget of the whole fleet is spent when all upstreams reject.
const BURST: Duration = Duration::from_millis(1_500);

/// Time between the starts of the windows that are judged.
const WINDOW_STEP: Duration = Duration::from_millis(250);

/// Fleet before upstreams that accept or reject all requests, with what they get.
struct Storm {
    fleet: Fleet,
    calls: Vec<CallInfo>,
    /// Requests of clients per second, for all routers together.
    requests_per_s: f64,
    /// Requests that are due but not sent yet.
    due: f64,
    is_rejecting: bool,
    requests: Vec<Time>,
    retries: Vec<Time>,
}

/// Retries in one window of the limits, and those that are allowed there.
struct Window {
    from: Duration,
    retries: usize,
    allowed: f64,
}

impl Storm {
    fn new(routers: usize) -> Self {
        let mut storm = Self {
            fleet: Fleet::start_with_upstreams(routers, DATA_CENTRES, UPSTREAMS),
            calls: (0..8).map(|workspace| call(&format!("w{workspace}"), 1, 10, 10)).collect(),
            requests_per_s: routers as f64 * REQUESTS_PER_S,
            due: 0.0,
            is_rejecting: false,
            requests: Vec::new(),
            retries: Vec::new(),
        };
        for index in 0..routers {
            storm.configure(index);
        }
        storm.fleet.run(SETTLED);
        storm
    }

    fn configure(&mut self, index: usize) {
        let node = &mut self.fleet.nodes[index];
        let base = settings("");
        node.router.update_settings(&RouterSettings { retries: LIMITS, ..base });
        node.router.start(self.fleet.now);
    }

    fn kill(&mut self, routers: Range<usize>) {
        routers.for_each(|index| self.fleet.nodes[index].is_alive = false);
    }

    /// Kills routers, which start again half a second later.
    fn restart(&mut self, routers: Range<usize>) {
        self.kill(routers.clone());
        self.run(ms(500));
        for index in routers {
            let started_ms = self.fleet.now.since(START).as_millis() as u64 + 2;
            self.fleet.nodes[index] = self.fleet.node(index, DATA_CENTRES, started_ms);
            self.configure(index);
        }
    }

    /// Cuts all routers off from each other.
    fn cut_all(&mut self) {
        for from in 0..DATA_CENTRES {
            self.fleet.cut.extend((0..DATA_CENTRES).map(|to| (from, to)));
        }
    }

    /// Lets all upstreams reject for a while, after a time in which no retries were needed.
    fn burst(&mut self) {
        self.run(LIMITS.window);
        self.is_rejecting = true;
        self.run(BURST);
    }

    /// Runs until what was spent has left the window of the limits.
    fn run_window(&mut self) {
        self.run(LIMITS.window + Duration::from_secs(2));
    }

    fn run(&mut self, span: Duration) {
        let end = self.fleet.now + span;
        while self.fleet.now < end {
            self.fleet.step();
            self.due += self.requests_per_s * STEP.as_secs_f64();
            let nodes = &self.fleet.nodes;
            let alive: Vec<usize> = (0..nodes.len()).filter(|i| nodes[*i].is_alive).collect();
            while self.due >= 1.0 {
                self.due -= 1.0;
                self.requests.push(self.fleet.now);
                if !alive.is_empty() {
                    self.send(alive[self.requests.len() * 7 % alive.len()]);
                }
            }
        }
    }

    /// Sends a request through a router, which tries it as often as it may.
    fn send(&mut self, index: usize) {
        let now = self.fleet.now;
        let call = &self.calls[self.requests.len() % self.calls.len()];
        let router = &mut self.fleet.nodes[index].router;
        let Ok(first) = router.admit(now, call) else { return };
        let outcome = if self.is_rejecting { SendOutcome::Rejected } else { SendOutcome::Answered };
        router.finish(now, &first.request, outcome);
        if !self.is_rejecting {
            return;
        }
        let mut tried = vec![first.instance];
        for _ in 0..MAX_RETRIES {
            let Ok(next) = router.admit_retry(now, call, &tried, true) else { return };
            self.retries.push(now);
            router.finish(now, &next.request, outcome);
            tried.push(next.instance);
        }
    }

    /// Returns the window with the largest excess: its requests count, those of the window before it or
    /// those of the one half a window before it.
    fn worst_window(&self) -> Window {
        let count = |times: &[Time], from: Time| {
            let until = from + LIMITS.window;
            times.partition_point(|at| *at < until) - times.partition_point(|at| *at < from)
        };
        let judge = |from: Time| {
            let starts = [from, from - LIMITS.window / 2, from - LIMITS.window];
            let requests = starts.into_iter().map(|at| count(&self.requests, at)).max();
            let allowed = LIMITS.ratio * requests.unwrap_or_default() as f64 + LIMITS.allowance;
            Window { from: from.since(START), retries: count(&self.retries, from), allowed }
        };
        let excess = |window: &Window| window.retries as f64 - window.allowed;
        let steps = self.fleet.now.since(START).div_duration_f64(WINDOW_STEP) as u32;
        let windows = (0..steps).map(|step| judge(START + WINDOW_STEP * step));
        windows.max_by(|a, b| excess(a).total_cmp(&excess(b))).expect("a window")
    }
}

macro_rules! storms {
    ($($(#[$meta:meta])* $name:ident($routers:expr, $storm:ident) $disrupt:block)*) => {$(
        $(#[$meta])*
        #[test]
        fn $name() {
            let mut $storm = Storm::new($routers);
            $disrupt
            let window = $storm.worst_window();
            assert!(!$storm.retries.is_empty());
            let Window { from, retries, allowed } = window;
            assert!(retries as f64 <= allowed, "{retries} from {from:?} on, {allowed} allowed");
        }
    )*};
}

storms! {
    // Guards against the whole budget spent twice, by the routers that were killed and by those that
    // start in their place and know nothing of it.
    all_routers_restart_after_a_burst_of_retries(44, storm) {
        storm.burst();
        storm.restart(0..44);
        storm.run_window();
    }

    // Guards against retries of killed routers that are forgotten with their reports, so that the
    // others spend the budget once more.
    half_of_the_routers_restart_after_a_burst_of_retries(44, storm) {
        storm.burst();
        storm.restart(0..24);
        storm.run_window();
    }

    // Guards against the same where the killed routers do not come back, in a larger fleet.
    half_of_the_routers_are_lost_after_a_burst_of_retries(103, storm) {
        storm.burst();
        storm.kill(0..57);
        storm.run_window();
    }

    // Guards against the same at the size to design for.
    half_of_390_routers_restart_after_a_burst_of_retries(390, storm) {
        storm.requests_per_s = 900.0;
        storm.burst();
        storm.restart(0..214);
        storm.run_window();
    }

    // Guards against a part of the budget for each process of a VM that starts several times in a window.
    all_routers_restart_twice_in_one_window(44, storm) {
        storm.burst();
        storm.restart(0..44);
        storm.run(ms(2_000));
        storm.restart(0..44);
        storm.run_window();
    }

    // Guards against the same with little traffic, where the allowance is most of the budget.
    all_quiet_routers_restart_twice_in_one_window(44, storm) {
        storm.requests_per_s = 44.0;
        storm.burst();
        storm.restart(0..44);
        storm.run(ms(3_000));
        storm.restart(0..44);
        storm.run_window();
    }

    // Guards against routers that are stopped and started in turn, as new ones earn retries of which the
    // budget is already spent.
    routers_restart_in_turn_after_a_burst_of_retries(44, storm) {
        storm.burst();
        for first in (0..44).step_by(5) {
            storm.restart(first..(first + 5).min(44));
            storm.run(ms(800));
        }
        storm.run_window();
    }

    // Guards against routers that have not found any other one, for example as their seeds are gone, and
    // each take half of the allowance.
    routers_that_find_no_other_one_share_the_allowance(44, storm) {
        storm.run(ms(3_000));
        storm.cut_all();
        storm.restart(0..44);
        storm.run_window();
        storm.is_rejecting = true;
        storm.run_window();
    }

    // Guards against routers that forget the others while they are cut off, and then take their parts of
    // the allowance.
    routers_that_lose_each_other_share_the_allowance(44, storm) {
        storm.run(ms(3_000));
        storm.cut_all();
        storm.run(Duration::from_secs(32));
        storm.is_rejecting = true;
        storm.run_window();
    }

    // Guards against a data centre that is cut off and spends what the others have spent already.
    data_centre_is_cut_off_during_a_burst_of_retries(44, storm) {
        storm.burst();
        for other in 1..DATA_CENTRES {
            storm.fleet.cut.extend([(0, other), (other, 0)]);
        }
        storm.run(ms(5_000));
        storm.fleet.cut.clear();
        storm.run_window();
    }

    // Guards against retries that are spent all at once at the end of much traffic: windows that begin
    // in the middle of it have fewer requests than the one that ends with it.
    traffic_ends_after_a_burst_of_retries(44, storm) {
        storm.requests_per_s *= 3.0;
        storm.burst();
        storm.requests_per_s /= 60.0;
        storm.run_window();
    }

    // Guards against a budget that is too careful to be used: what the requests of a window earn is spent.
    steady_rejections_use_the_budget(44, storm) {
        storm.burst();
        storm.run_window();
        let earned = LIMITS.ratio * storm.requests_per_s * LIMITS.window.as_secs_f64();
        assert!(storm.retries.len() as f64 >= earned, "{} retries", storm.retries.len());
    }
}
