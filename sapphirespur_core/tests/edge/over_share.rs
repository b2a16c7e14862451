//! The over-share factor lets workspaces use spare capacity, to the same extent at all routers.

use std::time::Duration;

use sapphirespur_core::edge::{Pressure, ServicePressure};
use sapphirespur_core::time::Time;

use crate::support::{START, ms};

const STEP: Duration = Duration::from_millis(100);

/// Returns the report of one router that is declining requests.
fn declining(mean: f64, over_share_factor: f64) -> ServicePressure {
    let per_mille = (mean * 1_000.0) as u64;
    ServicePressure {
        service: 0,
        measured: 1,
        per_mille,
        declining: 1,
        declining_per_mille: per_mille,
        leeway_percent: (over_share_factor * 100.0) as u64,
    }
}

/// Records `sample` in each of `steps` steps of 100 ms, with or without declined requests, and
/// returns the time after them.
fn simulate(pressure: &mut Pressure, from: Time, steps: u64, sample: f64, declines: bool) -> Time {
    for step in 0..steps {
        let now = from + ms(100 * step);
        pressure.record(now, sample);
        if declines {
            pressure.record_decline(now);
        }
        pressure.adapt(now, STEP, ServicePressure::default());
    }
    from + ms(100 * steps)
}

#[test]
fn over_share_factor_grows_at_low_pressure_while_requests_are_declined() {
    let mut pressure = Pressure::default();
    simulate(&mut pressure, START, 40, 0.1, true);
    assert!(pressure.over_share_factor() > 2.0, "{}", pressure.over_share_factor());
}

#[test]
fn over_share_factor_shrinks_at_high_pressure() {
    let mut pressure = Pressure::default();
    let now = simulate(&mut pressure, START, 40, 0.1, true);
    simulate(&mut pressure, now, 60, 0.9, true);
    assert!(pressure.over_share_factor() < 1.1, "{}", pressure.over_share_factor());
}

#[test]
fn over_share_factor_decays_while_no_request_is_declined() {
    let mut pressure = Pressure::default();
    let now = simulate(&mut pressure, START, 40, 0.1, true);
    simulate(&mut pressure, now, 150, 0.0, false);
    assert!(pressure.over_share_factor() < 1.1, "{}", pressure.over_share_factor());
}

#[test]
fn over_share_factor_is_bounded() {
    let mut pressure = Pressure::default();
    simulate(&mut pressure, START, 10_000, 0.0, true);
    assert!(pressure.over_share_factor() <= 16.0, "{}", pressure.over_share_factor());
}

#[test]
fn over_share_factors_of_routers_converge() {
    let mut routers = [Pressure::default(), Pressure::default()];
    let mut now = START;
    for _ in 0..100 {
        now = now + STEP;
        for (router, pressure) in routers.iter_mut().zip([0.2, 0.4]) {
            router.record(now, pressure);
            router.record_decline(now);
        }
        let observed = routers.map(|router| {
            declining(router.mean(now).expect("a sample was recorded"), router.over_share_factor())
        });
        for (index, router) in routers.iter_mut().enumerate() {
            router.adapt(now, STEP, observed[1 - index]);
        }
    }
    let [one, two] = routers.map(|router| router.over_share_factor());
    assert!(one > 1.5 && (one / two - 1.0).abs() < 0.01, "{one} {two}");
}

#[test]
fn router_without_declines_adopts_the_factor_of_its_peers() {
    let mut router = Pressure::default();
    for step in 0..10 {
        router.adapt(START + ms(100 * step), STEP, declining(0.4, 3.0));
    }
    assert!((router.over_share_factor() - 3.0).abs() < 0.01, "{}", router.over_share_factor());
}
