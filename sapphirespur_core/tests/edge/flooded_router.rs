//! A router that is short of processor time goes on serving; one that was stopped is careful.

use std::time::Duration;

use sapphirespur_core::edge::{Condition, PauseDetector, Router};
use sapphirespur_core::time::Time;

use crate::support::{START, call, ms, router};

/// Time since boot at `START`.
const BOOT: Duration = Duration::from_secs(1_000);

/// Checks a detector every `tick`, with a step every `step` in between.
fn pauses(tick: Duration, step: Duration, ticks: u32) -> Vec<Duration> {
    let mut detector = PauseDetector::new(START);
    let mut found = Vec::new();
    for index in 1..=ticks {
        let mut at = START + tick * (index - 1);
        while at < START + tick * index {
            detector.observe(at);
            at = at + step;
        }
        found.extend(detector.check(START + tick * index, BOOT + tick * index));
    }
    found
}

#[test]
fn late_tick_of_a_busy_process_is_no_pause() {
    assert_eq!(pauses(ms(1_259), ms(40), 8), []);
}

#[test]
fn idle_process_with_ticks_in_time_is_not_paused() {
    assert_eq!(pauses(ms(100), ms(100), 50), []);
}

#[test]
fn stopped_process_is_paused() {
    let mut detector = PauseDetector::new(START);
    detector.observe(START + ms(50));
    assert_eq!(detector.check(START + ms(2_000), BOOT + ms(2_000)), Some(ms(1_950)));
    assert_eq!(detector.check(START + ms(2_100), BOOT + ms(2_100)), None, "it is reported once");
}

#[test]
fn suspended_vm_is_paused_although_its_clock_stood_still() {
    let mut detector = PauseDetector::new(START);
    assert_eq!(detector.check(START + ms(100), BOOT + ms(100)), None);
    assert_eq!(detector.check(START + ms(200), BOOT + ms(3_200)), Some(ms(3_000)));
}

/// Returns the condition of the upstream `u0`.
fn condition(router: &Router, now: Time) -> Condition {
    router.registry().upstreams().get("u0").expect("the upstream exists").condition(now)
}

#[test]
fn paused_router_serves_fully_once_the_registry_has_answered() {
    let mut router = router("r", 1);
    router.on_process_pause(START);
    assert_eq!(condition(&router, START), Condition::Cold);
    router.on_registry_current();
    assert_eq!(condition(&router, START), Condition::Warm);
    assert!((0..40).all(|_| router.admit(START, &call("w", 1, 10, 10)).is_ok()));
}

#[test]
fn failed_upstream_stays_cold_when_the_registry_has_answered() {
    let mut router = router("r", 1);
    router.on_process_pause(START);
    let upstreams = router.registry_mut().upstreams_mut();
    upstreams.get_mut("u0").expect("the upstream exists").mark_unhealthy(START);
    router.on_registry_current();
    assert_eq!(condition(&router, START), Condition::Cold);
}
