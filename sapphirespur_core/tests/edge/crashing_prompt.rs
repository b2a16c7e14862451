//! Requests with one prompt segment crash every upstream that begins to respond to them.

use std::time::Duration;

use sapphirespur_core::edge::{DeclineReason, QuarantineKey, SendOutcome};
use sapphirespur_core::time::Time;

use crate::crash_scene::{FIRST, MAX_SENDS, Scene, prompt};
use crate::support::{START, ms, router};

/// Upstreams of the service.
const UPSTREAMS: u16 = 18;

/// Crashes after which few harmful requests may be sent.
const MAX_CRASHES: usize = 5;

/// Identity of the prompt segment that crashes.
const HARMFUL: u64 = 0x666;

/// Returns the keys of segments.
fn keys(segments: &[u64]) -> Vec<QuarantineKey> {
    segments.iter().map(|id| QuarantineKey::Segment(*id)).collect()
}

macro_rules! crashing_segment_stops_being_sent {
    ($($name:ident: $routers:expr, $data_centres:expr, $harmful:expr, $interval_ms:expr;)*) => {
        $(
            // Guards against sending requests on although upstreams have ended under one segment of
            // their prompts.
            #[test]
            fn $name() {
                let mut scene = Scene::start($routers, $data_centres, UPSTREAMS);
                scene.run(Duration::from_secs(5), None, ms(0));
                let calm = scene.sound_fraction(Time::default());
                scene.run(Duration::from_secs(25), Some(&prompt($harmful)), ms($interval_ms));
                assert!(!scene.crashes.is_empty());
                let sends = scene.sends_after_crashes(MAX_CRASHES);
                assert!(sends <= MAX_SENDS, "{sends} sends, {} crashes", scene.crashes.len());
                let later = scene.sound_fraction(scene.fleet.now - Duration::from_secs(12));
                assert!(later > calm / 2.0, "{later} of the sound requests, {calm} before");
            }
        )*
    };
}

crashing_segment_stops_being_sent! {
    one_router_stops_sending_a_crashing_segment: 1, 1, &[FIRST, HARMFUL], 900;
    four_routers_stop_sending_a_crashing_segment: 4, 3, &[FIRST, HARMFUL], 900;
    crashing_segment_that_comes_often_is_stopped: 4, 3, &[FIRST, HARMFUL], 120;
    crashing_segment_that_comes_rarely_is_stopped: 4, 3, &[FIRST, HARMFUL], 2_500;
    crashing_first_segment_is_stopped: 4, 3, &[HARMFUL, 0x21], 700;
    crashing_segment_between_others_is_stopped: 4, 3, &[FIRST, HARMFUL, 0x21], 700;
    thirty_routers_with_relays_stop_sending_a_crashing_segment: 30, 3, &[FIRST, HARMFUL], 300;
}

// Guards against refusing sound requests for what they share with those that crash upstreams.
#[test]
fn only_the_crashing_segment_is_quarantined_and_all_routers_know_it() {
    let mut scene = Scene::start(30, 3, UPSTREAMS);
    scene.run(Duration::from_secs(5), None, ms(0));
    scene.run(Duration::from_secs(10), Some(&prompt(&[FIRST, HARMFUL, 0x21])), ms(300));
    for node in 0..30 {
        assert_eq!(scene.quarantined(node), keys(&[HARMFUL]), "r{node}");
    }
}

// Guards against refusing a segment that comes in all requests, as upstreams end for other reasons.
#[test]
fn herd_kills_quarantine_no_segment() {
    let mut scene = Scene::start(4, 3, UPSTREAMS);
    scene.run(Duration::from_secs(2), None, ms(0));
    for _ in 0..4 {
        scene.crash_herd(6);
        scene.run(ms(700), None, ms(0));
        scene.crash_herd(6);
        scene.run(Duration::from_secs(6), None, ms(0));
        for node in 0..4 {
            assert_eq!(scene.quarantined(node), keys(&[]), "r{node}");
        }
    }
}

// Guards against a quarantine without an end after the cause has been mended.
#[test]
fn segment_that_no_longer_crashes_upstreams_is_released() {
    let mut scene = Scene::start(4, 3, UPSTREAMS);
    scene.run(Duration::from_secs(2), None, ms(0));
    scene.run(Duration::from_secs(4), Some(&prompt(&[FIRST, HARMFUL])), ms(500));
    assert_eq!(scene.quarantined(0), keys(&[HARMFUL]));
    scene.is_harmful = false;
    scene.run(Duration::from_secs(12), Some(&prompt(&[FIRST, HARMFUL])), ms(500));
    for node in 0..4 {
        assert_eq!(scene.quarantined(node), keys(&[]), "r{node}");
    }
}

