//! Cached prompt segments are fetched from another upstream instead of being prefilled again.

use sapphirespur_core::edge::{
    EngineSpec, Placement, Router, SendOutcome, UpstreamEntry, UpstreamState,
};
use sapphirespur_core::name::Name;

use crate::support::{START, answer, call, entry, ms, router, table};

/// Link over which fetching is much faster than prefilling: bytes per token and megabits per
/// second.
const FAST_LINK: (u64, f64) = (20_000, 100_000.0);

/// Link over which fetching is slower than prefilling.
const SLOW_LINK: (u64, f64) = (20_000, 100.0);

/// Returns a router with three upstreams whose engines have the given link.
fn router_with_link(link: (u64, f64)) -> Router {
    let mut router = router("r", 3);
    let mut table = table(2, 100_000);
    let (token_bytes, link_mbps) = link;
    for spec in table.services.values_mut() {
        spec.engine = spec.engine.map(|engine| EngineSpec { token_bytes, link_mbps, ..engine });
    }
    assert!(router.registry_mut().apply_table(table));
    router
}

/// Places two requests with the same prompt, the second one on another upstream than the first, and
/// returns both placements; `between` runs after the first one was answered.
fn place_twice(
    router: &mut Router,
    between: impl FnOnce(&mut Router, &Placement),
) -> [Placement; 2] {
    let call = call("w", 7, 5_000, 100);
    let first = router.admit(START, &call).expect("placed");
    answer(router, &first, ms(50));
    between(router, &first);
    let tried = [first.instance.clone()];
    let second = router.admit_retry(START + ms(1_000), &call, &tried, false).expect("placed");
    [first, second]
}

#[test]
fn cached_segment_is_fetched_from_another_upstream() {
    let [first, second] = place_twice(&mut router_with_link(FAST_LINK), |_, _| {});
    assert_eq!(first.fetch_from, None);
    assert_eq!(second.fetch_from, Some(first.address));
    assert_eq!(second.request.prefill_tokens, 0);
}

#[test]
fn segment_is_prefilled_when_fetching_is_slower() {
    let [_, second] = place_twice(&mut router_with_link(SLOW_LINK), |_, _| {});
    assert_eq!((second.fetch_from, second.request.prefill_tokens), (None, 5_100));
}

#[test]
fn nothing_is_fetched_without_a_link() {
    let [_, second] = place_twice(&mut router_with_link((0, 0.0)), |_, _| {});
    assert_eq!((second.fetch_from, second.request.prefill_tokens), (None, 5_100));
}

#[test]
fn nothing_is_fetched_from_a_failing_upstream() {
    let [_, second] = place_twice(&mut router_with_link(FAST_LINK), |router, first| {
        let others = ["u0", "u1", "u2"].map(Name::new);
        let others: Vec<_> = others.into_iter().filter(|id| *id != first.instance).collect();
        for _ in 0..3 {
            let now = START + ms(100);
            let placement =
                router.admit_retry(now, &call("w", 7, 5_000, 100), &others, false).expect("placed");
            router.finish(now, &placement.request, SendOutcome::Failed);
        }
    });
    assert_eq!(second.fetch_from, None);
}

#[test]
fn nothing_is_fetched_from_a_draining_upstream() {
    let [_, second] = place_twice(&mut router_with_link(FAST_LINK), |router, first| {
        let number: u16 = first.instance.as_str()[1..].parse().expect("a number");
        let mut draining = entry(first.instance.as_str(), 8_000 + number);
        draining.state = UpstreamState::Draining;
        router.registry_mut().apply_upstream(START, draining);
    });
    assert_eq!(second.fetch_from, None);
}

#[test]
fn nothing_is_fetched_from_a_restarted_upstream() {
    let [_, second] = place_twice(&mut router_with_link(FAST_LINK), |router, first| {
        let number: u16 = first.instance.as_str()[1..].parse().expect("a number");
        let mut restarted = entry(first.instance.as_str(), 8_000 + number);
        restarted.started_ms = Some(2);
        router.registry_mut().apply_upstream(START, restarted);
    });
    assert_eq!(second.fetch_from, None);
}

#[test]
fn fetched_segment_is_cached_at_the_destination() {
    let mut router = router_with_link(FAST_LINK);
    let [first, second] = place_twice(&mut router, |_, _| {});
    answer(&mut router, &second, ms(50));
    let tried = [first.instance, Name::new("elsewhere")];
    let now = START + ms(2_000);
    let third = router.admit_retry(now, &call("w", 7, 5_000, 100), &tried, false).expect("placed");
    assert_eq!((third.instance, third.fetch_from), (second.instance, None));
}

#[test]
fn segment_is_not_fetched_before_it_is_prefilled() {
    let mut router = router_with_link(FAST_LINK);
    let call = call("w", 7, 5_000, 100);
    let first = router.admit(START, &call).expect("placed");
    let tried = [first.instance.clone()];
    let early = router.admit_retry(START, &call, &tried, false).expect("placed");
    assert_eq!(early.fetch_from, None);
    let now = START + first.expected_delay.max(early.expected_delay);
    router.finish(now, &early.request, SendOutcome::Abandoned);
    let tried = [first.instance, early.instance];
    let late = router.admit_retry(now, &call, &tried, false).expect("placed");
    // Both upstreams have prefilled the prompt by then.
    let sources = [Some(first.address), Some(early.address)];
    assert!(sources.contains(&late.fetch_from), "{late:?}");
}

#[test]
fn segment_that_another_router_may_have_placed_is_fetched_from_its_owner() {
    let call = call("w", 7, 5_000, 100);
    let mut other = router_with_link(FAST_LINK);
    let first = other.admit(START, &call).expect("placed");
    let mut report = other.report(START);
    report.router += 1;
    report.reads.clear();

    // Both routers know the owner; this one knows of no placement, but that work goes there.
    let mut unaware = router_with_link(FAST_LINK);
    let tried = std::slice::from_ref(&first.instance);
    let alone = unaware.admit_retry(START, &call, tried, false).expect("placed");
    assert_eq!(alone.fetch_from, None, "no other router works there");

    let mut unaware = router_with_link(FAST_LINK);
    assert!(unaware.apply_report(START, report));
    let placed = unaware.admit_retry(START, &call, tried, false).expect("placed");
    assert_eq!(placed.fetch_from, Some(first.address));
    assert_eq!(placed.request.prefill_tokens, 5_100, "it does not count on it");
}

#[test]
fn nothing_is_fetched_from_an_owner_that_drains() {
    let call = call("w", 7, 5_000, 100);
    let mut other = router_with_link(FAST_LINK);
    let owner = other.admit(START, &call).expect("placed");
    let mut report = other.report(START);
    report.router += 1;
    report.reads.clear();

    let mut unaware = router_with_link(FAST_LINK);
    assert!(unaware.apply_report(START, report));
    let number: u16 = owner.instance.as_str()[1..].parse().expect("a number");
    let draining = UpstreamEntry {
        state: UpstreamState::Draining,
        ..entry(owner.instance.as_str(), 8_000 + number)
    };
    unaware.registry_mut().apply_upstream(START, draining);
    assert_eq!(unaware.admit(START, &call).expect("placed").fetch_from, None);
}
