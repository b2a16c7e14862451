//! State machine of the calls that one sidecar runs through the ledger.

use std::collections::VecDeque;
use std::time::Duration;

use crate::at_most_once::{
    LedgerBatch, LedgerEntry, LedgerError, LedgerOperation, LedgerResult, LedgerState,
    Precondition, RecordedResponse,
};
use crate::collections::{HashMap, HashSet};
use crate::request::{AttemptId, Refusal, RefusalCode};
use crate::time::Time;

/// Time within which an intent must be recorded.
pub const INTENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Most operations in one batch; the platform allows 128 to a transaction.
const MAX_BATCH: usize = 100;

/// Least time between two batches, in which further operations join the next one.
const BATCH_INTERVAL: Duration = Duration::from_millis(20);

/// Times that an intent is offered again while an earlier call with its key seems in progress: its
/// outcome may be on the way to the ledger.
const MAX_LOOKS: u32 = 4;

/// Pause before a batch is sent again after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Time after which an intent without an outcome no longer counts as in progress.
const PROGRESS_WINDOW_S: u64 = 60;

/// Time after which a caller may ask again while an earlier call is in progress.
const IN_PROGRESS_RETRY: Duration = Duration::from_secs(1);

/// Time after which a caller may come back when the platform is down.
const LEDGER_RETRY: Duration = Duration::from_secs(2);

/// What becomes of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The intent is recorded; this attempt alone may send the call.
    Proceed,
    /// An earlier attempt finished with this answer.
    Replay(RecordedResponse),
    /// The call is not sent by this attempt.
    Refuse(Refusal),
}

/// Decision on one attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptDecision {
    /// Attempt.
    pub attempt: AttemptId,
    /// What becomes of it.
    pub decision: Decision,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// The intent is being recorded; the call has not been sent.
    Intending,
    /// The intent is recorded; the call may have been sent.
    Running { revision: u64 },
    /// The call was not and will not be sent; the entry is being freed.
    Abandoning,
    /// The outcome is being recorded.
    Concluding,
}

#[derive(Clone, Debug)]
struct OnceCall {
    key: String,
    day: u64,
    fingerprint: String,
    since_s: u64,
    stage: Stage,
    deadline: Time,
    looks: u32,
}

/// Controller of the ledger at one sidecar.
#[derive(Clone, Debug, Default)]
pub struct AtMostOnceLedger {
    calls: HashMap<AttemptId, OnceCall>,
    waiting: VecDeque<LedgerOperation>,
    in_flight: Option<LedgerBatch>,
    next_batch: u64,
    paused_until: Time,
    last_batch: Time,
}

impl AtMostOnceLedger {
    /// Starts recording the intent of a call.
    pub fn record_intent(
        &mut self,
        now: Time,
        wall_s: u64,
        attempt: AttemptId,
        key: &str,
        fingerprint: &str,
    ) {
        const DAY_S: u64 = 86_400;

        let call = OnceCall {
            key: key.to_owned(),
            day: wall_s / DAY_S,
            fingerprint: fingerprint.to_owned(),
            since_s: wall_s,
            stage: Stage::Intending,
            deadline: now + INTENT_TIMEOUT,
            looks: 0,
        };
        let operation = call.operation(attempt, Precondition::Absent, LedgerState::Intent);
        self.calls.insert(attempt, call);
        self.waiting.push_back(operation);
    }

    /// Records that a call that was allowed to proceed was not sent after all.
    pub fn abandon(&mut self, attempt: AttemptId) {
        self.conclude(attempt, Stage::Abandoning, LedgerState::Abandoned);
    }

    /// Records the outcome of a call.
    pub fn record_outcome(&mut self, attempt: AttemptId, state: LedgerState) {
        self.conclude(attempt, Stage::Concluding, state);
    }

    /// Returns the next batch to send, when one is due and none is under way.
    pub fn next_batch(&mut self, now: Time) -> Option<LedgerBatch> {
        if self.batch_due()? > now {
            return None;
        }

        self.next_batch += 1;
        self.last_batch = now;
        let batch = LedgerBatch { id: self.next_batch, operations: self.take_operations() };
        self.in_flight = Some(batch.clone());
        Some(batch)
    }

