//! Which upstreams and which configuration a router goes by.

use std::time::Duration;

use sapphirespur_core::collections::HashSet;
use sapphirespur_core::edge::{PeerReport, SendOutcome, UpstreamState};
use sapphirespur_core::name::Name;

use crate::support::{START, call, entry, ms, router, table};

#[test]
fn an_older_configuration_never_comes_back() {
    let mut router = router("r", 1);
    assert!(router.registry_mut().apply_table(table(7, 1)));
    assert!(!router.registry_mut().apply_table(table(6, 1)));
    assert!(!router.registry_mut().apply_table(table(7, 1)));
    assert_eq!(router.registry().table().map(|table| table.version), Some(7));
}

#[test]
fn an_entry_that_lapsed_is_used_until_its_time_is_over() {
    let mut router = router("r", 1);
    router.registry_mut().remove_upstream_at("u0", START + ms(1_900));
    assert!(router.admit(START + ms(1_800), &call("w", 1, 10, 10)).is_ok());
    assert!(router.admit(START + ms(1_900), &call("w", 1, 10, 10)).is_err());
}

#[test]
fn an_entry_that_comes_back_in_time_is_no_departure() {
    let mut router = router("r", 1);
    router.registry_mut().remove_upstream_at("u0", START + ms(1_900));
    assert!(!router.registry_mut().apply_upstream(START + ms(1_000), entry("u0", 8_000)));
    assert!(router.admit(START + ms(5_000), &call("w", 1, 10, 10)).is_ok());
}

#[test]
fn a_second_loss_does_not_prolong_the_first() {
    let mut router = router("r", 1);
    router.registry_mut().remove_upstream_at("u0", START + ms(100));
    router.registry_mut().remove_upstream_at("u0", START + ms(1_900));
    assert!(router.admit(START + ms(200), &call("w", 1, 10, 10)).is_err());
}

#[test]
fn a_listing_takes_away_what_it_does_not_name() {
    let mut router = router("r", 2);
    let listed: HashSet<Name> = [Name::new("u1")].into_iter().collect();
    router.registry_mut().remove_unlisted_at(&listed, START);
    let placement = router.admit(START, &call("w", 1, 10, 10)).expect("placed");
    assert_eq!(placement.instance.as_str(), "u1");
}

#[test]
fn a_new_owner_of_an_address_replaces_the_old_one() {
    let mut router = router("r", 1);
    let mut other = entry("v0", 8_000);
    other.service = Name::new("elsewhere");
    router.registry_mut().apply_upstream(START, other);
    assert!(router.registry().upstreams().get("u0").is_none());
    assert!(router.admit(START, &call("w", 1, 10, 10)).is_err());
}

#[test]
fn a_misdirected_request_closes_the_upstream() {
    let mut router = router("r", 1);
    let placement = router.admit(START, &call("w", 1, 10, 10)).expect("placed");
    router.finish(START, &placement.request, SendOutcome::Misdirected);
    assert!(router.admit(START, &call("w", 1, 10, 10)).is_err());
}

#[test]
fn a_new_start_knows_nothing_of_the_old_one() {
    let mut router = router("r", 1);
    let old = router.admit(START, &call("w", 1, 5_000, 10)).expect("placed");
    let mut again = entry("u0", 8_000);
    again.started_ms = Some(2);
    assert!(router.registry_mut().apply_upstream(START, again));

    // The end of a request to the old start changes nothing.
    router.finish(START, &old.request, SendOutcome::Broken);
    let upstream = router.registry().upstreams().get("u0").expect("known");
    assert_eq!((upstream.load.in_flight, upstream.unhealthy_until), (0, Default::default()));
    let new = router.admit(START, &call("w", 1, 5_000, 10)).expect("placed");
    assert_eq!(new.request.prefill_tokens, 5_010, "its memory is empty");
}

#[test]
fn a_data_centre_that_is_out_gets_nothing() {
    let mut router = router("r", 1);
    router.registry_mut().mark_data_centre_out(Name::new("milano"));
    assert!(router.admit(START, &call("w", 1, 10, 10)).is_err());
    router.registry_mut().set_data_centres_out(START, &HashSet::default());
    assert!(router.admit(START, &call("w", 1, 10, 10)).is_ok());
}

#[test]
fn a_snapshot_brings_a_router_up_to_date_that_cannot_reach_the_record() {
    let mut ahead = router("r1", 3);
    ahead.registry_mut().apply_table(table(9, 1));
    let mut draining = entry("u1", 8_001);
    draining.state = UpstreamState::Draining;
    ahead.registry_mut().apply_upstream(START, draining);
    ahead.registry_mut().remove_upstream_at("u2", START);
    ahead.registry_mut().mark_data_centre_out(Name::new("torino"));
    ahead.registry_mut().set_revision(50);

    let mut behind = router("r2", 3);
    behind.registry_mut().set_revision(40);
    behind.apply_report(START, ahead.report(START));
    assert!(behind.peers().find_newer(START, behind.registry().revision()).is_some());

    let snapshot = ahead.registry().snapshot(START).expect("there is a configuration");
    assert!(behind.registry_mut().apply_snapshot(START, snapshot.clone()));
    assert_eq!(behind.registry().table().map(|table| table.version), Some(9));
    assert!(behind.registry().upstreams().data_centres_out().contains("torino"));
    let placement = behind.admit(START, &call("w", 1, 10, 10)).expect("placed");
    assert_eq!(placement.instance.as_str(), "u0");
    assert!(!behind.registry_mut().apply_snapshot(START, snapshot), "it is known now");
    assert!(behind.peers().find_newer(START, behind.registry().revision()).is_none());
}

#[test]
fn a_snapshot_says_how_long_upstreams_stay_cold() {
    let mut ahead = router("r1", 0);
    let mut cold = entry("u0", 8_000);
    cold.cold = Duration::from_secs(3);
    ahead.registry_mut().apply_upstream(START, cold);
    let snapshot = ahead.registry().snapshot(START + ms(1_000)).expect("there is a configuration");
    assert_eq!(snapshot.upstreams[0].cold, ms(2_000));
}

#[test]
fn reports_count_once_and_for_a_short_while() {
    let mut one = router("r1", 1);
    let mut two = router("r2", 1);
    let _placement = one.admit(START, &call("w", 1, 10, 3_000)).expect("placed");
    let report: PeerReport = one.report(START);
    assert!(two.apply_report(START, report.clone()));
    assert!(!two.apply_report(START, report), "it is not news");

    let key = two.registry().upstreams().get("u0").expect("known").key;
    assert_eq!(two.peers().load(START, key).in_flight, 1);
    assert_eq!(two.peers().load(START + ms(1_500), key).in_flight, 0);
    assert_eq!(two.peers().count(START + ms(1_500)), 1, "it is still a router of the fleet");
}