// Guards against a router that sends what the others have quarantined, because it has just started.
#[test]
fn restarted_router_learns_what_is_quarantined() {
    for (routers, data_centres) in [(4, 3), (30, 3)] {
        let mut scene = Scene::start(routers, data_centres, UPSTREAMS);
        scene.run(Duration::from_secs(10), Some(&prompt(&[FIRST, HARMFUL])), ms(300));
        scene.fleet.nodes[1] = scene.fleet.node(1, data_centres, 2);
        scene.run(Duration::from_secs(3), None, ms(0));
        assert_eq!(scene.quarantined(1), keys(&[HARMFUL]));
    }
}

// Guards against answers to a harmful request that differ, or that bid the client to return soon.
#[test]
fn quarantined_request_is_refused_at_once_and_alike() {
    let mut scene = Scene::start(2, 1, UPSTREAMS);
    scene.run(Duration::from_secs(4), Some(&prompt(&[FIRST, HARMFUL])), ms(300));
    let now = scene.fleet.now;
    let router = &mut scene.fleet.nodes[0].router;
    for _ in 0..3 {
        let decline = router.admit(now, &prompt(&[FIRST, HARMFUL])).expect_err("refused");
        assert_eq!(decline.reason, DeclineReason::Quarantined);
        assert!(decline.retry_after >= Duration::from_secs(5));
    }
    assert!(router.admit(now, &prompt(&[FIRST, 0x21])).is_ok());
}

// Guards against a response without a length that a crash cut before its first event, taken as whole.
#[test]
fn response_that_may_have_been_cut_as_it_began_proves_nothing() {
    let mut router = router("r", 4);
    let mut now = START;
    for _ in 0..2 {
        now = now + ms(100);
        let mut lost = router.admit(now, &prompt(&[HARMFUL])).expect("placed").request;
        router.on_first_event(now, &mut lost);
        router.on_upstream_lost(now, &lost);
        router.finish(now, &lost, SendOutcome::Answered);
    }
    assert_eq!(router.quarantine().quarantined(), keys(&[HARMFUL]));

    let later = now + Duration::from_secs(6);
    let mut tried = router.admit(later, &prompt(&[HARMFUL])).expect("it is tried").request;
    assert!(router.admit(later, &prompt(&[HARMFUL])).is_err(), "one at a time");
    tried.is_framed = true;
    router.finish(later, &tried, SendOutcome::Answered);
    assert_eq!(router.quarantine().quarantined(), keys(&[]));
}

// Guards against sound segments that stay refused since they were new when upstreams crashed.
#[test]
fn sound_segments_suspected_right_after_the_start_are_released() {
    let mut scene = Scene::start(4, 3, UPSTREAMS);
    scene.run(Duration::from_secs(25), Some(&prompt(&[FIRST, HARMFUL])), ms(500));
    for node in 0..4 {
        assert_eq!(scene.quarantined(node), keys(&[HARMFUL]), "r{node}");
    }
    assert!(scene.sends_after_crashes(MAX_CRASHES) <= MAX_SENDS);
}

// Guards against trials that cost one upstream after the other.
#[test]
fn crashing_segment_is_tried_rarely_over_a_long_time() {
    let mut scene = Scene::start(4, 3, UPSTREAMS);
    scene.run(Duration::from_secs(100), Some(&prompt(&[FIRST, HARMFUL])), ms(300));
    assert!(scene.crashes.len() <= MAX_CRASHES + MAX_SENDS, "{} crashes", scene.crashes.len());
    assert!(scene.sends_after_crashes(MAX_CRASHES) <= MAX_SENDS);
}

// Guards against what routers forget when they are restarted, one after the other.
#[test]
fn crashing_segment_stays_quarantined_while_routers_restart_in_turn() {
    let mut scene = Scene::start(4, 3, UPSTREAMS);
    scene.run(Duration::from_secs(6), Some(&prompt(&[FIRST, HARMFUL])), ms(300));
    for (count, index) in [0, 1, 2, 3, 0, 1, 2, 3].into_iter().enumerate() {
        scene.restart(index, 3, 2 + count as u64);
        scene.run(Duration::from_secs(4), Some(&prompt(&[FIRST, HARMFUL])), ms(300));
    }
    assert!(scene.crashes.len() <= MAX_CRASHES + MAX_SENDS, "{} crashes", scene.crashes.len());
    assert!(scene.sends_after_crashes(MAX_CRASHES) <= MAX_SENDS);
}

// Guards against a second harmful segment that is not found beside the first.
#[test]
fn two_crashing_segments_are_both_quarantined() {
    const OTHER: u64 = 0x777;

    let mut scene = Scene::start(4, 3, UPSTREAMS);
    scene.run(Duration::from_secs(3), None, ms(0));
    for _ in 0..20 {
        scene.run(ms(400), Some(&prompt(&[FIRST, HARMFUL])), ms(400));
        scene.run(ms(400), Some(&prompt(&[0x21, OTHER])), ms(400));
    }
    for node in 0..4 {
        assert_eq!(scene.quarantined(node), keys(&[HARMFUL, OTHER]), "r{node}");
    }
    let served = scene.sound_fraction(scene.fleet.now - Duration::from_secs(5));
    assert!(served > 0.5, "{served} of the sound requests");
}
