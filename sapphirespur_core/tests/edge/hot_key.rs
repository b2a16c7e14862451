//! Requests that share prompt segments go to the upstream that has cached them, and spread when it
//! is busy.

use sapphirespur_core::collections::HashMap;
use sapphirespur_core::edge::{PrefixCache, Prompt, SendOutcome};
use sapphirespur_core::name::Name;

use crate::support::{START, answer, call, ms, router};

#[test]
fn shared_segment_is_prefilled_once_while_its_upstream_is_not_busy() {
    let mut router = router("r", 6);
    let mut used: HashMap<Name, u32> = HashMap::default();
    for step in 0..50 {
        let now = START + ms(200 * step);
        let placement = router.admit(now, &call("w", 7, 5_000, 100)).expect("placed");
        *used.entry(placement.instance.clone()).or_default() += 1;
        answer(&mut router, &placement, ms(50));
    }
    assert_eq!(used.len(), 1, "{used:?}");
}

#[test]
fn hot_segment_spreads_when_its_upstream_is_busy() {
    let mut router = router("r", 6);
    let mut used: HashMap<Name, u32> = HashMap::default();
    for _ in 0..120 {
        let mut call = call("w", 7, 5_000, 3_000);
        call.workspace = None;
        if let Ok(placement) = router.admit(START, &call) {
            *used.entry(placement.instance).or_default() += 1;
        }
    }
    assert!(used.len() > 1, "{used:?}");
}

#[test]
fn routers_choose_the_same_owner_without_reports() {
    let mut one = router("r1", 6);
    let mut two = router("r2", 6);
    for segment in 0..40 {
        let call = call("w", segment, 5_000, 100);
        let first = one.admit(START, &call).expect("placed");
        let second = two.admit(START, &call).expect("placed");
        assert_eq!(first.instance, second.instance, "segment {segment}");
        one.finish(START, &first.request, SendOutcome::Answered);
        two.finish(START, &second.request, SendOutcome::Answered);
    }
}

#[test]
fn report_contains_which_upstream_prefilled_a_segment() {
    let mut one = router("r1", 6);
    let mut two = router("r2", 6);
    // The first router places the segment on another upstream than its owner, as if the owner were
    // busy.
    let owner = one.admit(START, &call("w", 7, 5_000, 100)).expect("placed");
    let mut other_router = router("r1", 6);
    let elsewhere = other_router
        .admit_retry(START, &call("w", 7, 5_000, 100), std::slice::from_ref(&owner.instance), false)
        .expect("placed");
    assert_ne!(owner.instance, elsewhere.instance);

    assert!(two.apply_report(START, other_router.report(START)));
    let placement = two.admit(START, &call("w", 7, 5_000, 100)).expect("placed");
    assert_eq!(placement.instance, elsewhere.instance);
}

#[test]
fn least_recently_used_segment_is_evicted() {
    let mut cache = PrefixCache::default();
    let prompt = |id| Prompt::new(&[(id, 40)], 40, 0);
    for id in [1, 2, 1, 3] {
        cache.insert(START, &prompt(id).segments, 100);
    }
    let cached: Vec<u64> =
        (1..=3).filter(|id| cache.cached_prefix_tokens(&prompt(*id)) > 0).collect();
    assert_eq!(cached, [1, 3]);
}

#[test]
fn segment_after_an_evicted_one_does_not_count_as_cached() {
    let mut cache = PrefixCache::default();
    let chain = Prompt::new(&[(1, 60), (2, 60)], 120, 0);
    cache.insert(START, &chain.segments, 60);
    assert_eq!(cache.cached_prefix_tokens(&chain), 0);
    // The same segment after a different one has another hash.
    cache.insert(START, &Prompt::new(&[(9, 10), (2, 50)], 60, 0).segments, 1_000);
    assert_eq!(cache.cached_prefix_tokens(&chain), 0);
}

#[test]
fn unshared_tokens_evict_cached_segments() {
    let mut cache = PrefixCache::default();
    let prompt = Prompt::new(&[(1, 40)], 40, 0);
    cache.insert(START, &prompt.segments, 100);
    cache.insert_unshared(START, 60, 100);
    assert_eq!(cache.cached_prefix_tokens(&prompt), 40);
    cache.insert_unshared(START, 60, 100);
    assert_eq!(cache.cached_prefix_tokens(&prompt), 0);
}

#[test]
fn unshared_tokens_reported_by_peers_evict_cached_segments() {
    let mut one = router("r1", 1);
    let mut two = router("r2", 1);
    let cached = call("w", 7, 5_000, 100);
    one.admit(START, &cached).expect("placed");
    // The cache holds 400,000 tokens. The other router sends more than that, almost all of it
    // unshared.
    for request in 0..30 {
        let now = START + ms(1_000 * request);
        let placement = two.admit(now, &call("w", 100 + request, 10, 15_000)).expect("placed");
        answer(&mut two, &placement, ms(500));
        assert!(one.apply_report(now, two.report(now)));
    }
    let now = START + ms(30_000);
    let placement = one.admit(now, &cached).expect("placed");
    assert_eq!(placement.request.prefill_tokens, 5_100);
}
