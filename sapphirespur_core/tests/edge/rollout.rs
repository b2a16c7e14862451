//! Versions are rolled out if they are good, and withdrawn within the bounds if they are not.

use std::time::Duration;

use sapphirespur_core::edge::{RolloutPhase, RolloutReason, RolloutState};

use crate::rollout_scene::{FAILS, Fault, ORDER, ROUTERS, Scene};

const WAIT: Duration = Duration::from_secs(40);

/// Time of a response that comes only after all tests.
const HANGS: u64 = 10_000;

macro_rules! version_is {
    ($($name:ident: $state:ident, $faults:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut scene = Scene::ordered();
                scene.faults = $faults;
                assert_eq!(scene.run_to_end(WAIT), Some(RolloutState::$state));
                scene.run(Duration::from_secs(3));
                assert_eq!(scene.cut_by_completion, 0);
                if RolloutState::$state == RolloutState::Reverted {
                    let reason = scene.record().expect("it exists").reason;
                    assert_eq!(reason, RolloutReason::Bad);
                    scene.assert_bounds();
                }
            }
        )*
    };
}

version_is! {
    good_version_completes: Completed, vec![];
    version_as_bad_as_the_old_one_on_a_rare_route_completes: Completed, vec![
        ("v1", Fault { part: 0.1, ..FAILS }),
        ("v2", Fault { part: 0.1, ..FAILS }),
    ];
    version_bad_at_once_reverts: Reverted, vec![("v2", FAILS)];
    slightly_bad_version_reverts: Reverted, vec![("v2", Fault { part: 0.08, ..FAILS })];
    version_bad_during_canary_reverts: Reverted,
        vec![("v2", Fault { from: Duration::from_millis(2_500), ..FAILS })];
    version_bad_before_the_shift_reverts: Reverted,
        vec![("v2", Fault { from: Duration::from_millis(7_000), ..FAILS })];
    version_bad_as_the_shift_begins_reverts: Reverted,
        vec![("v2", Fault { from: Duration::from_millis(7_400), ..FAILS })];
    slow_as_the_shift_begins_reverts: Reverted, vec![(
        "v2",
        Fault { part: 0.8, slowdown: Some(4), from: Duration::from_millis(7_400), ..FAILS },
    )];
    version_bad_under_load_reverts: Reverted, vec![("v2", Fault { from_load: 3, ..FAILS })];
    slow_version_reverts: Reverted, vec![("v2", Fault { part: 0.8, slowdown: Some(4), ..FAILS })];
    partly_slow_version_reverts: Reverted,
        vec![("v2", Fault { part: 0.4, slowdown: Some(5), ..FAILS })];
    version_bad_on_one_route_reverts: Reverted, vec![("v2", Fault { route: Some("chat"), ..FAILS })];
    hanging_version_reverts: Reverted,
        vec![("v2", Fault { part: 0.5, slowdown: Some(HANGS), ..FAILS })];
    version_no_worse_than_the_old_one_completes: Completed,
        vec![("v1", Fault { part: 0.1, ..FAILS }), ("v2", Fault { part: 0.1, ..FAILS })];
    good_version_beside_grey_old_version_completes: Completed,
        vec![("u3", Fault { part: 0.9, ..FAILS })];
}

#[test]
fn crashing_upstream_does_not_condemn_the_version() {
    for after in [1_500, 2_500] {
        for upstream in ["n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9"] {
            let mut scene = Scene::ordered();
            scene.crash = Some((upstream, Duration::from_millis(after)));
            assert_eq!(scene.run_to_end(WAIT), Some(RolloutState::Completed), "{upstream}");
        }
    }
}

/// Once the traffic has shifted, only the rollback time is bounded.
#[test]
fn version_that_turns_bad_during_the_shift_reverts() {
    let mut scene = Scene::ordered();
    scene.run_to_phase(RolloutPhase::Shifting, WAIT);
    let from = scene.fleet.now.since(scene.ordered_at) + Duration::from_millis(1_000);
    scene.faults = vec![("v2", Fault { from, ..FAILS })];
    // A long request at an old version keeps the roll-out from being completed.
    scene.hold_old(Duration::from_secs(20));
    assert_eq!(scene.run_to_end(WAIT), Some(RolloutState::Reverted));
    scene.run(Duration::from_secs(3));
    let fiftieth = scene.bad_at.get(49).copied().unwrap_or(scene.fleet.now);
    assert!(scene.last_at_target.since(fiftieth) <= Duration::from_secs(5));
}

