//! Limits of one upstream.

use std::time::Duration;

use sapphirespur_core::limiter::{Limiter, MAX_REPORT_LAG, Phase, Sample};
use sapphirespur_core::time::Time;

const NOW: Time = Time::from_micros(1_000_000_000);
const HEALTHY: Sample = Sample {
    first_token: Some(Duration::from_millis(300)),
    token_gap: Some(Duration::from_millis(20)),
};
const SLOW: Sample = Sample {
    first_token: Some(Duration::from_millis(300)),
    token_gap: Some(Duration::from_millis(60)),
};

/// Finishes so many requests with a sample.
fn finish(limiter: &mut Limiter, now: Time, count: u32, sample: Sample) {
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
fn a_new_limiter_takes_its_upstream_for_cold() {
    let limiter = Limiter::new(2, 16, false);
    assert_eq!((limiter.phase(), limiter.limit(NOW)), (Phase::Cold, 2));
}

#[test]
fn the_limit_doubles_with_each_round_of_healthy_answers() {
    let mut limiter = Limiter::new(2, 16, false);
    for expected in [4, 8, 16] {
        let limit = limiter.limit(NOW);
        finish(&mut limiter, NOW, limit, HEALTHY);
        assert_eq!(limiter.limit(NOW), expected);
    }
}

#[test]
fn a_reported_cold_start_holds_the_limit_until_warm_reports_last() {
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
fn one_failure_leads_back_to_the_cold_slots_after_a_pause() {
    let mut limiter = warm();
    let epoch = limiter.epoch();
    limiter.on_failed(NOW, epoch);
    assert_eq!((limiter.phase(), limiter.limit(NOW)), (Phase::Cold, 0));
    let after = limiter.paused_until(NOW).expect("there is a pause");
    assert_eq!(limiter.limit(after), 2);
}

#[test]
fn failures_of_one_fall_count_once() {
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
fn repeated_failures_lengthen_the_pause_up_to_a_bound() {
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
fn slow_answers_lower_the_limit_once_a_second() {
    let mut limiter = warm();
    finish(&mut limiter, NOW, 50, SLOW);
    assert_eq!(limiter.limit(NOW), 15);
    finish(&mut limiter, NOW + Duration::from_secs(1), 50, SLOW);
    assert_eq!(limiter.limit(NOW), 14);
}

#[test]
fn an_unused_limit_does_not_grow() {
    let mut limiter = warm();
    finish(&mut limiter, NOW, 1, SLOW);
    let epoch = limiter.epoch();
    for _ in 0..100 {
        limiter.on_finished(NOW, epoch, HEALTHY, false);
    }
    assert_eq!(limiter.limit(NOW), 15);
}

#[test]
fn a_cold_report_makes_a_warm_upstream_cold_without_a_pause() {
    let mut limiter = warm();
    limiter.on_report(NOW, true);
    assert_eq!((limiter.phase(), limiter.limit(NOW)), (Phase::Cold, 2));
}

#[test]
fn lower_slots_lower_the_limit() {
    let mut limiter = warm();
    limiter.set_bounds(1, 4);
    assert_eq!(limiter.limit(NOW), 4);
}

#[test]
fn an_upstream_that_will_report_counts_as_cold_until_it_does() {
    let mut limiter = Limiter::new(2, 16, true);
    finish(&mut limiter, NOW, 100, HEALTHY);
    assert_eq!(limiter.limit(NOW), 2);
}

#[test]
fn first_tokens_end_the_cold_start_of_an_upstream_that_has_reported_warm_for_long() {
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
fn first_tokens_of_an_upstream_without_reports_do_not_count() {
    let mut limiter = Limiter::new(2, 16, false);
    for _ in 0..20 {
        let epoch = limiter.epoch();
        limiter.on_first_token(NOW, epoch, Duration::from_millis(300));
    }
    assert_eq!(limiter.limit(NOW), 2);
}

#[test]
fn an_upstream_that_takes_work_again_counts_as_cold() {
    let mut limiter = warm();
    limiter.on_reopened();
    assert_eq!((limiter.phase(), limiter.limit(NOW)), (Phase::Cold, 2));
}
