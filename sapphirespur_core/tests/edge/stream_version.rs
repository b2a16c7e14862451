//! Streams that go on while upstreams of two software versions serve.

use std::time::Duration;

use sapphirespur_core::edge::{CallInfo, DeclineReason, Router, UpstreamEntry, UpstreamState};
use sapphirespur_core::name::Name;

use crate::fleet::{Fleet, SETTLED, STEP};
use crate::support::{START, call, entry, ms, router};

/// Returns the entry of an upstream of a version.
fn versioned(id: &str, port: u16, version: &str) -> UpstreamEntry {
    UpstreamEntry { version: Name::new(version), ..entry(id, port) }
}

/// Returns a router with two upstreams of `v1` and two of `v2`.
fn mixed_router() -> Router {
    let mut router = router("edge-1", 2);
    for (id, port) in [("u2", 8_002), ("u3", 8_003)] {
        router.registry_mut().apply_upstream(START, versioned(id, port, "v2"));
    }
    router
}

/// Returns a call that goes on at a version.
fn resumed(version: &str) -> CallInfo {
    CallInfo { version: Some(Name::new(version)), goes_on: true, ..call("w", 1, 1_000, 100) }
}

// ORDER: a stream that goes on is placed at an upstream of another version.
#[test]
fn stream_goes_on_only_at_upstreams_of_its_version() {
    let mut router = mixed_router();
    for _ in 0..20 {
        for version in ["v1", "v2"] {
            let placement = router.admit(START, &resumed(version)).expect("placed");
            assert_eq!(placement.request.version.as_str(), version);
        }
    }
}

// LOST: a stream that goes on is refused where its workspace is above its share, as if it were new.
#[test]
fn stream_that_goes_on_is_not_refused_for_its_share() {
    let mut router = mixed_router();
    let mut refused = 0;
    for _ in 0..400 {
        let admission = router.admit(START, &call("w", 1, 4_000, 4_000));
        refused += u32::from(admission.is_err());
    }
    assert!(refused > 0, "the upstreams are busy");
    assert!(router.admit(START, &resumed("v1")).is_ok());
}

macro_rules! version_without_upstream {
    ($($name:ident: $leave:expr => $reason:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let mut router = mixed_router();
                let leave: fn(&mut Router) = $leave;
                leave(&mut router);
                let decline = router.admit(START, &resumed("v1")).expect_err("declined");
                assert_eq!(decline.reason, DeclineReason::$reason);
                assert!(router.admit(START, &resumed("v2")).is_ok());
                assert!(router.admit(START, &call("w", 1, 10, 10)).is_ok());
            }
        )*
    };
}

fn drain(router: &mut Router, id: &str, port: u16) {
    let draining = UpstreamEntry { state: UpstreamState::Draining, ..versioned(id, port, "v1") };
    router.registry_mut().apply_upstream(START, draining);
}

fn lose(router: &mut Router, id: &str) {
    router.registry_mut().remove_upstream_at(id, START);
    router.tick(START);
}

// A client is told to come back for a version that has left, or to begin anew for one that has crashed.
version_without_upstream! {
    version_that_drains_is_gone: |router| {
        drain(router, "u0", 8_000);
        drain(router, "u1", 8_001);
    } => VersionGone;
    version_that_drained_and_left_is_gone: |router| {
        drain(router, "u0", 8_000);
        drain(router, "u1", 8_001);
        lose(router, "u0");
        lose(router, "u1");
    } => VersionGone;
    version_that_crashed_may_come_back: |router| {
        lose(router, "u0");
        lose(router, "u1");
    } => NoUpstream;
    version_that_is_paused_comes_back: |router| {
        for upstream in router.registry_mut().upstreams_mut().iter_mut() {
            if upstream.entry.version.as_str() == "v1" {
                upstream.pause(START, Duration::from_secs(1));
            }
        }
    } => Paused;
}

macro_rules! cut_off_routers {
    ($($(#[$meta:meta])* $name:ident: $routers:expr;)*) => {$(
        $(#[$meta])*
        #[test]
        fn $name() {
            const TAKE_UP_TIME: Duration = Duration::from_millis(1_200);

            let mut fleet = Fleet::start($routers, 2);
            fleet.run(SETTLED);
            let since = fleet.now;
            fleet.run(TAKE_UP_TIME);
            for node in &fleet.nodes {
                assert!(node.router.has_newest_registry(fleet.now, since), "it hears the others");
            }

            fleet.cut.extend([(0, 0), (0, 1), (1, 0)]);
            let arrived_at = fleet.now + ms(50);
            for _ in 0..TAKE_UP_TIME.as_millis() / STEP.as_millis() {
                fleet.step();
                let router = &fleet.nodes[0].router;
                assert!(!router.has_newest_registry(fleet.now, arrived_at));
            }
        }
    )*};
}

cut_off_routers! {
    // ORDER: a router that is cut off takes the only version that it knows for the one that began a
    // stream at another router, as long as it has reports from before the cut.
    cut_off_router_of_four_does_not_infer_the_version_of_a_stream: 4;
    cut_off_router_of_24_does_not_infer_the_version_of_a_stream: 24;
}
