//! The once-ledger: every order of answers, losses and deadlines of one or two attempts.

use std::time::Duration;

use sapphirespur_core::at_most_once::{
    AtMostOnceLedger, Decision, LedgerBatch, LedgerEntry, LedgerError, LedgerOperation,
    LedgerResult, LedgerState, Precondition, RecordedResponse,
};
use sapphirespur_core::request::{AttemptId, Outcome, RefusalCode};
use sapphirespur_core::time::Time;

const NOW: Time = Time::from_micros(1_000_000_000);
const WALL_S: u64 = 1_800_000_000;
const SECOND_LATER: Duration = Duration::from_secs(1);
const FIRST: AttemptId = AttemptId { incarnation: 1, counter: 1 };
const SECOND: AttemptId = AttemptId { incarnation: 2, counter: 1 };

/// Store of one key with its revision.
#[derive(Default)]
struct OneKey {
    entry: Option<(u64, LedgerEntry)>,
    revision: u64,
}

impl OneKey {
    fn apply(&mut self, operation: &LedgerOperation) -> LedgerResult {
        self.revision += 1;
        let holds = match (operation.precondition, &self.entry) {
            (Precondition::Absent, None) => true,
            (Precondition::Unchanged { revision }, Some((at, _))) => revision == *at,
            _ => false,
        };
        if holds {
            self.entry = Some((self.revision, operation.entry.clone()));
            return LedgerResult::Written { revision: self.revision };
        }

        match &self.entry {
            Some((revision, entry)) => LedgerResult::Conflict {
                day: operation.day,
                revision: *revision,
                entry: entry.clone(),
            },
            None => LedgerResult::Missing,
        }
    }

    fn apply_all(&mut self, batch: &LedgerBatch) -> Vec<LedgerResult> {
        batch.operations.iter().map(|operation| self.apply(operation)).collect()
    }

    fn state(&self) -> Option<&LedgerState> {
        self.entry.as_ref().map(|(_, entry)| &entry.state)
    }
}

fn begin(ledger: &mut AtMostOnceLedger, now: Time, attempt: AttemptId, fingerprint: &str) {
    ledger.record_intent(now, WALL_S, attempt, "key", fingerprint);
}

/// Sends the next batch and returns the decision on its first operation.
fn commit(ledger: &mut AtMostOnceLedger, store: &mut OneKey, now: Time) -> Option<Decision> {
    let batch = ledger.next_batch(now)?;
    let results = store.apply_all(&batch);

    ledger.on_batch_result(now, batch.id, Ok(results)).pop().map(|decision| decision.decision)
}

/// Sends batches until there is a decision.
fn commit_until_decision(
    ledger: &mut AtMostOnceLedger,
    store: &mut OneKey,
    now: Time,
) -> Option<Decision> {
    (0..5).find_map(|second| commit(ledger, store, now + Duration::from_secs(second)))
}

fn settle(ledger: &mut AtMostOnceLedger, store: &mut OneKey, now: Time) {
    for second in 0..5 {
        commit(ledger, store, now + Duration::from_secs(second));
    }
}

fn answer() -> RecordedResponse {
    RecordedResponse {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: "booked".to_owned(),
    }
}

