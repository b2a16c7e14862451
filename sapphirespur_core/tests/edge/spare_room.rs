//! Workspaces beyond their share use what the others leave, alike at all routers.

use std::time::Duration;

use sapphirespur_core::edge::{ObservedPressure, Pressure};
use sapphirespur_core::time::Time;

use crate::support::{START, ms};

const STEP: Duration = Duration::from_millis(100);

/// Lets a router see `pressure` for so many steps, with or without refusals.
fn play(pressure: &mut Pressure, from: Time, steps: u64, sample: f64, refuses: bool) -> Time {
    for step in 0..steps {
        let now = from + ms(100 * step);
        pressure.record(now, sample);
        if refuses {
            pressure.record_refusal(now);
        }
        pressure.adapt(now, STEP, &[]);
    }
    from + ms(100 * steps)
}

#[test]
fn idle_upstreams_give_leeway_while_somebody_is_refused() {
    let mut pressure = Pressure::default();
    play(&mut pressure, START, 40, 0.1, true);
    assert!(pressure.over_share_factor() > 2.0, "{}", pressure.over_share_factor());
}

#[test]
fn busy_upstreams_take_it_back() {
    let mut pressure = Pressure::default();
    let now = play(&mut pressure, START, 40, 0.1, true);
    play(&mut pressure, now, 60, 0.9, true);
    assert!(pressure.over_share_factor() < 1.1, "{}", pressure.over_share_factor());
}

#[test]
fn a_calm_time_leaves_no_leeway_for_the_next_flood() {
    let mut pressure = Pressure::default();
    let now = play(&mut pressure, START, 40, 0.1, true);
    play(&mut pressure, now, 150, 0.0, false);
    assert!(pressure.over_share_factor() < 1.1, "{}", pressure.over_share_factor());
}

#[test]
fn leeway_is_bounded() {
    let mut pressure = Pressure::default();
    play(&mut pressure, START, 10_000, 0.0, true);
    assert!(pressure.over_share_factor() <= 16.0, "{}", pressure.over_share_factor());
}

#[test]
fn routers_meet_at_one_leeway() {
    let mut routers = [Pressure::default(), Pressure::default()];
    let mut now = START;
    for _ in 0..100 {
        now = now + STEP;
        for (router, pressure) in routers.iter_mut().zip([0.2, 0.4]) {
            router.record(now, pressure);
            router.record_refusal(now);
        }
        let seen = routers.map(|router| ObservedPressure {
            mean: router.mean(now).expect("noted"),
            over_share_factor: router.over_share_factor(),
        });
        for (index, router) in routers.iter_mut().enumerate() {
            router.adapt(now, STEP, &[seen[1 - index]]);
        }
    }
    let [one, two] = routers.map(|router| router.over_share_factor());
    assert!(one > 1.5 && (one / two - 1.0).abs() < 0.01, "{one} {two}");
}

#[test]
fn a_router_that_refuses_nobody_follows_the_others() {
    let mut quiet = Pressure::default();
    for step in 0..10 {
        quiet.adapt(
            START + ms(100 * step),
            STEP,
            &[ObservedPressure { mean: 0.4, over_share_factor: 3.0 }],
        );
    }
    assert!((quiet.over_share_factor() - 3.0).abs() < 0.01, "{}", quiet.over_share_factor());
}