    /// Takes the platform's answer to a batch.
    pub fn on_batch_result(
        &mut self,
        now: Time,
        batch: u64,
        answer: Result<Vec<LedgerResult>, LedgerError>,
    ) -> Vec<AttemptDecision> {
        let Some(sent) = self.in_flight.take_if(|sent| sent.id == batch) else {
            return Vec::new();
        };

        match answer {
            Ok(results) if results.len() == sent.operations.len() => sent
                .operations
                .into_iter()
                .zip(results)
                .filter_map(|(operation, result)| self.on_result(&operation, result))
                .collect(),
            Ok(_) | Err(LedgerError::OutcomeUnknown) => {
                self.paused_until = now + RETRY_PAUSE;
                for operation in sent.operations.into_iter().rev() {
                    self.retry(operation);
                }
                Vec::new()
            }
        }
    }

    /// Refuses the calls whose intent could not be recorded in time.
    pub fn on_timeout(&mut self, now: Time) -> Vec<AttemptDecision> {
        let late: Vec<AttemptId> = self
            .calls
            .iter()
            .filter(|(_, call)| call.stage == Stage::Intending && call.deadline <= now)
            .map(|(attempt, _)| *attempt)
            .collect();

        late.into_iter()
            .map(|attempt| {
                self.give_up(attempt);
                refuse(attempt, Refusal::retryable(RefusalCode::LedgerUnavailable, LEDGER_RETRY))
            })
            .collect()
    }

    /// Returns the time at which `on_timeout` or `next_batch` has something to do.
    pub fn next_deadline(&self) -> Option<Time> {
        let intents = self.calls.values().filter(|call| call.stage == Stage::Intending);

        intents.map(|call| call.deadline).chain(self.batch_due()).min()
    }

    /// Tells whether every outcome is recorded.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns when the waiting operations are due, when there are any and no batch is under way.
    fn batch_due(&self) -> Option<Time> {
        if self.in_flight.is_some() || self.waiting.is_empty() {
            return None;
        }

        Some((self.last_batch + BATCH_INTERVAL).max(self.paused_until))
    }

    fn take_operations(&mut self) -> Vec<LedgerOperation> {
        let mut keys = HashSet::default();
        let mut taken = Vec::new();
        let mut left = VecDeque::new();
        while let Some(operation) = self.waiting.pop_front() {
            if taken.len() < MAX_BATCH && keys.insert(operation.key.clone()) {
                taken.push(operation);
            } else {
                left.push_back(operation);
            }
        }

        self.waiting = left;
        taken
    }

    fn conclude(&mut self, attempt: AttemptId, stage: Stage, state: LedgerState) {
        let Some(call) = self.calls.get_mut(&attempt) else { return };
        let Stage::Running { revision } = call.stage else { return };

        call.stage = stage;
        let operation = call.operation(attempt, Precondition::Unchanged { revision }, state);
        self.waiting.push_back(operation);
    }

    /// Ends an intent that is not recorded; a write that is still under way must lose its effect.
    fn give_up(&mut self, attempt: AttemptId) {
        let Some(call) = self.calls.get_mut(&attempt) else { return };

        call.stage = Stage::Abandoning;
        let operation = call.operation(attempt, Precondition::Absent, LedgerState::Abandoned);
        self.waiting.retain(|waiting| waiting.attempt != attempt);
        self.waiting.push_back(operation);
    }

    fn retry(&mut self, operation: LedgerOperation) {
        let Some(call) = self.calls.get(&operation.attempt) else { return };

        let is_current = match call.stage {
            Stage::Intending => operation.entry.state == LedgerState::Intent,
            Stage::Abandoning => operation.entry.state == LedgerState::Abandoned,
            Stage::Concluding => true,
            Stage::Running { .. } => false,
        };
        if is_current {
            self.waiting.push_front(operation);
        }
    }

    fn on_result(
        &mut self,
        operation: &LedgerOperation,
        result: LedgerResult,
    ) -> Option<AttemptDecision> {
        let attempt = operation.attempt;
        let stage = self.calls.get(&attempt)?.stage;
        match stage {
            Stage::Intending => self.on_intent_result(attempt, result),
            // The intent's own answer came after it was given up; the queued abandonment follows.
            Stage::Abandoning if operation.entry.state == LedgerState::Intent => None,
            Stage::Abandoning => {
                self.on_abandon_result(attempt, result);
                None
            }
            Stage::Concluding => {
                self.calls.remove(&attempt);
                None
            }
            Stage::Running { .. } => None,
        }
    }

