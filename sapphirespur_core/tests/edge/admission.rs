//! Admission control: which requests are declined, and their retry-after times.

use std::time::Duration;

use sapphirespur_core::edge::{DeclineReason, Router, SendOutcome};

use crate::support::{START, TARGET, TIMEOUT, answer, call, entry, ms, router};

/// Places requests until one is declined, and returns that decline.
fn fill(router: &mut Router) -> sapphirespur_core::edge::Decline {
    (0..10_000)
        .find_map(|segment| router.admit(START, &call("w", segment, 10, 4_000)).err())
        .expect("a full router declines")
}

#[test]
fn request_that_would_be_late_is_declined_at_arrival() {
    let mut router = router("r", 2);
    router.registry_mut().apply_table(crate::support::table(2, 100_000_000));
    let decline = fill(&mut router);
    assert_eq!(decline.reason, DeclineReason::Overloaded);
    assert!(decline.expected_delay.is_some_and(|delay| delay > TARGET));
}

#[test]
fn service_without_upstreams_declines_with_no_upstream() {
    let mut router = router("r", 0);
    let decline = router.admit(START, &call("w", 1, 10, 10)).expect_err("no upstream");
    assert_eq!(decline.reason, DeclineReason::NoUpstream);
}

#[test]
fn large_prompt_is_not_declined_for_its_own_prefill_time() {
    let mut router = router("r", 2);
    router.registry_mut().apply_table(crate::support::table(2, 1_000_000));
    let placement = router.admit(START, &call("w", 1, 10, 1_500_000)).expect("placed");
    assert!(placement.expected_delay > TARGET);
}

#[test]
fn client_retry_is_admitted_with_a_longer_wait() {
    let mut router = router("r", 2);
    router.registry_mut().apply_table(crate::support::table(2, 100_000_000));
    fill(&mut router);
    let mut retry = call("w", 1, 10, 8_000);
    assert!(router.admit(START, &retry).is_err());
    retry.is_client_retry = true;
    assert!(router.admit(START, &retry).is_ok());
}

#[test]
fn retry_after_times_are_spread_and_at_most_a_third_of_the_remaining_time() {
    let mut router = router("r", 0);
    let mut times: Vec<Duration> = (0..100)
        .map(|_| router.admit(START, &call("w", 1, 10, 10)).expect_err("no upstream").retry_after)
        .collect();
    assert!(times.iter().all(|time| *time <= TIMEOUT / 3 && *time >= ms(100)));
    times.sort();
    times.dedup();
    assert!(times.len() > 50, "{} different times", times.len());
}

#[test]
fn over_share_requests_are_declined_while_event_intervals_are_too_long() {
    let mut router = router("r", 1);
    router.registry_mut().apply_table(crate::support::table(2, 10_000));
    // Responses of about 100 tokens with 2 s between events of 8 tokens cannot finish in time.
    for _ in 0..40 {
        let placement = router.admit(START, &call("w", 1, 10, 10)).expect("placed");
        let mut request = placement.request;
        router.on_first_event(START, &mut request);
        for event in 1..=12 {
            router.on_events(START + ms(2_000 * event), &mut request, 1);
        }
        router.finish(START + ms(24_000), &request, SendOutcome::Answered);
    }
    let later = START + ms(24_000);
    let mut reasons = Vec::new();
    for segment in 0..100 {
        match router.admit(later, &call("flood", segment, 10, 1_000)) {
            Ok(placement) => router.finish(later, &placement.request, SendOutcome::Answered),
            Err(decline) => reasons.push(decline.reason),
        }
    }
    assert!(reasons.len() > 50, "{} declined", reasons.len());
    assert!(reasons.iter().all(|reason| *reason == DeclineReason::OverShare), "{reasons:?}");
}

#[test]
fn failed_upstream_is_avoided_until_its_failure_rate_decays() {
    let mut router = router("r", 2);
    let bad = router.admit(START, &call("w", 1, 10, 10)).expect("placed");
    router.finish(START, &bad.request, SendOutcome::Failed);
    for _ in 0..10 {
        let placement = router.admit(START, &call("w", 1, 10, 10)).expect("placed");
        assert_ne!(placement.instance, bad.instance);
        answer(&mut router, &placement, ms(1));
    }

    let mut now = START;
    for _ in 0..400 {
        now = now + ms(100);
        router.tick(now);
    }
    let upstream =
        router.registry().upstreams().get(bad.instance.as_str()).expect("the upstream exists");
    assert!(upstream.load.failure_rate < 0.01, "{}", upstream.load.failure_rate);
}

#[test]
fn unresponsive_upstream_is_avoided() {
    let mut router = router("r", 2);
    let unresponsive = router.admit(START, &call("w", 1, 10, 10)).expect("placed");
    let later = START + ms(1_600);
    let placement = router.admit(later, &call("w", 1, 10, 10)).expect("placed");
    assert_ne!(placement.instance, unresponsive.instance);
}

#[test]
fn expected_delay_includes_the_wait_for_a_slot() {
    let mut router = router("r", 1);
    router.registry_mut().apply_table(crate::support::table(2, 100_000_000));
    let mut last = Duration::ZERO;
    for _ in 0..70 {
        match router.admit(START, &call("w", 1, 0, 1)) {
            Ok(placement) => last = placement.expected_delay,
            Err(decline) => panic!("declined: {decline:?}"),
        }
    }
    assert!(last > ms(64), "{last:?}");
}

#[test]
fn upstream_at_its_connection_limit_gets_no_requests() {
    let mut router = router("r", 1);
    let mut plain = call("w", 1, 10, 10);
    plain.prompt = None;
    let placed = (0..500).filter(|_| router.admit(START, &plain).is_ok()).count();
    assert_eq!(placed, 360, "the configuration allows 360 connections");
}

#[test]
fn draining_upstream_gets_no_requests() {
    let mut router = router("r", 1);
    let mut draining = entry("u0", 8_000);
    draining.state = sapphirespur_core::edge::UpstreamState::Draining;
    router.registry_mut().apply_upstream(START, draining);
    assert!(router.admit(START, &call("w", 1, 10, 10)).is_err());
}
