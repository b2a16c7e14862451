//! Retries stay within the budget of the whole fleet.

use std::time::Duration;

use quickcheck::quickcheck;
use sapphirespur_core::edge::{DeclineReason, RetryBudget, RetryLimits};

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
    // One request does not earn a retry yet, and half of the allowance is reserved for an
    // undiscovered router.
    assert_eq!(retries, 26);
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

quickcheck! {
    fn no_window_has_more_retries_than_the_fleet_allows(steps: Vec<(u8, bool)>, routers: u8) -> bool {
        let routers = usize::from(routers % 6) + 1;
        let mut budgets = vec![RetryBudget::default(); routers];
        let (mut now, mut requests, mut retries) = (START, Vec::new(), Vec::new());
        for (index, (gap, is_request)) in steps.into_iter().enumerate() {
            now = now + ms(u64::from(gap) * 4);
            let budget = &mut budgets[index % routers];
            if is_request {
                budget.record_request(now, LIMITS);
                requests.push(now);
            } else if budget.try_spend(now, LIMITS, routers) {
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
