//! Prompts that share parts meet where the parts are kept, and spread when that upstream is busy.

use sapphirespur_core::collections::HashMap;
use sapphirespur_core::edge::{PrefixCache, Prompt, SendOutcome};
use sapphirespur_core::name::Name;

use crate::support::{START, answer, call, ms, router};

#[test]
fn a_part_is_read_once_while_there_is_room() {
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
fn a_hot_part_spreads_when_its_upstream_is_busy() {
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
fn routers_meet_at_the_same_upstream_without_talking() {
    let mut one = router("r1", 6);
    let mut two = router("r2", 6);
    for part in 0..40 {
        let call = call("w", part, 5_000, 100);
        let first = one.admit(START, &call).expect("placed");
        let second = two.admit(START, &call).expect("placed");
        assert_eq!(first.instance, second.instance, "part {part}");
        one.finish(START, &first.request, SendOutcome::Answered);
        two.finish(START, &second.request, SendOutcome::Answered);
    }
}

#[test]
fn a_report_tells_other_routers_what_was_read_where() {
    let mut one = router("r1", 6);
    let mut two = router("r2", 6);
    // A busy home makes the first router place the part elsewhere.
    let home = one.admit(START, &call("w", 7, 5_000, 100)).expect("placed");
    let mut avoided = router("r1", 6);
    let elsewhere = avoided
        .admit_retry(START, &call("w", 7, 5_000, 100), std::slice::from_ref(&home.instance), false)
        .expect("placed");
    assert_ne!(home.instance, elsewhere.instance);

    assert!(two.apply_report(START, avoided.report(START)));
    let placement = two.admit(START, &call("w", 7, 5_000, 100)).expect("placed");
    assert_eq!(placement.instance, elsewhere.instance);
}

#[test]
fn the_least_recently_used_part_yields() {
    let mut cache = PrefixCache::default();
    let prompt = |id| Prompt::new(&[(id, 40)], 40, 0);
    for id in [1, 2, 1, 3] {
        cache.insert(START, &prompt(id).segments, 100);
    }
    let kept: Vec<u64> =
        (1..=3).filter(|id| cache.cached_prefix_tokens(&prompt(*id)) > 0).collect();
    assert_eq!(kept, [1, 3]);
}

#[test]
fn a_part_behind_one_that_is_gone_does_not_count() {
    let mut cache = PrefixCache::default();
    let chain = Prompt::new(&[(1, 60), (2, 60)], 120, 0);
    cache.insert(START, &chain.segments, 60);
    assert_eq!(cache.cached_prefix_tokens(&chain), 0);
    // The same part behind another one is another part.
    cache.insert(START, &Prompt::new(&[(9, 10), (2, 50)], 60, 0).segments, 1_000);
    assert_eq!(cache.cached_prefix_tokens(&chain), 0);
}

#[test]
fn parts_that_nobody_shares_take_memory_from_those_that_are_kept() {
    let mut cache = PrefixCache::default();
    let prompt = Prompt::new(&[(1, 40)], 40, 0);
    cache.insert(START, &prompt.segments, 100);
    cache.insert_unshared(START, 60, 100);
    assert_eq!(cache.cached_prefix_tokens(&prompt), 40);
    cache.insert_unshared(START, 60, 100);
    assert_eq!(cache.cached_prefix_tokens(&prompt), 0);
}

#[test]
fn requests_at_other_routers_take_memory_at_their_upstream() {
    let mut one = router("r1", 1);
    let mut two = router("r2", 1);
    let kept = call("w", 7, 5_000, 100);
    one.admit(START, &kept).expect("placed");
    // 400,000 tokens are kept; the other router sends more than that, of which little is shared.
    for request in 0..30 {
        let now = START + ms(1_000 * request);
        let placement = two.admit(now, &call("w", 100 + request, 10, 15_000)).expect("placed");
        answer(&mut two, &placement, ms(500));
        assert!(one.apply_report(now, two.report(now)));
    }
    let now = START + ms(30_000);
    let placement = one.admit(now, &kept).expect("placed");
    assert_eq!(placement.request.prefill_tokens, 5_100);
}
