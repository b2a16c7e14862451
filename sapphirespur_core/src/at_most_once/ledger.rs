//! State machine that records the at-most-once calls of one sidecar in the ledger.

use std::collections::VecDeque;
use std::time::Duration;

use crate::at_most_once::{
    LedgerBatch, LedgerEntry, LedgerError, LedgerOperation, LedgerResult, LedgerState,
    Precondition, RecordedResponse,
};
use crate::collections::{HashMap, HashSet};
use crate::request::{AttemptId, Refusal, RefusalCode};
use crate::time::Time;

/// Maximum time to record an intent before the call is refused.
pub const INTENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of operations in a batch; the platform allows 128 per transaction.
const MAX_BATCH: usize = 100;

/// Minimum time between two batches; operations queued meanwhile share the next batch.
const BATCH_INTERVAL: Duration = Duration::from_millis(20);

/// Number of conflicts with an in-progress call after which its repeat is refused. Until then the
/// intent is written again, because the outcome of the earlier call may be about to be recorded.
const MAX_IN_PROGRESS_CONFLICTS: u32 = 4;

/// Delay before the operations of a failed batch are sent again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Age in seconds from which an intent without an outcome no longer counts as in progress.
const IN_PROGRESS_WINDOW_S: u64 = 60;

/// Retry delay advertised to a caller whose earlier call is in progress.
const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry delay advertised to a caller when the platform is unavailable.
const LEDGER_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Whether the call of an attempt may be sent, is replayed or is refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The intent is recorded; only this attempt may send the call.
    Proceed,
    /// An earlier attempt finished with this response, which is returned again.
    Replay(RecordedResponse),
    /// This attempt must not send the call.
    Refuse(Refusal),
}

/// Decision on the call of one attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptDecision {
    /// Attempt that the decision is for.
    pub attempt: AttemptId,
    /// Whether its call may be sent, is replayed or is refused.
    pub decision: Decision,
}

/// Progress of a call, by what is being recorded in the ledger.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// The intent is being recorded; the call has not been sent.
    RecordingIntent,
    /// The intent is recorded at this platform revision; the call may have been sent.
    Running { revision: u64 },
    /// The call was not and will not be sent; the entry is being marked abandoned.
    Abandoning,
    /// The outcome is being recorded.
    RecordingOutcome,
}

/// Call whose outcome is not recorded yet.
#[derive(Clone, Debug)]
struct LedgerCall {
    key: String,
    /// Day, counted from the Unix epoch, under which the entry is stored.
    day: u64,
    fingerprint: String,
    /// Start of the attempt, in seconds since the Unix epoch.
    started_s: u64,
    stage: Stage,
    /// Time by which the intent must be recorded.
    deadline: Time,
    /// Conflicts with an in-progress call so far.
    in_progress_conflicts: u32,
}

/// Ledger client of one sidecar: the calls whose outcome is not recorded yet, and their queued and
/// in-flight operations.
#[derive(Clone, Debug, Default)]
pub struct AtMostOnceLedger {
    calls: HashMap<AttemptId, LedgerCall>,
    queued: VecDeque<LedgerOperation>,
    in_flight: Option<LedgerBatch>,
    last_batch_id: u64,
    paused_until: Time,
    last_batch_at: Time,
}

impl AtMostOnceLedger {
    /// Queues the intent of a call for recording.
    pub fn record_intent(
        &mut self,
        now: Time,
        wall_s: u64,
        attempt: AttemptId,
        key: &str,
        fingerprint: &str,
    ) {
        const DAY_S: u64 = 86_400;

        let call = LedgerCall {
            key: key.to_owned(),
            day: wall_s / DAY_S,
            fingerprint: fingerprint.to_owned(),
            started_s: wall_s,
            stage: Stage::RecordingIntent,
            deadline: now + INTENT_TIMEOUT,
            in_progress_conflicts: 0,
        };
        let operation = call.operation(attempt, Precondition::Absent, LedgerState::Intent);
        self.calls.insert(attempt, call);
        self.queued.push_back(operation);
    }

    /// Records that a call was not sent although it was allowed to proceed.
    pub fn abandon(&mut self, attempt: AttemptId) {
        self.record_end(attempt, Stage::Abandoning, LedgerState::Abandoned);
    }

    /// Records the outcome of a call that was sent.
    pub fn record_outcome(&mut self, attempt: AttemptId, state: LedgerState) {
        self.record_end(attempt, Stage::RecordingOutcome, state);
    }

    /// Returns the next batch to send, or `None` while none is due or one is in flight.
    pub fn next_batch(&mut self, now: Time) -> Option<LedgerBatch> {
        if self.batch_due()? > now {
            return None;
        }

        self.last_batch_id += 1;
        self.last_batch_at = now;
        let batch = LedgerBatch { id: self.last_batch_id, operations: self.take_operations() };
        self.in_flight = Some(batch.clone());
        Some(batch)
    }

    /// Applies the platform's result of a batch and returns the decisions that follow from it.
    pub fn on_batch_result(
        &mut self,
        now: Time,
        batch: u64,
        result: Result<Vec<LedgerResult>, LedgerError>,
    ) -> Vec<AttemptDecision> {
        let Some(sent) = self.in_flight.take_if(|sent| sent.id == batch) else {
            return Vec::new();
        };

        match result {
            Ok(results) if results.len() == sent.operations.len() => sent
                .operations
                .into_iter()
                .zip(results)
                .filter_map(|(operation, result)| self.on_result(&operation, result))
                .collect(),
            Ok(_) | Err(LedgerError::OutcomeUnknown) => {
                self.paused_until = now + RETRY_DELAY;
                for operation in sent.operations.into_iter().rev() {
                    self.retry(operation);
                }
                Vec::new()
            }
        }
    }

