//! Events with wrong identifiers neither take intact ones along nor end a stream as complete.

use sapphirespur_core::edge::{EventId, EventOrder, EventVerdict};

/// Returns the events that are passed on of one upstream, and whether all of them were in order.
fn pass_on(order: &mut EventOrder, ids: &[u64]) -> (Vec<u64>, bool) {
    let mut passed = Vec::new();
    for id in ids {
        match order.check(EventId::Number(*id)) {
            EventVerdict::PassOn => passed.push(*id),
            EventVerdict::Repeated => {}
            EventVerdict::OutOfOrder => return (passed, false),
        }
    }
    (passed, true)
}

macro_rules! streams {
    ($($(#[$meta:meta])* $name:ident: $has:expr, $ids:expr => $passed:expr, $is_in_order:expr;)*) => {$(
        $(#[$meta])*
        #[test]
        fn $name() {
            let mut order = EventOrder::new($has);
            assert_eq!(pass_on(&mut order, &$ids), ($passed.to_vec(), $is_in_order));
            assert_eq!(order.passed_on(), $passed.last().copied().or($has));
        }
    )*};
}

streams! {
    events_in_order_are_passed_on: None, [1, 2, 3] => [1, 2, 3], true;
    stream_that_counts_from_zero_is_passed_on: None, [0, 1, 2] => [0, 1, 2], true;
    resumed_stream_goes_on: Some(4), [5, 6] => [5, 6], true;
    // An upstream that goes on from an earlier event than it was asked to.
    repeated_series_is_left_out: Some(4), [1, 2, 3, 4, 5, 6] => [5, 6], true;
    // ORDER: intact events before a wrong one are lost.
    events_before_a_skipped_one_are_passed_on: None, [1, 2, 3, 7, 5] => [1, 2, 3], false;
    // ORDER: an event whose identifier is too low is dropped as repeated, and the stream ends as complete.
    event_with_a_lower_identifier_is_out_of_order: None, [1, 2, 1, 4] => [1, 2], false;
    last_event_with_a_lower_identifier_is_out_of_order: None, [1, 2, 3, 0] => [1, 2, 3], false;
    // ORDER: events 2 to 7 are dropped as repeated after a first one with a wrong identifier.
    first_event_with_a_higher_identifier_is_out_of_order: None, [7, 2, 3] => [0; 0], false;
    first_event_beyond_a_resumption_is_out_of_order: Some(4), [9, 6] => [0; 0], false;
    wrong_event_within_a_repeated_series_is_out_of_order: Some(4), [1, 2, 9, 4, 5] => [0; 0], false;
    largest_identifier_does_no_harm: None, [u64::MAX, 0] => [0; 0], false;
    event_after_the_largest_identifier_is_out_of_order: Some(u64::MAX - 1), [u64::MAX, 0] => [u64::MAX], false;
}

// ORDER, MIXED: an event whose number is spoilt is passed on as a part without one, and the stream ends as
// complete, or the text of an error is passed on.
#[test]
fn content_without_a_number_is_out_of_order() {
    let mut order = EventOrder::default();
    assert_eq!(order.check(EventId::Number(1)), EventVerdict::PassOn);
    assert_eq!(order.check(EventId::Unknown), EventVerdict::OutOfOrder);
    assert_eq!(order.check(EventId::NoEvent), EventVerdict::OutOfOrder);
    assert_eq!((order.passed_on(), order.is_broken()), (Some(1), true));
}

// Guards against a stream that is cut for a comment that keeps its connection open.
#[test]
fn comment_is_passed_on_between_events() {
    let mut order = EventOrder::default();
    for id in [EventId::NoEvent, EventId::Number(1), EventId::NoEvent, EventId::Number(2)] {
        assert_eq!(order.check(id), EventVerdict::PassOn);
    }
    assert_eq!(order.passed_on(), Some(2));
}

macro_rules! ends {
    ($($name:ident: $ids:expr => $may_end:expr;)*) => {$(
        // ORDER: an empty or wrong response of the upstream that goes on ends the stream as complete.
        #[test]
        fn $name() {
            let mut order = EventOrder::new(Some(4));
            order.on_new_upstream();
            pass_on(&mut order, &$ids);
            assert_eq!(order.may_end(), $may_end);
        }
    )*};
}

ends! {
    continuation_without_an_event_is_not_complete: [] => false;
    continuation_that_repeats_only_earlier_events_is_not_complete: [1, 2, 3] => false;
    continuation_that_repeats_all_events_is_complete: [1, 2, 3, 4] => true;
    continuation_that_goes_on_is_complete: [5, 6] => true;
    continuation_with_a_gap_is_not_complete: [5, 7] => false;
}

// ORDER: a stream that a client takes up ends as complete before the events that the client has.
#[test]
fn stream_that_a_client_takes_up_does_not_end_among_its_events() {
    let mut order = EventOrder::new(Some(4));
    pass_on(&mut order, &[1, 2, 3]);
    assert!(!order.may_end());
}

// Guards against a stream that a client takes up after its last event and never sees complete.
#[test]
fn stream_that_a_client_takes_up_after_its_last_event_may_be_empty() {
    assert!(EventOrder::new(Some(4)).may_end());
}

properties! {
    // ORDER: whatever upstreams send, the client gets each event once and none is missing.
    fn client_gets_an_unbroken_series(upstreams: Vec<Vec<u8>>) -> bool {
        let mut order = EventOrder::default();
        let mut passed = Vec::new();
        for ids in upstreams {
            order.on_new_upstream();
            let ids: Vec<u64> = ids.into_iter().map(|id| u64::from(id % 8)).collect();
            passed.extend(pass_on(&mut order, &ids).0);
        }
        passed.windows(2).all(|pair| pair[1] == pair[0] + 1)
    }
}