fn refusal_of(decision: Option<Decision>) -> (RefusalCode, Outcome) {
    match decision {
        Some(Decision::Refuse(refusal)) => (refusal.code, refusal.outcome),
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn a_fresh_key_proceeds_once_its_intent_is_recorded() {
    let (mut ledger, mut store) = (AtMostOnceLedger::default(), OneKey::default());
    begin(&mut ledger, NOW, FIRST, "f");
    assert_eq!(commit(&mut ledger, &mut store, NOW), Some(Decision::Proceed));
    assert_eq!(store.state(), Some(&LedgerState::Intent));
}

macro_rules! repeats {
    ($($name:ident: $conclude:expr, $later_s:expr, $fingerprint:expr => $expected:pat,)*) => {
        $(
            #[test]
            fn $name() {
                let (mut ledger, mut store) = (AtMostOnceLedger::default(), OneKey::default());
                begin(&mut ledger, NOW, FIRST, "f");
                commit(&mut ledger, &mut store, NOW);
                let conclude: fn(&mut AtMostOnceLedger) = $conclude;
                conclude(&mut ledger);
                commit(&mut ledger, &mut store, NOW + SECOND_LATER);

                let mut other = AtMostOnceLedger::default();
                let begun = NOW + SECOND_LATER;
                other.record_intent(begun, WALL_S + $later_s, SECOND, "key", $fingerprint);
                let decision = commit_until_decision(&mut other, &mut store, begun);
                assert!(matches!(decision, Some($expected)), "{decision:?}");
            }
        )*
    };
}

repeats! {
    a_repeat_of_a_finished_call_gets_its_answer:
        |ledger| ledger.record_outcome(FIRST, LedgerState::Finished(answer())), 1, "f"
        => Decision::Replay(RecordedResponse { status: 200, .. }),
    a_repeat_of_a_running_call_is_told_so: |_| (), 1, "f"
        => Decision::Refuse(sapphirespur_core::request::Refusal {
            code: RefusalCode::InProgress, outcome: Outcome::Unknown, ..
        }),
    a_repeat_long_after_an_intent_is_unknown: |_| (), 3_600, "f"
        => Decision::Refuse(sapphirespur_core::request::Refusal {
            code: RefusalCode::EarlierOutcomeUnknown, outcome: Outcome::Unknown, ..
        }),
    a_repeat_of_an_uncertain_call_is_unknown:
        |ledger| ledger.record_outcome(FIRST, LedgerState::Unknown), 1, "f"
        => Decision::Refuse(sapphirespur_core::request::Refusal {
            code: RefusalCode::EarlierOutcomeUnknown, outcome: Outcome::Unknown, ..
        }),
    a_repeat_of_an_abandoned_call_proceeds: |ledger| ledger.abandon(FIRST), 1, "f"
        => Decision::Proceed,
    another_request_with_the_key_is_refused:
        |ledger| ledger.record_outcome(FIRST, LedgerState::Finished(answer())), 1, "g"
        => Decision::Refuse(sapphirespur_core::request::Refusal {
            code: RefusalCode::KeyReused, outcome: Outcome::NotRun, ..
        }),
}

#[test]
fn an_answer_lost_after_the_write_is_settled_by_asking_again() {
    let (mut ledger, mut store) = (AtMostOnceLedger::default(), OneKey::default());
    begin(&mut ledger, NOW, FIRST, "f");
    let batch = ledger.next_batch(NOW).expect("there is an intent");
    store.apply_all(&batch);
    assert!(ledger.on_batch_result(NOW, batch.id, Err(LedgerError::OutcomeUnknown)).is_empty());

    let later = NOW + Duration::from_millis(200);
    assert_eq!(commit(&mut ledger, &mut store, later), Some(Decision::Proceed));
}

#[test]
fn an_intent_that_is_late_is_refused_as_not_run_and_never_proceeds() {
    let (mut ledger, mut store) = (AtMostOnceLedger::default(), OneKey::default());
    begin(&mut ledger, NOW, FIRST, "f");
    let slow = ledger.next_batch(NOW).expect("there is an intent");
    let late = NOW + Duration::from_secs(2);
    let decision = ledger.on_timeout(late).pop().map(|decision| decision.decision);
    assert_eq!(refusal_of(decision), (RefusalCode::LedgerUnavailable, Outcome::NotRun));

    let results = store.apply_all(&slow);
    assert!(ledger.on_batch_result(late, slow.id, Ok(results)).is_empty());
    settle(&mut ledger, &mut store, late);
    assert_eq!(store.state(), Some(&LedgerState::Abandoned));
    assert!(ledger.is_idle());
}

/// The write of a refused intent lands after its abandonment, and takes no effect.
#[test]
fn a_write_that_lands_after_its_abandonment_takes_no_effect() {
    let (mut ledger, mut store) = (AtMostOnceLedger::default(), OneKey::default());
    begin(&mut ledger, NOW, FIRST, "f");
    let slow = ledger.next_batch(NOW).expect("there is an intent");
    let late = NOW + Duration::from_secs(2);
    ledger.on_timeout(late);
    ledger.on_batch_result(late, slow.id, Err(LedgerError::OutcomeUnknown));
    settle(&mut ledger, &mut store, late + Duration::from_secs(1));
    assert_eq!(store.state(), Some(&LedgerState::Abandoned));

    store.apply_all(&slow);
    assert_eq!(store.state(), Some(&LedgerState::Abandoned));
}

#[test]
fn only_one_of_two_attempts_proceeds() {
    let mut store = OneKey::default();
    let (mut a, mut b) = (AtMostOnceLedger::default(), AtMostOnceLedger::default());
    begin(&mut a, NOW, FIRST, "f");
    begin(&mut b, NOW, SECOND, "f");
    assert_eq!(commit(&mut b, &mut store, NOW), Some(Decision::Proceed));
    assert_eq!(
        refusal_of(commit_until_decision(&mut a, &mut store, NOW)),
        (RefusalCode::InProgress, Outcome::Unknown)
    );
}

#[test]
fn intents_that_come_during_a_write_share_the_next_one() {
    let mut ledger = AtMostOnceLedger::default();
    let attempt = |counter| AttemptId { incarnation: 1, counter };
    ledger.record_intent(NOW, WALL_S, attempt(0), "key-0", "f");
    let first = ledger.next_batch(NOW).expect("there is an intent");
    for counter in 1..=50 {
        ledger.record_intent(NOW, WALL_S, attempt(counter), &format!("key-{counter}"), "f");
    }
    assert_eq!(ledger.next_batch(NOW), None);

    ledger.on_batch_result(NOW, first.id, Ok(vec![LedgerResult::Written { revision: 1 }]));
    let due = ledger.next_deadline().expect("there are intents");
    assert_eq!(due, NOW + Duration::from_millis(20));
    let second = ledger.next_batch(due).expect("there are intents");
    assert_eq!(second.operations.len(), 50);
}

#[test]
fn an_outcome_is_recorded_with_the_next_batch() {
    let (mut ledger, mut store) = (AtMostOnceLedger::default(), OneKey::default());
    begin(&mut ledger, NOW, FIRST, "f");
    commit(&mut ledger, &mut store, NOW);
    ledger.record_outcome(FIRST, LedgerState::Unknown);
    assert_eq!(ledger.next_deadline(), Some(NOW + Duration::from_millis(20)));
}

/// A caller that has its answer may repeat before the outcome is in the ledger.
#[test]
fn a_repeat_right_after_the_answer_waits_for_the_outcome() {
    let mut store = OneKey::default();
    let (mut first, mut second) = (AtMostOnceLedger::default(), AtMostOnceLedger::default());
    begin(&mut first, NOW, FIRST, "f");
    commit(&mut first, &mut store, NOW);
    first.record_outcome(FIRST, LedgerState::Finished(answer()));
    begin(&mut second, NOW, SECOND, "f");
    assert_eq!(commit(&mut second, &mut store, NOW), None);

    let later = NOW + Duration::from_millis(20);
    commit(&mut first, &mut store, later);
    assert_eq!(commit(&mut second, &mut store, later), Some(Decision::Replay(answer())));
}

#[test]
fn a_batch_has_each_key_once() {
    let mut ledger = AtMostOnceLedger::default();
    begin(&mut ledger, NOW, FIRST, "f");
    begin(&mut ledger, NOW, SECOND, "f");
    assert_eq!(ledger.next_batch(NOW).map(|batch| batch.operations.len()), Some(1));
}