    /// Refuses the calls whose intents could not be recorded within `INTENT_TIMEOUT`.
    pub fn on_timeout(&mut self, now: Time) -> Vec<AttemptDecision> {
        let overdue: Vec<AttemptId> = self
            .calls
            .iter()
            .filter(|(_, call)| call.stage == Stage::RecordingIntent && call.deadline <= now)
            .map(|(attempt, _)| *attempt)
            .collect();

        overdue
            .into_iter()
            .map(|attempt| {
                self.cancel_intent(attempt);
                refuse(
                    attempt,
                    Refusal::retryable(RefusalCode::LedgerUnavailable, LEDGER_RETRY_AFTER),
                )
            })
            .collect()
    }

    /// Returns the time at which `on_timeout` or `next_batch` must be called next, if any.
    pub fn next_deadline(&self) -> Option<Time> {
        let intents = self.calls.values().filter(|call| call.stage == Stage::RecordingIntent);

        intents.map(|call| call.deadline).chain(self.batch_due()).min()
    }

    /// Returns whether the outcomes of all calls are recorded.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns when the next batch is due, or `None` while one is in flight or nothing is queued.
    fn batch_due(&self) -> Option<Time> {
        if self.in_flight.is_some() || self.queued.is_empty() {
            return None;
        }

        Some((self.last_batch_at + BATCH_INTERVAL).max(self.paused_until))
    }

    fn take_operations(&mut self) -> Vec<LedgerOperation> {
        let mut keys = HashSet::default();
        let mut operations = Vec::new();
        let mut remaining = VecDeque::new();
        while let Some(operation) = self.queued.pop_front() {
            if operations.len() < MAX_BATCH && keys.insert(operation.key.clone()) {
                operations.push(operation);
            } else {
                remaining.push_back(operation);
            }
        }

        self.queued = remaining;
        operations
    }

    fn record_end(&mut self, attempt: AttemptId, stage: Stage, state: LedgerState) {
        let Some(call) = self.calls.get_mut(&attempt) else { return };
        let Stage::Running { revision } = call.stage else { return };

        call.stage = stage;
        let operation = call.operation(attempt, Precondition::Unchanged { revision }, state);
        self.queued.push_back(operation);
    }

    /// Marks a call abandoned whose intent is not confirmed, so that an intent write that is
    /// still in flight cannot take effect.
    fn cancel_intent(&mut self, attempt: AttemptId) {
        let Some(call) = self.calls.get_mut(&attempt) else { return };

        call.stage = Stage::Abandoning;
        let operation = call.operation(attempt, Precondition::Absent, LedgerState::Abandoned);
        self.queued.retain(|queued| queued.attempt != attempt);
        self.queued.push_back(operation);
    }

    fn retry(&mut self, operation: LedgerOperation) {
        let Some(call) = self.calls.get(&operation.attempt) else { return };

        let is_current = match call.stage {
            Stage::RecordingIntent => operation.entry.state == LedgerState::Intent,
            Stage::Abandoning => operation.entry.state == LedgerState::Abandoned,
            Stage::RecordingOutcome => true,
            Stage::Running { .. } => false,
        };
        if is_current {
            self.queued.push_front(operation);
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
            Stage::RecordingIntent => self.on_intent_result(attempt, result),
            // Late result of an intent that was cancelled; the queued abandonment resolves it.
            Stage::Abandoning if operation.entry.state == LedgerState::Intent => None,
            Stage::Abandoning => {
                self.on_abandon_result(attempt, result);
                None
            }
            Stage::RecordingOutcome => {
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
                self.queued.push_back(operation);
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
            self.queued.push_back(call.operation(attempt, precondition, LedgerState::Intent));
            return None;
        }

        call.in_progress_conflicts += 1;
        if call.is_in_progress(&entry) && call.in_progress_conflicts < MAX_IN_PROGRESS_CONFLICTS {
            let operation = call.operation(attempt, Precondition::Absent, LedgerState::Intent);
            self.queued.push_back(operation);
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

        // An abandoned entry of another attempt is overwritten too: that changes its revision, on
        // which a delayed intent write of this attempt may depend, so that the write fails.
        let is_own_intent =
            entry.attempt == attempt.to_string() && entry.state == LedgerState::Intent;
        let is_abandoned_by_other =
            entry.state == LedgerState::Abandoned && entry.attempt != attempt.to_string();
        if is_own_intent || is_abandoned_by_other {
            call.day = day;
            let precondition = Precondition::Unchanged { revision };
            self.queued.push_back(call.operation(attempt, precondition, LedgerState::Abandoned));
        } else {
            self.calls.remove(&attempt);
        }
    }
}

impl LedgerCall {
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
                since_s: self.started_s,
                state,
            },
        }
    }

    /// Returns whether an entry belongs to the same request and its call may still be running.
    fn is_in_progress(&self, entry: &LedgerEntry) -> bool {
        entry.state == LedgerState::Intent
            && entry.fingerprint == self.fingerprint
            && self.started_s < entry.since_s + IN_PROGRESS_WINDOW_S
    }

    fn decide(&self, entry: &LedgerEntry) -> Decision {
        if entry.fingerprint != self.fingerprint {
            return Decision::Refuse(Refusal::rejected(RefusalCode::KeyReused));
        }

        match &entry.state {
            LedgerState::Finished(response) => Decision::Replay(response.clone()),
            LedgerState::Intent if self.is_in_progress(entry) => {
                let refusal = Refusal::outcome_unknown(RefusalCode::InProgress);
                Decision::Refuse(Refusal { retry_after: Some(IN_PROGRESS_RETRY_AFTER), ..refusal })
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
