//! Upstreams, data centres and configuration as read from the registry or another router.

use std::time::Duration;

use sapphirespur_core::collections::HashSet;
use sapphirespur_core::edge::{PeerReport, RegistryVersion, SendOutcome, UpstreamState};
use sapphirespur_core::name::Name;

use crate::support::{START, call, entry, ms, router, table};

#[test]
fn older_configuration_is_ignored() {
    let mut router = router("r", 1);
    assert!(router.registry_mut().apply_table(table(7, 1)));
    assert!(!router.registry_mut().apply_table(table(6, 1)));
    assert!(!router.registry_mut().apply_table(table(7, 1)));
    assert_eq!(router.registry().table().map(|table| table.version), Some(7));
}

#[test]
fn upstream_with_a_missing_entry_is_used_until_its_removal_time() {
    let mut router = router("r", 1);
    router.registry_mut().remove_upstream_at("u0", START + ms(1_900));
    assert!(router.admit(START + ms(1_800), &call("w", 1, 10, 10)).is_ok());
    assert!(router.admit(START + ms(1_900), &call("w", 1, 10, 10)).is_err());
}

#[test]
fn entry_that_returns_before_the_removal_time_keeps_the_upstream() {
    let mut router = router("r", 1);
    router.registry_mut().remove_upstream_at("u0", START + ms(1_900));
    assert!(!router.registry_mut().apply_upstream(START + ms(1_000), entry("u0", 8_000)));
    assert!(router.admit(START + ms(5_000), &call("w", 1, 10, 10)).is_ok());
}

#[test]
fn later_removal_time_does_not_replace_an_earlier_one() {
    let mut router = router("r", 1);
    router.registry_mut().remove_upstream_at("u0", START + ms(100));
    router.registry_mut().remove_upstream_at("u0", START + ms(1_900));
    assert!(router.admit(START + ms(200), &call("w", 1, 10, 10)).is_err());
}

#[test]
fn upstream_missing_from_a_listing_is_removed() {
    let mut router = router("r", 2);
    let listed: HashSet<Name> = [Name::new("u1")].into_iter().collect();
    router.registry_mut().remove_unlisted_at(&listed, START);
    let placement = router.admit(START, &call("w", 1, 10, 10)).expect("placed");
    assert_eq!(placement.instance.as_str(), "u1");
}

#[test]
fn new_owner_of_an_address_replaces_the_old_one() {
    let mut router = router("r", 1);
    let mut other = entry("v0", 8_000);
    other.service = Name::new("elsewhere");
    router.registry_mut().apply_upstream(START, other);
    assert!(router.registry().upstreams().get("u0").is_none());
    assert!(router.admit(START, &call("w", 1, 10, 10)).is_err());
}

#[test]
fn misdirected_request_closes_the_upstream() {
    let mut router = router("r", 1);
    let placement = router.admit(START, &call("w", 1, 10, 10)).expect("placed");
    router.finish(START, &placement.request, SendOutcome::Misdirected);
    assert!(router.admit(START, &call("w", 1, 10, 10)).is_err());
}

#[test]
fn restarted_upstream_has_no_earlier_load_or_cache() {
    let mut router = router("r", 1);
    let old = router.admit(START, &call("w", 1, 5_000, 10)).expect("placed");
    let mut restarted = entry("u0", 8_000);
    restarted.started_ms = Some(2);
    assert!(router.registry_mut().apply_upstream(START, restarted));

    // The end of a request to the old instance changes nothing.
    router.finish(START, &old.request, SendOutcome::Broken);
    let upstream = router.registry().upstreams().get("u0").expect("the upstream exists");
    assert_eq!((upstream.load.in_flight, upstream.unhealthy_until), (0, Default::default()));
    let new = router.admit(START, &call("w", 1, 5_000, 10)).expect("placed");
    assert_eq!(new.request.prefill_tokens, 5_010, "the cache of the new instance is empty");
}

#[test]
fn data_centre_that_is_out_gets_no_requests() {
    let mut router = router("r", 1);
    router.registry_mut().mark_data_centre_out(Name::new("milano"));
    assert!(router.admit(START, &call("w", 1, 10, 10)).is_err());
    router.registry_mut().set_data_centres_out(START, &HashSet::default());
    assert!(router.admit(START, &call("w", 1, 10, 10)).is_ok());
}

#[test]
fn snapshot_updates_a_router_that_cannot_reach_the_registry() {
    let mut newer = router("r1", 3);
    newer.registry_mut().apply_table(table(9, 1));
    let mut draining = entry("u1", 8_001);
    draining.state = UpstreamState::Draining;
    newer.registry_mut().apply_upstream(START, draining);
    newer.registry_mut().remove_upstream_at("u2", START);
    newer.registry_mut().mark_data_centre_out(Name::new("torino"));
    newer.registry_mut().set_version(RegistryVersion { era: 1, revision: 50 });

    let mut older = router("r2", 3);
    older.registry_mut().set_version(RegistryVersion { era: 1, revision: 40 });
    older.apply_report(START, newer.report(START));
    assert!(older.peers().find_newer(START, older.registry().version()).is_some());

    let snapshot = newer.registry().snapshot(START).expect("there is a configuration");
    assert!(older.registry_mut().apply_snapshot(START, snapshot.clone()));
    assert_eq!(older.registry().table().map(|table| table.version), Some(9));
    assert!(older.registry().upstreams().data_centres_out().contains("torino"));
    let placement = older.admit(START, &call("w", 1, 10, 10)).expect("placed");
    assert_eq!(placement.instance.as_str(), "u0");
    assert!(
        !older.registry_mut().apply_snapshot(START, snapshot),
        "the snapshot is applied already"
    );
    assert!(older.peers().find_newer(START, older.registry().version()).is_none());
}

#[test]
fn snapshot_contains_the_remaining_cold_time() {
    let mut newer = router("r1", 0);
    let mut cold = entry("u0", 8_000);
    cold.cold = Duration::from_secs(3);
    newer.registry_mut().apply_upstream(START, cold);
    let snapshot = newer.registry().snapshot(START + ms(1_000)).expect("there is a configuration");
    assert_eq!(snapshot.upstreams[0].cold, ms(2_000));
}

#[test]
fn report_counts_once_and_expires() {
    let mut one = router("r1", 1);
    let mut two = router("r2", 1);
    let _placement = one.admit(START, &call("w", 1, 10, 3_000)).expect("placed");
    let report: PeerReport = one.report(START);
    assert!(two.apply_report(START, report.clone()));
    assert!(!two.apply_report(START, report), "a report counts once");

    let key = two.registry().upstreams().get("u0").expect("the upstream exists").key;
    assert_eq!(two.peers().load(START, key).in_flight, 1);
    assert_eq!(two.peers().load(START + ms(1_500), key).in_flight, 0);
    assert_eq!(two.peers().count(START + ms(1_500)), 1, "the router is still counted");
}
