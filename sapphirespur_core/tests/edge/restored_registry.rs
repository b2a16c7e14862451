//! A registry that comes back from an older copy: old entries, withdrawn evacuations and reused
//! revisions.

use std::time::Duration;

use sapphirespur_core::collections::HashSet;
use sapphirespur_core::edge::{RegistryVersion, Router, UpstreamEntry, UpstreamState};
use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;

use crate::support::{START, call, entry, ms, router, table};

/// End of the grace period of a registry that is restored at `START`.
const GRACE_END: Time = Time::from_micros(START.as_micros() + 3_000_000);

fn version(era: u64, revision: u64) -> RegistryVersion {
    RegistryVersion { era, revision }
}

/// Returns an entry of `u0` with its number.
fn numbered(sequence: u64, state: UpstreamState) -> UpstreamEntry {
    UpstreamEntry { sequence: Some(sequence), state, ..entry("u0", 8_000) }
}

fn is_placed(router: &mut Router, now: Time) -> bool {
    router.admit(now, &call("w", 1, 10, 10)).is_ok()
}

#[test]
fn later_era_is_newer_whatever_its_revision() {
    assert!(version(2, 10) > version(1, 50));
    assert!(version(2, 11) > version(2, 10));
}

#[test]
fn older_entry_does_not_open_a_draining_upstream() {
    let mut router = router("r", 0);
    router.registry_mut().apply_upstream(START, numbered(7, UpstreamState::Draining));
    router.registry_mut().apply_upstream(START, numbered(6, UpstreamState::Ready));
    assert!(!is_placed(&mut router, START));
    router.registry_mut().apply_upstream(START, numbered(8, UpstreamState::Ready));
    assert!(is_placed(&mut router, START));
}

#[test]
fn older_entry_does_not_bring_back_an_upstream_that_left() {
    let mut router = router("r", 0);
    router.registry_mut().apply_upstream(START, numbered(7, UpstreamState::Ready));
    router.registry_mut().remove_upstream_at("u0", START);
    router.tick(START + ms(100));
    router.registry_mut().on_restored(START + ms(100));
    assert!(
        !router.registry_mut().apply_upstream(START + ms(200), numbered(7, UpstreamState::Ready))
    );
    assert!(!is_placed(&mut router, START + ms(200)));

    // A newer entry shows that the instance lives, and another start is another instance.
    assert!(
        router.registry_mut().apply_upstream(START + ms(300), numbered(8, UpstreamState::Ready))
    );
    router.registry_mut().remove_upstream_at("u0", START + ms(400));
    router.tick(START + ms(400));
    let restarted = UpstreamEntry { started_ms: Some(2), ..numbered(1, UpstreamState::Ready) };
    assert!(router.registry_mut().apply_upstream(START + ms(500), restarted));
}

// DRAIN: a copy brings an upstream back that has left, as its last entry is in it and requests are still there.
#[test]
fn copy_does_not_bring_back_an_upstream_that_left_with_requests_in_flight() {
    let mut router = router("r", 0);
    router.registry_mut().apply_upstream(START, numbered(7, UpstreamState::Ready));
    assert!(is_placed(&mut router, START));
    router.registry_mut().remove_upstream_at("u0", START + ms(100));
    router.tick(START + ms(200));
    router.registry_mut().on_restored(START + ms(200));
    router.registry_mut().apply_upstream(START + ms(300), numbered(7, UpstreamState::Ready));
    assert!(!is_placed(&mut router, START + ms(300)));

    // A newer entry shows that the instance lives.
    router.registry_mut().apply_upstream(START + ms(400), numbered(8, UpstreamState::Ready));
    assert!(is_placed(&mut router, START + ms(400)));
}

// LOST: an upstream whose entry the store lacks for a moment after a restore is not used again, although it lives.
#[test]
fn copy_keeps_an_upstream_whose_removal_is_only_scheduled() {
    let mut router = router("r", 0);
    router.registry_mut().apply_upstream(START, numbered(7, UpstreamState::Ready));
    router.registry_mut().remove_upstream_at("u0", START + ms(2_000));
    router.registry_mut().on_restored(START);
    router.registry_mut().apply_upstream(START + ms(100), numbered(7, UpstreamState::Ready));
    assert!(is_placed(&mut router, START + ms(2_500)));
}

