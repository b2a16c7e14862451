//! Streams over releases, kills of routers and faults of the store: none goes on at another version.

use std::time::Duration;

use crate::stream_scene::{Outcomes, Scene};
use crate::support::ms;

/// Streams that begin in each step.
const BEGINS: u64 = 2;

/// Replaces half of the upstreams by another version.
fn release_half(scene: &mut Scene) {
    for index in 0..2 {
        scene.start_upstream(10 + index, "v2");
        scene.run(ms(400), BEGINS);
    }
    for index in 0..2 {
        scene.stop_upstream(index, "v1");
    }
    scene.start_upstream(12, "v2");
}

/// Replaces the other half.
fn release_rest(scene: &mut Scene) {
    for index in 2..4 {
        scene.start_upstream(20 + index, "v2");
        scene.stop_upstream(index, "v1");
    }
}

/// Brings the first version back, which the release had replaced.
fn take_back(scene: &mut Scene) {
    for index in 30..33 {
        scene.start_upstream(index, "v1");
    }
    for index in [10, 11] {
        scene.stop_upstream(index, "v2");
    }
}

fn assert_not_joined(outcomes: Outcomes) {
    assert_eq!(outcomes.joined, 0, "{outcomes:?}");
    assert!(outcomes.went_on > 100, "{outcomes:?}");
}

/// Days of a release with trouble; `trouble` is called each second.
fn play(seed: u64, routers: usize, trouble: impl Fn(&mut Scene, u64)) -> Scene {
    let mut scene = Scene::new(seed, routers);
    scene.run(Duration::from_secs(5), BEGINS);
    for second in 0..80 {
        match second {
            3 => release_half(&mut scene),
            25 => release_rest(&mut scene),
            60 => take_back(&mut scene),
            _ => {}
        }
        trouble(&mut scene, second);
        scene.run(ms(1_000), BEGINS);
    }
    scene
}

macro_rules! streams_keep_their_version {
    ($($name:ident: $seeds:expr, $routers:expr, $trouble:expr;)*) => {
        $(
            #[test]
            fn $name() {
                for seed in $seeds {
                    let scene = play(seed, $routers, $trouble);
                    assert_not_joined(scene.outcomes);
                }
            }
        )*
    };
}

// ORDER of the incident and of the second report: streams joined from two versions, in simulated time.
streams_keep_their_version! {
    one_router_that_is_killed: 0..4, 1, |scene, second| if second % 7 == 6 { scene.kill(0) };
    all_routers_killed_at_once: 0..6, 4, |scene, second| if second % 5 == 4 { scene.kill_all() };
    all_routers_killed_twice_in_a_row: 0..6, 4, |scene, second| {
        if second % 9 == 4 {
            scene.kill_all();
            scene.run(ms(1_400), 2);
            scene.kill_all();
        }
    };
    store_down_and_all_routers_killed: 0..6, 4, |scene, second| {
        scene.store.is_down = (second % 12) >= 8;
        if second % 12 == 9 {
            scene.kill_all();
        }
    };
    writes_lost_and_routers_killed: 0..6, 4, |scene, second| {
        scene.lost_percent = if second % 20 < 10 { 40 } else { 0 };
        if second % 5 == 4 {
            scene.kill_all();
        }
    };
    routers_cut_off_and_killed: 0..6, 5, |scene, second| {
        let router = scene.draw(5) as usize;
        if second % 3 == 0 {
            scene.cut(router, ms(5_000));
        } else {
            scene.kill(router);
        }
    };
    store_restored: 0..6, 4, |scene, second| if second % 16 == 10 { scene.restore() };
    store_restored_as_routers_are_killed: 0..6, 4, |scene, second| if second % 16 == 10 {
        scene.restore();
        scene.kill(0);
        scene.kill(1);
    };
    large_fleet_with_kills: 0..1, 103, |scene, second| if second % 20 == 10 { scene.kill_all() };
}

// LOST: a stream is refused although upstreams of its version serve, and neither a router nor the store
// is in trouble.
#[test]
fn each_stream_goes_on_when_all_routers_are_killed() {
    for seed in 0..6 {
        let kill_all = |scene: &mut Scene, second| {
            if second % 5 == 4 {
                scene.kill_all()
            }
        };
        let scene = play(seed, 4, kill_all);
        assert_eq!(scene.outcomes.refused, 0, "seed {seed}: {:?}", scene.outcomes);
        assert_eq!(scene.cut_count, 0, "seed {seed}");
    }
}

// Cost of records on a day without a release.
#[test]
fn no_stream_is_recorded_without_a_release() {
    let mut scene = Scene::new(1, 4);
    scene.run(Duration::from_secs(10), BEGINS);
    let before = scene.store.writes;
    scene.run(Duration::from_secs(60), BEGINS);
    assert_eq!(scene.store.writes, before);
}

// LOST: a stream is refused at another router after a restore of the store, although the router that began
// it still runs.
#[test]
fn each_stream_goes_on_after_a_restore_when_no_router_ends() {
    for seed in 0..6 {
        let mut scene = Scene::new(seed, 4);
        scene.run(Duration::from_secs(5), BEGINS);
        release_half(&mut scene);
        scene.run(Duration::from_secs(10), BEGINS);
        scene.restore();
        scene.run(ms(1_500), BEGINS);
        scene.outcomes = Outcomes::default();
        scene.run(Duration::from_secs(40), BEGINS);
        assert_not_joined(scene.outcomes);
        assert_eq!(scene.outcomes.refused, 0, "seed {seed}: {:?}", scene.outcomes);
    }
}
