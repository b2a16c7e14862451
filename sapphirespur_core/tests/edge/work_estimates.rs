//! Expected cost of requests and remaining work of upstreams, each under the load that it is meant for.

use std::time::Duration;

use sapphirespur_core::edge::{
    CallInfo, Contact, DeclineReason, PeerMessage, PeerReport, Placement, Prompt, ReportScope,
    Router, SendOutcome, Upstream, UpstreamLoad,
};
use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;

use crate::support::{START, call, entry, ms, router, settings, table};

const MAX_OUTPUT: u32 = 8_000;

/// Returns a router that estimates work, with `upstreams` upstreams whose streams may pause for
/// `gap_limit`.
fn estimating_router(upstreams: u16, gap_limit: Option<Duration>) -> Router {
    let mut estimating = settings("r");
    estimating.uses_work_estimates = true;
    let mut router = Router::new(estimating);
    let mut table = table(1, 100_000);
    for route in table.hosts.values_mut().flatten() {
        route.gap_limit = gap_limit;
    }
    assert!(router.registry_mut().apply_table(table));
    for index in 0..upstreams {
        router.registry_mut().apply_upstream(START, entry(&format!("u{index}"), 8_000 + index));
    }
    router
}

fn prompt(tokens: u32, hint: Option<u32>) -> Prompt {
    Prompt { output_hint: hint, ..Prompt::new(&[(u64::MAX, tokens)], tokens, MAX_OUTPUT) }
}

fn hinted(workspace: &str, tokens: u32, hint: Option<u32>) -> CallInfo {
    CallInfo { prompt: Some(prompt(tokens, hint)), ..call(workspace, 1, 0, tokens) }
}

/// Returns a call with a prompt of its own, given by its number.
fn numbered(number: u64, tokens: u32, hint: u32) -> CallInfo {
    let own = Prompt::new(&[(number, tokens)], tokens, MAX_OUTPUT);
    let prompt = Prompt { output_hint: Some(hint), ..own };
    CallInfo { prompt: Some(prompt), ..call("w", 1, 0, tokens) }
}

/// Lets a placed request run to its end with `tokens` output tokens.
fn complete(router: &mut Router, placement: Placement, tokens: u32) {
    let mut request = placement.request;
    let now = request.placed_at + ms(50);
    router.on_first_event(now, &mut request);
    router.on_events(now, &mut request, tokens.div_ceil(8));
    router.finish(now, &request, SendOutcome::Answered);
}

/// Sequence of numbers that look random.
struct Numbers(u64);

