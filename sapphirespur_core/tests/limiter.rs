//! Concurrency limit of one upstream.

use std::time::Duration;

use sapphirespur_core::limiter::{LatencySample, Limiter, MAX_REPORT_LAG, Phase};
use sapphirespur_core::time::Time;

const NOW: Time = Time::from_micros(1_000_000_000);
const HEALTHY: LatencySample = LatencySample {
    first_token: Some(Duration::from_millis(300)),
    token_gap: Some(Duration::from_millis(20)),
};
const SLOW: LatencySample = LatencySample {
    first_token: Some(Duration::from_millis(300)),
    token_gap: Some(Duration::from_millis(60)),
};

/// Finishes `count` requests with the same latencies.
fn finish(limiter: &mut Limiter, now: Time, count: u32, sample: LatencySample) {
    for _ in 0..count {
        let epoch = limiter.epoch();
        limiter.on_finished(now, epoch, sample, true);
    }
}

fn warm() -> Limiter {
    let mut limiter = Limiter::new(2, 16, false);
    finish(&mut limiter, NOW, 200, HEALTHY);
    assert_eq!((limiter.phase(), limiter.limit(NOW)), (Phase::Warm, 16));
    limiter
}

#[test]
fn new_limiter_starts_cold_at_the_cold_slots() {
    let limiter = Limiter::new(2, 16, false);
    assert_eq!((limiter.phase(), limiter.limit(NOW)), (Phase::Cold, 2));
}

#[test]
fn cold_limit_doubles_with_each_round_of_healthy_answers() {
    let mut limiter = Limiter::new(2, 16, false);
    for expected in [4, 8, 16] {
        let limit = limiter.limit(NOW);
        finish(&mut limiter, NOW, limit, HEALTHY);
        assert_eq!(limiter.limit(NOW), expected);
    }
}

#[test]
fn reported_cold_start_holds_the_limit_until_reports_are_warm_for_the_report_lag() {
    let mut limiter = Limiter::new(2, 16, false);
    limiter.on_report(NOW, true);
    finish(&mut limiter, NOW, 100, HEALTHY);
    assert_eq!(limiter.limit(NOW), 2);

    limiter.on_report(NOW, false);
    finish(&mut limiter, NOW, 100, HEALTHY);
    assert_eq!(limiter.limit(NOW), 2);
    finish(&mut limiter, NOW + MAX_REPORT_LAG, 100, HEALTHY);
    assert_eq!(limiter.limit(NOW + MAX_REPORT_LAG), 16);
}

#[test]
fn failure_pauses_and_then_resets_to_the_cold_slots() {
    let mut limiter = warm();
    let epoch = limiter.epoch();
    limiter.on_failed(NOW, epoch);
    assert_eq!((limiter.phase(), limiter.limit(NOW)), (Phase::Cold, 0));
    let after = limiter.paused_until(NOW).expect("there is a pause");
    assert_eq!(limiter.limit(after), 2);
}

#[test]
fn failures_of_one_epoch_count_once() {
    let mut limiter = warm();
    let epoch = limiter.epoch();
    limiter.on_failed(NOW, epoch);
    let pause = limiter.paused_until(NOW);
    for _ in 0..16 {
        limiter.on_failed(NOW, epoch);
    }
    assert_eq!(limiter.paused_until(NOW), pause);
}

#[test]
fn consecutive_failures_lengthen_the_pause_up_to_its_maximum() {
    let mut limiter = Limiter::new(1, 4, false);
    let mut pauses = Vec::new();
    for _ in 0..12 {
        let epoch = limiter.epoch();
        limiter.on_failed(NOW, epoch);
        pauses.push(limiter.paused_until(NOW).expect("there is a pause").since(NOW));
    }

    assert!(pauses.is_sorted());
    assert_eq!(pauses.last(), Some(&Duration::from_secs(3)));
}

#[test]
fn slow_answers_reduce_the_limit_at_most_once_a_second() {
    let mut limiter = warm();
    finish(&mut limiter, NOW, 50, SLOW);
    assert_eq!(limiter.limit(NOW), 15);
    finish(&mut limiter, NOW + Duration::from_secs(1), 50, SLOW);
    assert_eq!(limiter.limit(NOW), 14);
}

#[test]
fn unsaturated_limit_does_not_grow() {
    let mut limiter = warm();
    finish(&mut limiter, NOW, 1, SLOW);
    let epoch = limiter.epoch();
    for _ in 0..100 {
        limiter.on_finished(NOW, epoch, HEALTHY, false);
    }
    assert_eq!(limiter.limit(NOW), 15);
}

#[test]
fn cold_report_resets_a_warm_upstream_without_a_pause() {
    let mut limiter = warm();
    limiter.on_report(NOW, true);
    assert_eq!((limiter.phase(), limiter.limit(NOW)), (Phase::Cold, 2));
}

#[test]
fn lower_slots_reduce_the_limit() {
    let mut limiter = warm();
    limiter.set_bounds(1, 4);
    assert_eq!(limiter.limit(NOW), 4);
}

#[test]
fn upstream_with_load_reports_stays_cold_until_its_first_report() {
    let mut limiter = Limiter::new(2, 16, true);
    finish(&mut limiter, NOW, 100, HEALTHY);
    assert_eq!(limiter.limit(NOW), 2);
}

#[test]
fn first_tokens_grow_the_limit_once_reports_are_warm_for_the_report_lag() {
    let mut limiter = Limiter::new(2, 16, true);
    let later = NOW + MAX_REPORT_LAG;
    limiter.on_report(NOW, false);
    let healthy = Duration::from_millis(300);
    for _ in 0..20 {
        let epoch = limiter.epoch();
        limiter.on_first_token(NOW, epoch, healthy);
    }
    assert_eq!(limiter.limit(NOW), 2);

    for _ in 0..20 {
        let epoch = limiter.epoch();
        limiter.on_first_token(later, epoch, healthy);
    }
    assert_eq!(limiter.limit(later), 16);
}

#[test]
fn first_tokens_without_load_reports_do_not_grow_the_limit() {
    let mut limiter = Limiter::new(2, 16, false);
    for _ in 0..20 {
        let epoch = limiter.epoch();
        limiter.on_first_token(NOW, epoch, Duration::from_millis(300));
    }
    assert_eq!(limiter.limit(NOW), 2);
}

#[test]
fn reopened_upstream_resets_to_the_cold_slots() {
    let mut limiter = warm();
    limiter.on_reopened();
    assert_eq!((limiter.phase(), limiter.limit(NOW)), (Phase::Cold, 2));
}