    fn on_intent_result(
        &mut self,
        attempt: AttemptId,
        result: LedgerResult,
    ) -> Option<AttemptDecision> {
        let call = self.calls.get_mut(&attempt)?;
        let (day, revision, entry) = match result {
            LedgerResult::Written { revision } => {
                call.stage = Stage::Running { revision };
                return Some(AttemptDecision { attempt, decision: Decision::Proceed });
            }
            LedgerResult::Missing => {
                let operation = call.operation(attempt, Precondition::Absent, LedgerState::Intent);
                self.waiting.push_back(operation);
                return None;
            }
            LedgerResult::Conflict { day, revision, entry } => (day, revision, entry),
        };

        if entry.attempt == attempt.to_string() && entry.state == LedgerState::Intent {
            call.day = day;
            call.stage = Stage::Running { revision };
            return Some(AttemptDecision { attempt, decision: Decision::Proceed });
        }
        if entry.state == LedgerState::Abandoned {
            call.day = day;
            let precondition = Precondition::Unchanged { revision };
            self.waiting.push_back(call.operation(attempt, precondition, LedgerState::Intent));
            return None;
        }

        call.looks += 1;
        if call.is_in_progress(&entry) && call.looks < MAX_LOOKS {
            let operation = call.operation(attempt, Precondition::Absent, LedgerState::Intent);
            self.waiting.push_back(operation);
            return None;
        }

        let decision = call.decide(&entry);
        self.calls.remove(&attempt);
        Some(AttemptDecision { attempt, decision })
    }

    fn on_abandon_result(&mut self, attempt: AttemptId, result: LedgerResult) {
        let Some(call) = self.calls.get_mut(&attempt) else { return };
        let LedgerResult::Conflict { day, revision, entry } = result else {
            self.calls.remove(&attempt);
            return;
        };

        let is_own_intent =
            entry.attempt == attempt.to_string() && entry.state == LedgerState::Intent;
        let is_free = entry.state == LedgerState::Abandoned && entry.attempt != attempt.to_string();
        if is_own_intent || is_free {
            call.day = day;
            let precondition = Precondition::Unchanged { revision };
            self.waiting.push_back(call.operation(attempt, precondition, LedgerState::Abandoned));
        } else {
            self.calls.remove(&attempt);
        }
    }
}

impl OnceCall {
    fn operation(
        &self,
        attempt: AttemptId,
        precondition: Precondition,
        state: LedgerState,
    ) -> LedgerOperation {
        LedgerOperation {
            attempt,
            key: self.key.clone(),
            day: self.day,
            precondition,
            entry: LedgerEntry {
                attempt: attempt.to_string(),
                fingerprint: self.fingerprint.clone(),
                since_s: self.since_s,
                state,
            },
        }
    }

    /// Tells whether an entry is that of the same call, which may still be running.
    fn is_in_progress(&self, entry: &LedgerEntry) -> bool {
        entry.state == LedgerState::Intent
            && entry.fingerprint == self.fingerprint
            && self.since_s < entry.since_s + PROGRESS_WINDOW_S
    }

    fn decide(&self, entry: &LedgerEntry) -> Decision {
        if entry.fingerprint != self.fingerprint {
            return Decision::Refuse(Refusal::rejected(RefusalCode::KeyReused));
        }

        match &entry.state {
            LedgerState::Finished(answer) => Decision::Replay(answer.clone()),
            LedgerState::Intent if self.is_in_progress(entry) => {
                let refusal = Refusal::outcome_unknown(RefusalCode::InProgress);
                Decision::Refuse(Refusal { retry_after: Some(IN_PROGRESS_RETRY), ..refusal })
            }
            LedgerState::Intent
            | LedgerState::Abandoned
            | LedgerState::FinishedUnrecorded
            | LedgerState::Unknown => {
                Decision::Refuse(Refusal::outcome_unknown(RefusalCode::EarlierOutcomeUnknown))
            }
        }
    }
}

fn refuse(attempt: AttemptId, refusal: Refusal) -> AttemptDecision {
    AttemptDecision { attempt, decision: Decision::Refuse(refusal) }
}