impl Numbers {
    /// Returns a number from zero up to one.
    fn uniform(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Returns a number of the standard normal distribution, about.
    fn normal(&mut self) -> f64 {
        (0..12).map(|_| self.uniform()).sum::<f64>() - 6.0
    }
}

/// Runs 1,200 requests whose length is `factor` times the hint at the median, with the standard
/// deviation `sigma` of its logarithm, and five times longer or shorter for `far_off` of them. Returns
/// the fraction of the last ones whose predicted cost was within a factor of two.
fn learned_accuracy(factor: f64, sigma: f64, far_off: f64) -> f64 {
    let mut router = estimating_router(4, None);
    let mut numbers = Numbers(0x9e37_79b9);
    for index in 0..1_200 {
        let now = START + ms(index * 20);
        router.tick(now);
        let hint = 150.0 + 450.0 * numbers.uniform();
        let mut tokens = hint * factor * (sigma * numbers.normal()).exp();
        if numbers.uniform() < far_off {
            tokens *= if numbers.uniform() < 0.5 { 5.0 } else { 0.2 };
        }
        let call = hinted("w", 10, Some(hint as u32));
        let placement = router.admit(now, &call).expect("admitted");
        complete(&mut router, placement, (tokens as u32).clamp(8, MAX_OUTPUT));
    }
    let (_, fraction) = router.work().errors.within_two().next().expect("a route");
    fraction
}

macro_rules! accuracy_after_learning {
    ($($name:ident: $factor:expr, $sigma:expr, $far_off:expr => $expected:expr;)*) => {
        $(
            /// The share of predictions within a factor of two is close to what the spread allows.
            #[test]
            fn $name() {
                let fraction = learned_accuracy($factor, $sigma, $far_off);
                assert!(fraction >= $expected, "{fraction}");
            }
        )*
    };
}

// A normal logarithm with a deviation of 0.35 has 95 in 100 within a factor of two of the median, one of
// 0.7 has 68. Where 15 in 100 are five times off, at most 85 can be within it.
accuracy_after_learning! {
    hints_right_at_the_median: 1.0, 0.35, 0.0 => 0.9;
    hints_three_times_too_short: 3.0, 0.35, 0.0 => 0.9;
    hints_four_times_too_long: 0.25, 0.35, 0.0 => 0.9;
    hints_right_at_the_median_and_often_far_off: 1.0, 0.25, 0.15 => 0.8;
    hints_with_a_spread_that_bounds_the_share: 1.0, 0.7, 0.0 => 0.6;
}

#[test]
fn workspace_with_wrong_hints_does_not_spoil_those_of_another() {
    let mut router = estimating_router(2, None);
    for index in 0..300 {
        let now = START + ms(index * 50);
        router.tick(now);
        for (workspace, tokens) in [("right", 400), ("wrong", 2_400)] {
            let call = hinted(workspace, 10, Some(400));
            let placement = router.admit(now, &call).expect("admitted");
            complete(&mut router, placement, tokens);
        }
    }
    let median = |workspace| router.work().outlook(&hinted(workspace, 10, Some(400))).median();
    assert!((340.0..480.0).contains(&median("right")), "{}", median("right"));
    assert!((2_000.0..2_900.0).contains(&median("wrong")), "{}", median("wrong"));
}

/// A workspace must not get more than its share by hints that are too short.
#[test]
fn share_is_charged_by_the_expected_cost() {
    let mut router = estimating_router(2, None);
    let asked = |router: &mut Router, now, hint| {
        let before: u64 = router.report(now).workspaces.iter().map(|usage| usage.asked).sum();
        router.admit(now, &hinted("w", 100, hint)).expect("admitted");
        router.report(now).workspaces.iter().map(|usage| usage.asked).sum::<u64>() - before
    };
    let short = asked(&mut router, START, Some(100));
    let long = asked(&mut router, START, Some(1_000));
    assert!((240..500).contains(&short), "{short}");
    assert!((1_500..4_100).contains(&long), "{long}");
    for index in 0..60 {
        let now = START + ms(index * 10);
        let placement = router.admit(now, &hinted("w", 100, Some(100))).expect("admitted");
        complete(&mut router, placement, 1_000);
    }
    let learned = asked(&mut router, START + ms(700), Some(100));
    assert!(learned > 1_200, "{learned}");
}

#[test]
fn restarted_router_starts_from_the_prior() {
    let router = estimating_router(1, None);
    let hinted_outlook = router.work().outlook(&hinted("w", 10, Some(400)));
    assert!((320.0..500.0).contains(&hinted_outlook.median()), "{}", hinted_outlook.median());
    let outlook = router.work().outlook(&hinted("w", 10, None));
    assert_eq!(outlook.mean(), f64::from(MAX_OUTPUT) / 4.0);
    assert_eq!(outlook.median(), outlook.mean());
}

/// Returns this router's output tokens left at the upstream `id`.
fn decode_left(router: &Router, id: &str) -> f64 {
    router.registry().upstreams().get(id).expect("present").work.decode_tokens()
}

/// A stream that outlives its estimate must not look nearly done, and short requests keep their way
/// past it.
#[test]
fn misjudged_long_request_beside_short_ones() {
    let mut router = estimating_router(2, None);
    let long = router.admit(START, &hinted("long", 100, Some(64))).expect("admitted");
    let (busy, mut request) = (long.instance.clone(), long.request);
    router.on_first_event(START + ms(50), &mut request);
    let mut now = START + ms(50);
    let mut placed_beside = 0;
    for step in 1..=100 {
        now = now + ms(40);
        router.on_events(now, &mut request, 1);
        router.tick(now);
        let done = f64::from(step * 8);
        let left = decode_left(&router, busy.as_str());
        assert!(left >= 8.0 && left <= f64::from(MAX_OUTPUT) - done, "{left} at {done}");
        assert!(done < 600.0 || left > 0.15 * done, "{left} at {done}");
        let short = router.admit(now, &hinted("short", 100, Some(24))).expect("admitted");
        assert!(short.expected_delay < ms(50), "{:?}", short.expected_delay);
        placed_beside += u32::from(short.instance == busy);
        complete(&mut router, short, 24);
    }
    assert!(placed_beside < 50, "{placed_beside} of 100 beside the long request");
    router.finish(now, &request, SendOutcome::Answered);
    assert_eq!(decode_left(&router, busy.as_str()), 0.0);
}

/// Work of the other routers at the upstream `id`.
fn others(id: &str, in_flight: u32, decode_tokens: u64, memory_tokens: u64) -> UpstreamLoad {
    UpstreamLoad {
        upstream: Upstream::hash_id(&Name::new(id)),
        in_flight,
        event_ms: 40,
        decode_tokens,
        memory_tokens,
        ..UpstreamLoad::default()
    }
}

fn report(router: &mut Router, now: Time, upstreams: Vec<UpstreamLoad>) {
    let report = PeerReport {
        router: 7,
        started_ms: 1,
        sequence: 1,
        routers: 1,
        upstreams,
        ..PeerReport::default()
    };
    assert!(router.apply_report(now, report));
}

/// Places six long prompts where six upstreams have ten running streams each and two have one. Returns
/// how many went to those with ten.
fn prompts_beside_streams(mut router: Router) -> usize {
    let now = START + ms(10);
    let streams = |index| if index < 6 { 10 } else { 1 };
    let load = |index| {
        let streams = streams(index);
        let tokens = u64::from(streams) * 400;
        others(&format!("u{index}"), streams, tokens, tokens * 4)
    };
    report(&mut router, now, (0..8).map(load).collect());
    let place = |number| {
        let long = CallInfo { target: ms(4_000), ..numbered(number, 12_000, 200) };
        router.admit(now, &long).expect("admitted").instance
    };
    let placed: Vec<_> = (0..6).map(place).collect();
    placed.iter().filter(|id| !["u6", "u7"].contains(&id.as_str())).count()
}

/// Each of these prompts takes 480 ms, and the streams may pause for 300 ms.
#[test]
fn burst_of_long_prompts_onto_upstreams_with_many_streams() {
    assert_eq!(prompts_beside_streams(estimating_router(8, Some(ms(300)))), 0);
    let without_estimates = prompts_beside_streams(router("r", 8));
    assert!(without_estimates > 0, "the load does not show the difference");
}

/// The upstream with the fewest requests would have to preempt some of them.
#[test]
fn upstream_whose_memory_runs_out_is_avoided() {
    let loads = || vec![others("u0", 16, 60_000, 399_000), others("u1", 20, 60_000, 100_000)];
    let place = |mut router: Router| {
        report(&mut router, START, loads());
        let placed = router.admit(START, &hinted("w", 4_000, Some(400))).expect("admitted");
        placed.instance.as_str().to_owned()
    };
    assert_eq!(place(estimating_router(2, None)), "u1");
    assert_eq!(place(router("r", 2)), "u0", "the load does not show the difference");
}

#[test]
fn request_is_declined_where_the_memory_of_all_upstreams_runs_out() {
    let mut router = estimating_router(2, None);
    let loads = ["u0", "u1"].map(|id| others(id, 20, 400_000, 399_000));
    report(&mut router, START, loads.to_vec());
    let declined = router.admit(START, &hinted("w", 20_000, Some(4_000)));
    let reason = declined.expect_err("declined").reason;
    assert_eq!(reason, DeclineReason::Overloaded);
}

/// Values of a message that were encoded at its end are applied in the order of its loads.
#[test]
fn remaining_work_reaches_other_routers() {
    let mut router = estimating_router(1, None);
    for number in 0..3 {
        router.admit(START, &numbered(number, 4_000, 1_000)).expect("admitted");
    }
    let contact = Contact { router: 9, address: ([10, 0, 0, 3], 7_400).into(), data_centre: 1 };
    let message = PeerMessage {
        sender: contact,
        contacts: Vec::new(),
        wants_sums: false,
        seen: 0,
        report: Some((ReportScope::Router, router.report(START))),
        news: Default::default(),
    };
    let values = message.work_values();
    let mut received = message.clone();
    let (_, received_report) = received.report.as_mut().expect("a report");
    received_report.upstreams[0].decode_tokens = 0;
    received_report.upstreams[0].memory_tokens = 0;
    received.apply_work_values(values);
    let load = received.report.expect("a report").1.upstreams[0];
    let left = decode_left(&router, "u0");
    assert!((load.decode_tokens as f64 - left).abs() <= 16.0, "{load:?}, {left}");
    assert!((load.memory_tokens as f64 - left - 12_000.0).abs() <= 64.0, "{load:?}, {left}");
}

#[test]
fn routers_without_estimates_report_no_remaining_work() {
    let mut router = router("r", 1);
    router.admit(START, &hinted("w", 400, Some(100))).expect("admitted");
    let load = router.report(START).upstreams[0];
    assert_eq!((load.decode_tokens, load.memory_tokens), (0, 0));
}
