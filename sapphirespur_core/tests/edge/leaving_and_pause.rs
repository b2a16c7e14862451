//! Upstreams that say in a response that they leave, or that they want a pause.

use std::time::Duration;

use sapphirespur_core::edge::{
    Condition, DeclineReason, SendOutcome, UpstreamEntry, UpstreamState,
};

use sapphirespur_core::name::Name;

use crate::support::{START, call, entry, ms, router};

#[test]
fn upstream_that_says_it_leaves_gets_no_requests_whatever_the_registry_says() {
    let mut router = router("r", 1);
    let placed = router.admit(START, &call("w", 1, 10, 10)).expect("placed");
    assert!(router.on_leaving(&placed.request));
    assert!(!router.on_leaving(&placed.request), "it is known already");

    let heartbeat = UpstreamEntry { sequence: Some(9), ..entry("u0", 8_000) };
    router.registry_mut().apply_upstream(START, heartbeat);
    let decline = router.admit(START, &call("w", 1, 10, 10)).expect_err("it is closed");
    assert_eq!(decline.reason, DeclineReason::NoUpstream);

    let restarted = UpstreamEntry { started_ms: Some(2), ..entry("u0", 8_000) };
    router.registry_mut().apply_upstream(START, restarted);
    assert!(router.admit(START, &call("w", 1, 10, 10)).is_ok(), "another instance is not leaving");
}

#[test]
fn response_of_an_earlier_instance_does_not_close_the_new_one() {
    let mut router = router("r", 1);
    let placed = router.admit(START, &call("w", 1, 10, 10)).expect("placed");
    let restarted = UpstreamEntry { started_ms: Some(2), ..entry("u0", 8_000) };
    router.registry_mut().apply_upstream(START, restarted);
    assert!(!router.on_leaving(&placed.request));
    assert!(router.admit(START, &call("w", 1, 10, 10)).is_ok());
}

#[test]
fn snapshot_tells_other_routers_that_an_upstream_leaves() {
    let mut router = router("r", 1);
    let placed = router.admit(START, &call("w", 1, 10, 10)).expect("placed");
    router.on_leaving(&placed.request);
    let snapshot = router.registry().snapshot(START).expect("there is a configuration");
    assert_eq!(snapshot.upstreams[0].state, UpstreamState::Draining);
}

/// Returns an entry of `u0` as of a start, with its number.
fn started(started_ms: u64, sequence: u64, cold: Duration) -> UpstreamEntry {
    let (started_ms, sequence) = (Some(started_ms), Some(sequence));
    UpstreamEntry { started_ms, sequence, cold, ..entry("u0", 8_000) }
}

// DRAIN: the last heartbeat of an upstream, written late, brings it back after it has said that it leaves
// and its entry is gone.
#[test]
fn late_heartbeat_does_not_bring_back_an_upstream_that_has_said_that_it_leaves() {
    let mut router = router("r", 0);
    router.registry_mut().apply_upstream(START, started(1, 5, Duration::ZERO));
    let placed = router.admit(START, &call("w", 1, 10, 10)).expect("placed");
    assert!(router.on_leaving(&placed.request));
    router.finish(START, &placed.request, SendOutcome::Answered);
    router.registry_mut().remove_upstream_at("u0", START + ms(1_000));
    router.tick(START + ms(1_000));

    let late = START + ms(6_000);
    assert!(!router.registry_mut().apply_upstream(late, started(1, 6, Duration::ZERO)));
    assert!(router.admit(late, &call("w", 1, 10, 10)).is_err());
    assert!(router.registry_mut().apply_upstream(late, started(2, 1, Duration::ZERO)));
    assert!(router.admit(late, &call("w", 1, 10, 10)).is_ok(), "it has started again");
}

// FAILBACK: a heartbeat from before a restart, written late, makes a cold upstream a warm one.
#[test]
fn late_heartbeat_of_an_earlier_start_does_not_warm_an_upstream() {
    let mut router = router("r", 0);
    router.registry_mut().apply_upstream(START, started(1, 50, Duration::ZERO));
    router.registry_mut().apply_upstream(START, started(2, 1, ms(3_000)));
    assert!(!router.registry_mut().apply_upstream(START, started(1, 51, Duration::ZERO)));
    let upstream = router.registry().upstreams().get("u0").expect("it serves");
    assert_eq!(upstream.entry.started_ms, Some(2));
    assert_eq!(upstream.condition(START + ms(100)), Condition::Cold);

    router.registry_mut().remove_upstream_at("u0", START + ms(200));
    router.tick(START + ms(200));
    assert!(!router.registry_mut().apply_upstream(START + ms(300), started(1, 52, Duration::ZERO)));
}

#[test]
fn paused_upstream_gets_no_requests_until_the_end_of_the_pause() {
    let mut router = router("r", 2);
    let first = router.admit(START, &call("w", 1, 10, 10)).expect("placed");
    router.on_pause_requested(START, &first.request, ms(3_000));
    router.finish(START, &first.request, SendOutcome::Paused);
    for step in 0..29 {
        let now = START + ms(100 * step);
        let placed = router.admit(now, &call("w", 1, 10, 10)).expect("the other one serves");
        assert_ne!(placed.instance, first.instance);
    }

    let paused = router.registry().upstreams().get(first.instance.as_str()).expect("it exists");
    assert_eq!(paused.condition(START + ms(2_999)), Condition::Paused);
    assert_eq!(paused.condition(START + ms(3_000)), Condition::Warm);
    assert_eq!(paused.load.failure_rate, 0.0, "a pause is no failure");
}

#[test]
fn shorter_pause_does_not_end_a_longer_one() {
    let mut router = router("r", 1);
    let placed = router.admit(START, &call("w", 1, 10, 10)).expect("placed");
    router.on_pause_requested(START, &placed.request, ms(3_000));
    router.on_pause_requested(START, &placed.request, ms(100));
    assert!(router.admit(START + ms(2_900), &call("w", 1, 10, 10)).is_err());
}

#[test]
fn client_is_told_to_return_after_the_shortest_pause() {
    let mut router = router("r", 2);
    for pause in [ms(2_500), ms(1_500)] {
        let placed = router.admit(START, &call("w", 1, 10, 10)).expect("placed");
        router.on_pause_requested(START, &placed.request, pause);
    }
    let decline = router.admit(START, &call("w", 1, 10, 10)).expect_err("all are paused");
    assert_eq!(decline.reason, DeclineReason::Paused);
    assert!(decline.retry_after >= ms(1_500), "{decline:?}");
    assert!(decline.retry_after <= Duration::from_secs(4), "{decline:?}");
}

#[test]
fn placed_request_is_not_sent_once_its_upstream_leaves() {
    let mut router = router("r", 1);
    let placed = router.admit(START, &call("w", 1, 10, 10)).expect("placed");
    assert!(router.registry().may_send(START, &placed.request));
    let draining = UpstreamEntry { state: UpstreamState::Draining, ..entry("u0", 8_000) };
    router.registry_mut().apply_upstream(START, draining);
    assert!(!router.registry().may_send(START, &placed.request));

    let restarted = UpstreamEntry { started_ms: Some(2), ..entry("u0", 8_000) };
    router.registry_mut().apply_upstream(START, restarted);
    assert!(!router.registry().may_send(START, &placed.request), "it is for another instance");
}

#[test]
fn placed_request_is_not_sent_once_its_data_centre_is_out() {
    let mut router = router("r", 1);
    let placed = router.admit(START, &call("w", 1, 10, 10)).expect("placed");
    router.registry_mut().mark_data_centre_out(Name::new("milano"));
    assert!(!router.registry().may_send(START, &placed.request));
}
