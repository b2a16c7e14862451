//! Retries stay within the budget of the whole fleet.

use std::time::Duration;

use sapphirespur_core::edge::{DeclineReason, RetryBudget, RetryLimits, RetryPortion, SendOutcome};
use sapphirespur_core::time::Time;

use crate::fleet::{Fleet, SETTLED};
use crate::support::{START, call, ms, router};

const LIMITS: RetryLimits =
    RetryLimits { ratio: 0.2, allowance: 52.0, window: Duration::from_secs(10) };

#[test]
fn router_retries_within_its_fraction_of_the_allowance() {
    let mut router = router("r", 60);
    let call = call("w", 1, 10, 10);
    let first = router.admit(START, &call).expect("placed");
    let retries = (0..100)
        .take_while(|_| {
            router.admit_retry(START, &call, std::slice::from_ref(&first.instance), true).is_ok()
        })
        .count();
    // One request does not earn a retry yet, half of the allowance is reserved for an undiscovered
    // router, and a quarter of the rest for processes that follow this one.
    assert_eq!(retries, 19);
    let decline = router
        .admit_retry(START, &call, &[first.instance], true)
        .expect_err("the budget is exhausted");
    assert_eq!(decline.reason, DeclineReason::RetryBudget);
}

#[test]
fn send_that_reached_no_upstream_is_not_a_retry() {
    let mut router = router("r", 60);
    let call = call("w", 1, 10, 10);
    let first = router.admit(START, &call).expect("placed");
    let tried = [first.instance];
    for _ in 0..40 {
        assert!(router.admit_retry(START, &call, &tried, false).is_ok());
    }
}

#[test]
fn retry_does_not_use_a_tried_upstream() {
    let mut router = router("r", 2);
    let call = call("w", 1, 10, 10);
    let first = router.admit(START, &call).expect("placed").instance;
    let second = router
        .admit_retry(START, &call, std::slice::from_ref(&first), true)
        .expect("placed")
        .instance;
    assert_ne!(first, second);
    assert!(router.admit_retry(START, &call, &[first, second], true).is_err());
}

/// Returns the retries in the window of the limits from `from` on, and those that are allowed: the
/// requests are counted in that window, in the one before it or in the one half a window before it.
fn retries_and_allowed(requests: &[Time], retries: &[Time], from: Time) -> (usize, f64) {
    let count = |times: &[Time], from: Time| {
        times.iter().filter(|at| **at >= from && at.since(from) < LIMITS.window).count()
    };
    let starts = [from, from - LIMITS.window / 2, from - LIMITS.window];
    let most = starts.into_iter().map(|start| count(requests, start)).max().unwrap_or_default();
    (count(retries, from), LIMITS.ratio * most as f64 + LIMITS.allowance)
}

// Guards against retries that each router has earned at another time, as requests move between them.
#[test]
fn retries_stay_within_the_budget_while_requests_move_between_routers() {
    const ROUTERS: usize = 4;
    const BUSY_TIME: Duration = Duration::from_secs(10);

    let mut fleet = Fleet::start_with_upstreams(ROUTERS, 1, 60);
    fleet.run(SETTLED);
    let began = fleet.now;
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    let call = call("w", 1, 10, 10);
    while fleet.now.since(began) < BUSY_TIME * 4 {
        fleet.step();
        let now = fleet.now;
        let elapsed = now.since(began);
        let turn = (elapsed.as_millis() / BUSY_TIME.as_millis()) as usize;
        // Upstreams shed from the middle of the time of one half of the routers to that of the other.
        let half_turn = elapsed.as_millis() / (BUSY_TIME.as_millis() / 2) % 4;
        let is_shedding = half_turn == 1 || half_turn == 2;
        for index in (0..ROUTERS).filter(|index| index % 2 == turn % 2) {
            let router = &mut fleet.nodes[index].router;
            let Ok(first) = router.admit(now, &call) else { continue };
            requests.push(now);
            let tried = [first.instance.clone()];
            if is_shedding && let Ok(second) = router.admit_retry(now, &call, &tried, true) {
                retries.push(now);
                router.finish(now, &second.request, SendOutcome::Answered);
            }
            router.finish(now, &first.request, SendOutcome::Answered);
        }
    }
    assert!(!retries.is_empty());
    for from in retries.iter().step_by(7) {
        let (spent, allowed) = retries_and_allowed(&requests, &retries, *from);
        assert!(spent as f64 <= allowed, "{spent} retries, {allowed} allowed");
    }
}

// Guards against a restarted router that spends again what the process before it has spent.
#[test]
fn restarted_routers_do_not_spend_the_allowance_again() {
    let call = call("w", 1, 10, 10);
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for restart in 0..4 {
        let mut router = router("r", 60);
        router.start(START + ms(2_000 * restart));
        for step in 0..200 {
            let now = START + ms(2_000 * restart + 10 * step);
            let Ok(first) = router.admit(now, &call) else { continue };
            requests.push(now);
            if let Ok(second) =
                router.admit_retry(now, &call, std::slice::from_ref(&first.instance), true)
            {
                retries.push(now);
                router.finish(now, &second.request, SendOutcome::Answered);
            }
            router.finish(now, &first.request, SendOutcome::Answered);
        }
    }
    let (spent, allowed) = retries_and_allowed(&requests, &retries, START);
    assert!(spent as f64 <= allowed, "{spent} retries, {allowed} allowed");
}

properties! {
    fn no_window_has_more_retries_than_the_fleet_allows(steps: Vec<(u8, bool)>, routers: u8) -> bool {
        let routers = usize::from(routers % 6) + 1;
        let portion = RetryPortion { fraction: 1.0, routers: Some(routers) };
        let mut budgets = vec![RetryBudget::default(); routers];
        let (mut now, mut requests, mut retries) = (START, Vec::new(), Vec::new());
        for (index, (gap, is_request)) in steps.into_iter().enumerate() {
            now = now + ms(u64::from(gap) * 4);
            let budget = &mut budgets[index % routers];
            if is_request {
                budget.record_request(now, LIMITS);
                requests.push(now);
            } else if budget.try_spend(now, LIMITS, portion) {
                retries.push(now);
            }
        }
        retries.iter().all(|end| {
            let within = |at: &&sapphirespur_core::time::Time| {
                **at <= *end && end.since(**at) <= LIMITS.window
            };
            let earned = LIMITS.ratio * requests.iter().filter(within).count() as f64;
            retries.iter().filter(within).count() as f64 <= earned + LIMITS.allowance
        })
    }
}