macro_rules! version_with_upstreams_is {
    ($($name:ident: $upstreams:expr, $state:ident, $fault:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let fault: Option<Fault> = $fault;
                let mut scene = Scene::start_with($upstreams, $upstreams);
                scene.run(Duration::from_secs(2));
                scene.order("v2", ORDER);
                scene.faults.extend(fault.map(|fault| ("v2", fault)));
                assert_eq!(scene.run_to_end(WAIT), Some(RolloutState::$state));
                if RolloutState::$state == RolloutState::Reverted {
                    scene.run(Duration::from_secs(3));
                    scene.assert_bounds();
                }
            }
        )*
    };
}

version_with_upstreams_is! {
    good_version_of_three_upstreams_completes: 3, Completed, None;
    good_version_of_forty_upstreams_completes: 40, Completed, None;
    bad_version_of_three_upstreams_reverts: 3, Reverted, Some(FAILS);
    bad_version_of_forty_upstreams_reverts: 40, Reverted, Some(FAILS);
    version_of_three_upstreams_bad_under_load_reverts: 3, Reverted,
        Some(Fault { from_load: 7, ..FAILS });
    version_of_three_upstreams_slow_under_load_reverts: 3, Reverted,
        Some(Fault { part: 0.8, slowdown: Some(4), from_load: 7, ..FAILS });
    version_of_forty_upstreams_bad_under_load_reverts: 40, Reverted,
        Some(Fault { from_load: 2, ..FAILS });
}

/// A version may also cut connections; a single crash counts once a second, but not these.
#[test]
fn version_that_cuts_connections_reverts() {
    for from in [0, 9_800] {
        let mut scene = Scene::ordered();
        let from = Duration::from_millis(from);
        scene.faults = vec![("v2", Fault { from, is_cut: true, ..FAILS })];
        scene.hold_old(Duration::from_secs(20));
        assert_eq!(scene.run_to_end(WAIT), Some(RolloutState::Reverted));
        scene.run(Duration::from_secs(3));
        let fiftieth = scene.bad_at.get(49).copied().unwrap_or(scene.fleet.now);
        assert!(scene.last_at_target.since(fiftieth) <= Duration::from_secs(5));
    }
}

/// With few requests, the good verdict takes most of the time of the order.
#[test]
fn good_version_of_a_service_with_few_requests_completes() {
    let mut scene = Scene::start(10);
    scene.requests_per_s = 200;
    scene.run(Duration::from_secs(2));
    scene.order("v2", ORDER);
    assert_eq!(scene.run_to_end(WAIT), Some(RolloutState::Completed));
}

/// Requests that take long at the old version have the traffic shift early.
#[test]
fn long_requests_have_the_traffic_shift_early() {
    let mut scene = Scene::start(10);
    (0..ROUTERS).for_each(|node| scene.hold_old_at(node, Duration::from_secs(7)));
    scene.run(Duration::from_secs(8));
    scene.order("v2", ORDER);
    scene.run_to_phase(RolloutPhase::Shifting, WAIT);
    let begin = scene.fleet.now.since(scene.ordered_at);
    assert!(begin < Duration::from_secs(6), "after {begin:?}");
}

#[test]
fn grey_upstream_does_not_condemn_the_version() {
    for slowdown in [None, Some(5)] {
        let mut scene = Scene::start_with(40, 40);
        scene.run(Duration::from_secs(2));
        scene.order("v2", ORDER);
        scene.run(Duration::from_secs(1));
        let upstream: &str = scene.busy_target().as_str().to_owned().leak();
        scene.faults = vec![(upstream, Fault { part: 0.9, slowdown, ..FAILS })];
        assert_eq!(scene.run_to_end(WAIT), Some(RolloutState::Completed), "{slowdown:?}");
    }
}
