//! Cold upstreams get no more than they bear, whoever sends.

use std::time::Duration;

use quickcheck::quickcheck;
use sapphirespur_core::edge::{DeclineReason, Router, SendOutcome, WindowLimiter};
use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;

use crate::support::{ALLOWANCE, COLD_PER_S, OVERSHOOT, START, call, entry, ms, router};

/// Most requests that a cold upstream may get in any second.
const BOUND: usize = (COLD_PER_S * OVERSHOOT + ALLOWANCE) as usize;

/// Returns routers that know each other and have only upstream `u0`.
fn fleet(count: usize) -> Vec<Router> {
    let mut routers: Vec<Router> =
        (0..count).map(|index| router(&format!("r{index}"), 1)).collect();
    let reports: Vec<_> = routers.iter_mut().map(|router| router.report(START)).collect();
    for (index, router) in routers.iter_mut().enumerate() {
        for (other, report) in reports.iter().enumerate() {
            if other != index {
                router.apply_report(START, report.clone());
            }
        }
    }
    routers
}

/// Sends as often as the routers allow for `span`, and returns when.
fn press(routers: &mut [Router], span: Duration) -> Vec<Time> {
    let mut sent = Vec::new();
    for step in 0..span.as_millis() as u64 / 10 {
        let now = START + ms(10 * step);
        for router in &mut *routers {
            if let Ok(placement) = router.admit(now, &call("w", 1, 10, 10)) {
                sent.push(now);
                router.finish(now, &placement.request, SendOutcome::Answered);
            }
        }
    }
    sent
}

fn most_in_a_second(sent: &[Time]) -> usize {
    let within = |from: &Time| {
        sent.iter().filter(|at| **at >= *from && at.since(*from) < Duration::from_secs(1)).count()
    };
    sent.iter().map(within).max().unwrap_or(0)
}

macro_rules! bound_holds {
    ($($name:ident: $routers:expr, $disturb:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut routers = fleet($routers);
                let disturb: fn(&mut Router) = $disturb;
                routers.iter_mut().for_each(disturb);
                let sent = press(&mut routers, Duration::from_millis(2_900));
                let most = most_in_a_second(&sent);
                assert!(most <= BOUND, "{most} in one second, {BOUND} allowed");
                assert!(most > 0, "a cold upstream is used");
            }
        )*
    };
}

fn entry_says_cold(router: &mut Router) {
    let mut cold = entry("u0", 8_000);
    cold.cold = Duration::from_secs(3);
    router.registry_mut().apply_upstream(START, cold);
}

fn starts_again_under_its_name(router: &mut Router) {
    let mut again = entry("u0", 8_000);
    again.started_ms = Some(2);
    again.cold = Duration::from_secs(3);
    assert!(router.registry_mut().apply_upstream(START, again));
}

fn data_centre_comes_back(router: &mut Router) {
    router.registry_mut().mark_data_centre_out(Name::new("milano"));
    router.registry_mut().mark_data_centre_back(START, "milano");
}

fn connection_fails(router: &mut Router) {
    let placement = router.admit(START - ms(2_000), &call("w", 1, 10, 10)).expect("placed");
    router.finish(START, &placement.request, SendOutcome::Broken);
}

fn process_was_paused(router: &mut Router) {
    router.on_process_pause(START);
}

bound_holds! {
    one_router_alone: 1, entry_says_cold;
    four_routers: 4, entry_says_cold;
    twelve_routers: 12, entry_says_cold;
    forty_routers: 40, entry_says_cold;
    a_new_start_under_the_old_name: 4, starts_again_under_its_name;
    a_data_centre_that_comes_back: 4, data_centre_comes_back;
    connections_that_fail: 4, connection_fails;
    after_a_pause: 4, process_was_paused;
}

#[test]
fn a_router_that_is_not_heard_of_yet_has_a_part() {
    let mut known = fleet(4);
    known.push(router("r-new", 1));
    known.iter_mut().for_each(entry_says_cold);
    // The new router knows nobody and takes a part of a fleet of two.
    let sent = press(&mut known[..4], Duration::from_millis(900));
    assert!(most_in_a_second(&sent) <= BOUND * 4 / 5);
}

#[test]
fn a_router_that_has_just_started_leaves_cold_upstreams_to_the_others() {
    let mut router = router("r", 1);
    router.start(START);
    entry_says_cold(&mut router);
    assert!(router.admit(START + ms(1_000), &call("w", 1, 10, 10)).is_err());
    assert!(router.admit(START + ms(1_300), &call("w", 1, 10, 10)).is_ok());
}

#[test]
fn a_refusal_for_cold_says_so() {
    let mut router = router("r", 1);
    entry_says_cold(&mut router);
    let reason = (0..BOUND + 1)
        .find_map(|_| router.admit(START, &call("w", 1, 10, 10)).err())
        .map(|decline| decline.reason);
    assert_eq!(reason, Some(DeclineReason::Cold));
}

#[test]
fn an_upstream_is_warm_when_its_time_is_over() {
    let mut router = router("r", 1);
    entry_says_cold(&mut router);
    let later = START + Duration::from_secs(4);
    let placed = (0..BOUND * 2).filter(|_| router.admit(later, &call("w", 1, 10, 10)).is_ok());
    assert_eq!(placed.count(), BOUND * 2);
}

quickcheck! {
    fn no_window_of_a_pace_has_more_than_its_limit(gaps: Vec<u8>, limit: u8) -> bool {
        let limit = usize::from(limit % 8) + 1;
        let window = Duration::from_millis(100);
        let mut limiter = WindowLimiter::new(window);
        let mut now = START;
        let mut recorded = Vec::new();
        for gap in gaps {
            now = now + ms(u64::from(gap));
            if limiter.has_capacity(now, limit) {
                limiter.record(now);
                recorded.push(now);
            }
        }
        recorded.iter().all(|from| {
            recorded.iter().filter(|at| **at >= *from && at.since(*from) <= window).count() <= limit
        })
    }
}