#[test]
fn upstream_replaced_at_its_address_does_not_return_from_a_copy() {
    let mut router = router("r", 0);
    router.registry_mut().apply_upstream(START, numbered(7, UpstreamState::Ready));
    let successor = UpstreamEntry { id: Name::new("u9"), ..numbered(1, UpstreamState::Ready) };
    router.registry_mut().apply_upstream(START, successor);
    router.registry_mut().on_restored(START);
    router.registry_mut().apply_upstream(START, numbered(6, UpstreamState::Ready));
    let placed = router.admit(START, &call("w", 1, 10, 10)).expect("placed");
    assert_eq!(placed.instance.as_str(), "u9");
}

#[test]
fn data_centre_missing_from_the_copy_stays_out_for_the_grace_period() {
    let mut router = router("r", 1);
    router.registry_mut().mark_data_centre_out(Name::new("milano"));
    router.registry_mut().on_restored(START);
    router.registry_mut().set_data_centres_out(START, &HashSet::default());
    router.tick(GRACE_END - ms(1));
    assert!(!is_placed(&mut router, GRACE_END - ms(1)));
    router.tick(GRACE_END);
    assert!(is_placed(&mut router, GRACE_END + Duration::from_secs(5)));
}

#[test]
fn data_centre_written_out_again_stays_out_after_the_grace_period() {
    let mut router = router("r", 1);
    router.registry_mut().mark_data_centre_out(Name::new("milano"));
    router.registry_mut().on_restored(START);
    router.registry_mut().set_data_centres_out(START, &HashSet::default());
    router.registry_mut().mark_data_centre_out(Name::new("milano"));
    router.tick(GRACE_END);
    assert!(!is_placed(&mut router, GRACE_END));
}

#[test]
fn snapshot_of_a_later_era_is_taken_and_configuration_does_not_revert() {
    let mut newer = router("r1", 1);
    newer.registry_mut().set_version(version(2, 10));
    let snapshot = newer.registry().snapshot(START).expect("there is a configuration");

    let mut older = router("r2", 2);
    older.registry_mut().apply_table(table(9, 1));
    older.registry_mut().set_version(version(1, 50));
    assert!(older.registry_mut().apply_snapshot(START, snapshot));
    assert_eq!(older.registry().table().map(|table| table.version), Some(9));
    assert_eq!(older.registry().version(), version(2, 10));
    let kept = older.registry().upstreams().get("u1").expect("the upstream exists");
    assert_eq!(kept.gone_at, Some(GRACE_END), "its entry may be written again");
}

#[test]
fn entry_that_lapsed_in_an_outage_brings_its_upstream_back() {
    let mut router = router("r", 0);
    router.registry_mut().apply_upstream(START, numbered(7, UpstreamState::Ready));
    router.registry_mut().remove_upstream_at("u0", START);
    router.tick(START + ms(100));
    assert!(
        router.registry_mut().apply_upstream(START + ms(200), numbered(7, UpstreamState::Ready))
    );
    assert!(is_placed(&mut router, START + ms(200)));
}

#[test]
fn restarted_router_learns_from_a_peer_what_the_copy_lacks() {
    let mut peer = router("r1", 0);
    peer.registry_mut().apply_table(table(9, 1));
    peer.registry_mut().apply_upstream(START, numbered(7, UpstreamState::Draining));
    let left = UpstreamEntry { sequence: Some(5), ..entry("u1", 8_001) };
    peer.registry_mut().apply_upstream(START, left.clone());
    peer.registry_mut().remove_upstream_at("u1", START);
    peer.tick(START);

    let mut restarted = router("r2", 0);
    let at = version(2, 10);
    peer.registry_mut().set_version(at);
    restarted.registry_mut().set_version(at);
    restarted.registry_mut().apply_upstream(START, numbered(6, UpstreamState::Ready));
    restarted.registry_mut().apply_upstream(START, left);
    restarted.apply_report(START, peer.report(START));
    assert!(restarted.peers().find_newer_config(START, 1).is_some());

    let snapshot = peer.registry().snapshot(START).expect("there is a configuration");
    assert!(restarted.registry_mut().merge_snapshot(START, snapshot));
    assert!(!is_placed(&mut restarted, START), "one drains and one has left");
    assert!(restarted.peers().find_newer_config(START, 9).is_none());
}

#[test]
fn copy_of_an_earlier_start_does_not_replace_the_running_instance() {
    let mut router = router("r", 0);
    let running = UpstreamEntry { started_ms: Some(2), ..numbered(1, UpstreamState::Ready) };
    router.registry_mut().apply_upstream(START, running);
    router.registry_mut().on_restored(START);
    assert!(!router.registry_mut().apply_upstream(START, numbered(9, UpstreamState::Ready)));
    let kept = router.registry().upstreams().get("u0").expect("the upstream exists");
    assert_eq!(kept.entry.started_ms, Some(2));
}
