//! Ledger of at-most-once calls: orders of results, lost responses and timeouts of one or two
//! attempts.

use std::time::Duration;

use sapphirespur_core::at_most_once::{
    AtMostOnceLedger, Decision, LedgerBatch, LedgerEntry, LedgerError, LedgerOperation,
    LedgerResult, LedgerState, Precondition, RecordedResponse,
};
use sapphirespur_core::request::{AttemptId, Outcome, RefusalCode};
use sapphirespur_core::time::Time;

const NOW: Time = Time::from_micros(1_000_000_000);
const WALL_S: u64 = 1_800_000_000;
const ONE_SECOND: Duration = Duration::from_secs(1);
const FIRST: AttemptId = AttemptId { incarnation: 1, counter: 1 };
const SECOND: AttemptId = AttemptId { incarnation: 2, counter: 1 };

/// Platform store with a single key.
#[derive(Default)]
struct SingleKeyStore {
    entry: Option<(u64, LedgerEntry)>,
    revision: u64,
}

impl SingleKeyStore {
    fn apply(&mut self, operation: &LedgerOperation) -> LedgerResult {
        self.revision += 1;
        let is_met = match (operation.precondition, &self.entry) {
            (Precondition::Absent, None) => true,
            (Precondition::Unchanged { revision }, Some((current, _))) => revision == *current,
            _ => false,
        };
        if is_met {
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

fn record_intent(ledger: &mut AtMostOnceLedger, now: Time, attempt: AttemptId, fingerprint: &str) {
    ledger.record_intent(now, WALL_S, attempt, "key", fingerprint);
}

/// Commits the next batch and returns the last decision that follows from it.
fn commit(
    ledger: &mut AtMostOnceLedger,
    store: &mut SingleKeyStore,
    now: Time,
) -> Option<Decision> {
    let batch = ledger.next_batch(now)?;
    let results = store.apply_all(&batch);

    ledger.on_batch_result(now, batch.id, Ok(results)).pop().map(|decision| decision.decision)
}

/// Commits one batch per second, five at most, until there is a decision.
fn commit_until_decision(
    ledger: &mut AtMostOnceLedger,
    store: &mut SingleKeyStore,
    now: Time,
) -> Option<Decision> {
    (0..5).find_map(|second| commit(ledger, store, now + Duration::from_secs(second)))
}

/// Commits one batch per second for five seconds.
fn commit_all(ledger: &mut AtMostOnceLedger, store: &mut SingleKeyStore, now: Time) {
    for second in 0..5 {
        commit(ledger, store, now + Duration::from_secs(second));
    }
}

fn response() -> RecordedResponse {
    RecordedResponse {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: "booked".to_owned(),
    }
}

fn refusal(decision: Option<Decision>) -> (RefusalCode, Outcome) {
    match decision {
        Some(Decision::Refuse(refusal)) => (refusal.code, refusal.outcome),
        other => panic!("expected a refusal, got {other:?}"),
    }
}

#[test]
fn new_key_proceeds_after_its_intent_is_recorded() {
    let (mut ledger, mut store) = (AtMostOnceLedger::default(), SingleKeyStore::default());
    record_intent(&mut ledger, NOW, FIRST, "f");
    assert_eq!(commit(&mut ledger, &mut store, NOW), Some(Decision::Proceed));
    assert_eq!(store.state(), Some(&LedgerState::Intent));
}

macro_rules! repeat_tests {
    ($($name:ident: $conclude:expr, $later_s:expr, $fingerprint:expr => $expected:pat,)*) => {
        $(
            #[test]
            fn $name() {
                let (mut ledger, mut store) =
                    (AtMostOnceLedger::default(), SingleKeyStore::default());
                record_intent(&mut ledger, NOW, FIRST, "f");
                commit(&mut ledger, &mut store, NOW);
                let conclude: fn(&mut AtMostOnceLedger) = $conclude;
                conclude(&mut ledger);
                commit(&mut ledger, &mut store, NOW + ONE_SECOND);

                let mut other = AtMostOnceLedger::default();
                let started = NOW + ONE_SECOND;
                other.record_intent(started, WALL_S + $later_s, SECOND, "key", $fingerprint);
                let decision = commit_until_decision(&mut other, &mut store, started);
                assert!(matches!(decision, Some($expected)), "{decision:?}");
            }
        )*
    };
}

repeat_tests! {
    repeat_of_finished_call_replays_recorded_response:
        |ledger| ledger.record_outcome(FIRST, LedgerState::Finished(response())), 1, "f"
        => Decision::Replay(RecordedResponse { status: 200, .. }),
    repeat_of_running_call_is_refused_as_in_progress: |_| (), 1, "f"
        => Decision::Refuse(sapphirespur_core::request::Refusal {
            code: RefusalCode::InProgress, outcome: Outcome::Unknown, ..
        }),
    repeat_of_stale_intent_is_refused_as_unknown: |_| (), 3_600, "f"
        => Decision::Refuse(sapphirespur_core::request::Refusal {
            code: RefusalCode::EarlierOutcomeUnknown, outcome: Outcome::Unknown, ..
        }),
    repeat_of_call_with_unknown_outcome_is_refused_as_unknown:
        |ledger| ledger.record_outcome(FIRST, LedgerState::Unknown), 1, "f"
        => Decision::Refuse(sapphirespur_core::request::Refusal {
            code: RefusalCode::EarlierOutcomeUnknown, outcome: Outcome::Unknown, ..
        }),
    repeat_of_abandoned_call_proceeds: |ledger| ledger.abandon(FIRST), 1, "f"
        => Decision::Proceed,
    different_request_with_same_key_is_refused:
        |ledger| ledger.record_outcome(FIRST, LedgerState::Finished(response())), 1, "g"
        => Decision::Refuse(sapphirespur_core::request::Refusal {
            code: RefusalCode::KeyReused, outcome: Outcome::NotRun, ..
        }),
}

#[test]
fn intent_proceeds_when_batch_is_retried_after_lost_response() {
    let (mut ledger, mut store) = (AtMostOnceLedger::default(), SingleKeyStore::default());
    record_intent(&mut ledger, NOW, FIRST, "f");
    let batch = ledger.next_batch(NOW).expect("an intent is queued");
    store.apply_all(&batch);
    assert!(ledger.on_batch_result(NOW, batch.id, Err(LedgerError::OutcomeUnknown)).is_empty());

    let later = NOW + Duration::from_millis(200);
    assert_eq!(commit(&mut ledger, &mut store, later), Some(Decision::Proceed));
}

#[test]
fn timed_out_intent_is_refused_as_not_run_and_abandoned() {
    let (mut ledger, mut store) = (AtMostOnceLedger::default(), SingleKeyStore::default());
    record_intent(&mut ledger, NOW, FIRST, "f");
    let delayed = ledger.next_batch(NOW).expect("an intent is queued");
    let after_timeout = NOW + Duration::from_secs(2);
    let decision = ledger.on_timeout(after_timeout).pop().map(|decision| decision.decision);
    assert_eq!(refusal(decision), (RefusalCode::LedgerUnavailable, Outcome::NotRun));

    let results = store.apply_all(&delayed);
    assert!(ledger.on_batch_result(after_timeout, delayed.id, Ok(results)).is_empty());
    commit_all(&mut ledger, &mut store, after_timeout);
    assert_eq!(store.state(), Some(&LedgerState::Abandoned));
    assert!(ledger.is_idle());
}

/// The platform may apply a delayed intent write after the attempt was refused and abandoned.
#[test]
fn intent_write_applied_after_abandonment_has_no_effect() {
    let (mut ledger, mut store) = (AtMostOnceLedger::default(), SingleKeyStore::default());
    record_intent(&mut ledger, NOW, FIRST, "f");
    let delayed = ledger.next_batch(NOW).expect("an intent is queued");
    let after_timeout = NOW + Duration::from_secs(2);
    ledger.on_timeout(after_timeout);
    ledger.on_batch_result(after_timeout, delayed.id, Err(LedgerError::OutcomeUnknown));
    commit_all(&mut ledger, &mut store, after_timeout + Duration::from_secs(1));
    assert_eq!(store.state(), Some(&LedgerState::Abandoned));

    store.apply_all(&delayed);
    assert_eq!(store.state(), Some(&LedgerState::Abandoned));
}

#[test]
fn only_one_of_two_concurrent_attempts_proceeds() {
    let mut store = SingleKeyStore::default();
    let (mut a, mut b) = (AtMostOnceLedger::default(), AtMostOnceLedger::default());
    record_intent(&mut a, NOW, FIRST, "f");
    record_intent(&mut b, NOW, SECOND, "f");
    assert_eq!(commit(&mut b, &mut store, NOW), Some(Decision::Proceed));
    assert_eq!(
        refusal(commit_until_decision(&mut a, &mut store, NOW)),
        (RefusalCode::InProgress, Outcome::Unknown)
    );
}

#[test]
fn intents_queued_during_in_flight_batch_share_the_next_batch() {
    let mut ledger = AtMostOnceLedger::default();
    let attempt = |counter| AttemptId { incarnation: 1, counter };
    ledger.record_intent(NOW, WALL_S, attempt(0), "key-0", "f");
    let first = ledger.next_batch(NOW).expect("an intent is queued");
    for counter in 1..=50 {
        ledger.record_intent(NOW, WALL_S, attempt(counter), &format!("key-{counter}"), "f");
    }
    assert_eq!(ledger.next_batch(NOW), None);

    ledger.on_batch_result(NOW, first.id, Ok(vec![LedgerResult::Written { revision: 1 }]));
    let due = ledger.next_deadline().expect("intents are queued");
    assert_eq!(due, NOW + Duration::from_millis(20));
    let second = ledger.next_batch(due).expect("intents are queued");
    assert_eq!(second.operations.len(), 50);
}

#[test]
fn outcome_is_due_with_the_next_batch() {
    let (mut ledger, mut store) = (AtMostOnceLedger::default(), SingleKeyStore::default());
    record_intent(&mut ledger, NOW, FIRST, "f");
    commit(&mut ledger, &mut store, NOW);
    ledger.record_outcome(FIRST, LedgerState::Unknown);
    assert_eq!(ledger.next_deadline(), Some(NOW + Duration::from_millis(20)));
}

/// A caller that has received its response may repeat the call before the outcome is recorded.
#[test]
fn repeat_before_outcome_is_recorded_waits_for_it() {
    let mut store = SingleKeyStore::default();
    let (mut first, mut second) = (AtMostOnceLedger::default(), AtMostOnceLedger::default());
    record_intent(&mut first, NOW, FIRST, "f");
    commit(&mut first, &mut store, NOW);
    first.record_outcome(FIRST, LedgerState::Finished(response()));
    record_intent(&mut second, NOW, SECOND, "f");
    assert_eq!(commit(&mut second, &mut store, NOW), None);

    let later = NOW + Duration::from_millis(20);
    commit(&mut first, &mut store, later);
    assert_eq!(commit(&mut second, &mut store, later), Some(Decision::Replay(response())));
}

#[test]
fn batch_contains_each_key_at_most_once() {
    let mut ledger = AtMostOnceLedger::default();
    record_intent(&mut ledger, NOW, FIRST, "f");
    record_intent(&mut ledger, NOW, SECOND, "f");
    assert_eq!(ledger.next_batch(NOW).map(|batch| batch.operations.len()), Some(1));
}
