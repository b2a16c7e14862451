//! A router that is short of processor time goes on serving; one that was stopped is careful.

use std::time::Duration;

use sapphirespur_core::edge::{Condition, OverloadGuard, PauseDetector, Router};
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

/// Interval between ticks.
const TICK: Duration = Duration::from_millis(100);

/// Lets the workspaces send so many requests each before every tick, which comes `lateness` late.
/// Returns how many requests of each were accepted.
fn flood(
    guard: &mut OverloadGuard,
    now: &mut Time,
    lateness: Duration,
    ticks: u32,
    requests: &[u32],
) -> Vec<u32> {
    let mut accepted = vec![0; requests.len()];
    for _ in 0..ticks {
        for (workspace, count) in requests.iter().enumerate() {
            let checks = (0..*count).filter(|_| guard.check(workspace as u32).is_none());
            accepted[workspace] += checks.count() as u32;
        }
        *now = *now + TICK + lateness;
        guard.on_tick(*now, lateness);
    }
    accepted
}

#[test]
fn router_in_time_refuses_nothing() {
    let mut guard = OverloadGuard::default();
    let accepted = flood(&mut guard, &mut START.clone(), ms(10), 50, &[100, 3]);
    assert_eq!(accepted, [5_000, 150]);
}

/// Floods a router that completes `capacity` requests in the time of a tick, so that its ticks are
/// late by the queue of accepted requests. Returns how many of each workspace it accepted.
fn flood_with_queue(capacity: f64, ticks: u32, requests: &[u32]) -> Vec<u32> {
    let mut guard = OverloadGuard::default();
    let (mut now, mut queue, mut total) = (START, 0.0, vec![0; requests.len()]);
    let mut lateness = Duration::ZERO;
    for _ in 0..ticks {
        let accepted = flood(&mut guard, &mut now, lateness, 1, requests);
        queue += f64::from(accepted.iter().sum::<u32>());
        let done = capacity * (TICK + lateness).as_secs_f64() / TICK.as_secs_f64();
        queue = (queue - done).max(0.0);
        lateness = TICK.mul_f64(queue / capacity);
        for (total, accepted) in total.iter_mut().zip(accepted) {
            *total += accepted;
        }
    }
    total
}

#[test]
fn flood_of_one_workspace_leaves_the_others_their_requests() {
    let accepted = flood_with_queue(30.0, 300, &[100, 3, 5]);
    assert!(accepted[1] > 300 * 3 * 9 / 10 && accepted[2] > 300 * 5 * 9 / 10, "{accepted:?}");
    assert!(accepted[0] > 300 * 22 * 8 / 10, "the flood gets what is left: {accepted:?}");
}

#[test]
fn refused_client_is_told_to_return_soon_and_not_all_at_once() {
    let mut guard = OverloadGuard::default();
    flood(&mut guard, &mut START.clone(), ms(400), 20, &[100]);
    let mut times: Vec<_> = (0..60).filter_map(|_| guard.check(0)).collect();
    assert!(times.iter().all(|time| (ms(50)..=ms(350)).contains(time)), "{times:?}");
    let count = times.len();
    times.dedup();
    assert_eq!(times.len(), count);
}

#[test]
fn router_is_back_within_two_seconds_of_the_end_of_a_flood() {
    let mut guard = OverloadGuard::default();
    let mut now = START;
    flood(&mut guard, &mut now, ms(1_200), 20, &[300]);
    let end = now;
    flood(&mut guard, &mut now, ms(0), 17, &[1]);
    assert!(now.since(end) < Duration::from_secs(2));
    assert!(!guard.is_refusing());
}

#[test]
fn router_that_stays_late_asks_for_no_new_connections_for_a_while() {
    let mut guard = OverloadGuard::default();
    let mut now = START;
    flood(&mut guard, &mut now, ms(150), 4, &[100]);
    assert!(!guard.wants_relief(now), "a short flood is refused only");
    flood(&mut guard, &mut now, ms(150), 4, &[100]);
    assert!(guard.wants_relief(now));
    flood(&mut guard, &mut now, ms(0), 31, &[1]);
    assert!(!guard.wants_relief(now));
}

// Guards against a router that refuses most of a flood and stays in rotation, because its refusals keep
// its ticks nearly in time.
#[test]
fn router_that_goes_on_refusing_asks_for_relief_although_its_ticks_are_hardly_late() {
    let mut guard = OverloadGuard::default();
    let mut now = START;
    flood(&mut guard, &mut now, ms(190), 2, &[100]);
    flood(&mut guard, &mut now, ms(45), 12, &[100]);
    assert!(guard.is_refusing());
    assert!(guard.wants_relief(now));
}

// Guards against a router that serves next to nothing after late ticks, although it can serve a part of
// the flood.
#[test]
fn router_accepts_most_of_what_it_can_serve_while_its_ticks_are_late() {
    let mut guard = OverloadGuard::default();
    let mut now = START;
    let mut accepted = Vec::new();
    for _ in 0..20 {
        (0..30).for_each(|_| guard.on_finished());
        accepted.extend(flood(&mut guard, &mut now, ms(150), 1, &[100]));
    }
    let settled: u32 = accepted[10..].iter().sum();
    assert!((200..300).contains(&settled), "{accepted:?}");
}

#[test]
fn requests_refused_in_a_flood_count_as_asked_for() {
    let mut router = router("r", 1);
    let flooded = call("flooded", 1, 1_000, 3_000);
    let workspace = flooded.workspace.as_ref();
    for _ in 0..10 {
        router.record_refused(START, &flooded.route, workspace, flooded.prompt.as_ref());
    }
    let usage = router.report(START).workspaces;
    assert_eq!(usage.len(), 1);
    assert!(usage[0].asked >= 40_000 && usage[0].admitted == 0, "{usage:?}");
}

#[test]
fn one_very_late_tick_refuses_most_of_a_flood() {
    let mut guard = OverloadGuard::default();
    let mut now = START;
    flood(&mut guard, &mut now, ms(0), 10, &[100]);
    flood(&mut guard, &mut now, ms(1_200), 1, &[100]);
    let accepted = flood(&mut guard, &mut now, ms(60), 5, &[100]);
    assert!(accepted[0] < 150, "{accepted:?}");
}

macro_rules! waiting_time_of_requests {
    ($($name:ident: $lateness_ms:expr, $overdue_ms:expr => $expected_ms:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut guard = OverloadGuard::default();
                guard.on_tick(START, ms($lateness_ms));
                guard.expect_tick(START + ms(100));
                assert_eq!(guard.waiting_time(START + ms(100 + $overdue_ms)), ms($expected_ms));
            }
        )*
    };
}

// GONE: a flooded router took the time for which requests waited to be read as theirs to run.
waiting_time_of_requests! {
    requests_at_a_router_in_time_have_not_waited: 10, 20 => 0;
    requests_may_have_waited_for_as_long_as_the_last_tick_was_late: 400, 0 => 400;
    requests_may_have_waited_for_as_long_as_the_next_tick_is_overdue: 0, 600 => 600;
    longer_one_of_both_times_counts: 300, 500 => 500;
}
