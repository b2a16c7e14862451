//! Handling of attempts, from start to end.

use crate::at_most_once::{AttemptDecision, Decision, LedgerState, RecordedResponse};
use crate::event::Event;
use crate::request::{AttemptId, Refusal, RefusalCode, Repeatability};
use crate::sidecar::attempt::{Attempt, Stage};
use crate::sidecar::attempts::AttemptStatus;
use crate::sidecar::{AttemptStart, Sidecar, SidecarOutput, UpstreamEvent, UpstreamFailure};
use crate::time::Time;

impl Sidecar {
    /// Starts an attempt, or refuses it if its permit is invalid or it cannot start any more.
    pub(super) fn on_start(
        &mut self,
        now: Time,
        start: &AttemptStart,
        out: &mut Vec<SidecarOutput>,
    ) {
        let id = start.attempt;
        let permit = self.permits.remove(start.permit);
        let Some(permit) = permit.filter(|_| self.attempts.can_start(id)) else {
            let refusal = Refusal::no_upstream();
            out.push(SidecarOutput::Refuse { attempt: id, refusal });
            return;
        };

        let estimate = self.cost_ratios.estimate(&permit.queue, start.cost);
        let correction = estimate as i64 - permit.charged as i64;
        self.scheduler.charge(now, &permit.queue, correction);
        let epoch = self.limiter.epoch();
        let attempt =
            Attempt::new(permit.queue, start.cost, estimate, start.repeatability.clone(), epoch);
        self.attempts.insert(id, attempt);

        match &start.repeatability {
            Repeatability::Once { key, fingerprint } => {
                self.ledger.record_intent(now, start.wall_s, id, key, fingerprint);
            }
            Repeatability::Idempotent | Repeatability::NonIdempotent => {
                self.send_call(now, id, out)
            }
        }
    }

    pub(super) fn send_call(&mut self, now: Time, id: AttemptId, out: &mut Vec<SidecarOutput>) {
        let epoch = self.limiter.epoch();
        if let Some(attempt) = self.attempts.get_mut(id) {
            attempt.stage = Stage::Called { since: now };
            attempt.epoch = epoch;
            out.push(SidecarOutput::Call { attempt: id });
        }
    }

    /// Answers a status query; an attempt that has not started is closed.
    pub(super) fn on_query(
        &mut self,
        now: Time,
        attempt: AttemptId,
        permit: u64,
        out: &mut Vec<SidecarOutput>,
    ) {
        // Permit identifiers start at the incarnation, so a lower one was issued before a restart.
        let status = if permit < self.incarnation {
            AttemptStatus::Unknown
        } else {
            self.attempts.resolve_status(now, attempt)
        };

        out.push(SidecarOutput::AttemptStatus { attempt, status });
    }

    pub(super) fn on_cancel(&mut self, now: Time, id: AttemptId, out: &mut Vec<SidecarOutput>) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            self.attempts.resolve_status(now, id);
            return;
        };
        // A call that may not be repeated keeps running: its outcome matters more than its slot.
        if attempt.repeatability != Repeatability::Idempotent {
            return;
        }

        out.push(SidecarOutput::Abort { attempt: id });
        if let Some(attempt) = self.attempts.remove(now, id) {
            self.settle_charge(now, &attempt, attempt.tokens);
        }
    }

    pub(super) fn on_upstream(
        &mut self,
        now: Time,
        id: AttemptId,
        event: UpstreamEvent,
        out: &mut Vec<SidecarOutput>,
    ) {
        match event {
            UpstreamEvent::Tokens(count) => self.on_tokens(now, id, count, out),
            UpstreamEvent::Finished { cost, response } => {
                self.on_finished(now, id, cost, response, out);
            }
            UpstreamEvent::Failed(failure) => self.on_failed(now, id, failure, out),
        }
    }

    pub(super) fn on_tokens(
        &mut self,
        now: Time,
        id: AttemptId,
        count: u32,
        out: &mut Vec<SidecarOutput>,
    ) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        let is_first = attempt.on_tokens(now, count);
        let overrun = attempt.tokens.saturating_sub(attempt.charged);
        attempt.charged += overrun;

        let queue = attempt.queue.clone();
        let latency = attempt.time_to_first_token().filter(|_| is_first);
        let epoch = attempt.epoch;
        if let Some(latency) = latency {
            self.limiter.on_first_token(now, epoch, latency);
        }
        if overrun > 0 {
            self.scheduler.charge(now, &queue, overrun as i64);
        }
        if let (Some(latency), Some(queue)) = (latency, self.queue_key(&queue)) {
            out.push(SidecarOutput::Event(Event::FirstToken { queue, latency }));
        }
    }

    pub(super) fn on_finished(
        &mut self,
        now: Time,
        id: AttemptId,
        cost: Option<u64>,
        response: Option<RecordedResponse>,
        out: &mut Vec<SidecarOutput>,
    ) {
        let saturated = self.free_slots(now) == 0;
        let Some(attempt) = self.attempts.remove(now, id) else { return };

        let is_counted = attempt.tokens > 0;
        let cost = cost.or(is_counted.then_some(attempt.tokens)).unwrap_or(attempt.cost_hint);
        self.settle_charge(now, &attempt, cost);
        self.cost_ratios.record(&attempt.queue, attempt.cost_hint, cost);
        self.limiter.on_finished(now, attempt.epoch, attempt.sample(), saturated);
        self.ledger.record_outcome(
            id,
            response.map_or(LedgerState::FinishedUnrecorded, LedgerState::Finished),
        );

        if let Some(queue) = self.queue_key(&attempt.queue) {
            let token_gap = attempt.sample().token_gap;
            out.push(SidecarOutput::Event(Event::Served { queue, cost, token_gap }));
        }
    }

    pub(super) fn on_failed(
        &mut self,
        now: Time,
        id: AttemptId,
        failure: UpstreamFailure,
        out: &mut Vec<SidecarOutput>,
    ) {
        let Some(attempt) = self.attempts.remove(now, id) else { return };

        self.limiter.on_failed(now, attempt.epoch);
        self.settle_charge(now, &attempt, attempt.tokens);
        let refusal = match failure {
            UpstreamFailure::NotSent => {
                self.ledger.abandon(id);
                Refusal::no_upstream()
            }
            // A model engine that refuses a call has not run it; a plain service may have.
            UpstreamFailure::Overloaded if attempt.repeatability == Repeatability::Idempotent => {
                Refusal::no_upstream()
            }
            UpstreamFailure::Overloaded | UpstreamFailure::Incomplete => {
                self.ledger.record_outcome(id, LedgerState::Unknown);
                Refusal::outcome_unknown(RefusalCode::UpstreamFailed)
            }
        };
        out.push(SidecarOutput::Refuse { attempt: id, refusal });
    }

    pub(super) fn on_decisions(
        &mut self,
        now: Time,
        decisions: Vec<AttemptDecision>,
        out: &mut Vec<SidecarOutput>,
    ) {
        for AttemptDecision { attempt, decision } in decisions {
            match decision {
                Decision::Proceed => self.send_call(now, attempt, out),
                Decision::Replay(response) => {
                    self.remove_unsent(now, attempt);
                    out.push(SidecarOutput::Replay { attempt, response });
                }
                Decision::Refuse(refusal) => {
                    self.remove_unsent(now, attempt);
                    out.push(SidecarOutput::Refuse { attempt, refusal });
                }
            }
        }
    }

    /// Removes an attempt whose call was not sent and refunds its charge.
    pub(super) fn remove_unsent(&mut self, now: Time, id: AttemptId) {
        if let Some(attempt) = self.attempts.remove(now, id) {
            self.settle_charge(now, &attempt, 0);
        }
    }

    /// Corrects the charge of an attempt to its actual cost.
    pub(super) fn settle_charge(&mut self, now: Time, attempt: &Attempt, cost: u64) {
        let correction = cost as i64 - attempt.charged as i64;
        self.scheduler.charge(now, &attempt.queue, correction);
    }

    pub(super) fn send_ledger_batch(&mut self, now: Time, out: &mut Vec<SidecarOutput>) {
        if let Some(batch) = self.ledger.next_batch(now) {
            out.push(SidecarOutput::Commit(batch));
        }
    }

    /// Reports attempts whose first token is overdue to the limiter as failures, each once.
    pub(super) fn on_first_token_timeout(&mut self, now: Time) {
        for id in self.attempts.overdue_first_tokens(now) {
            let Some(attempt) = self.attempts.get_mut(id) else { continue };

            attempt.is_overdue = true;
            let epoch = attempt.epoch;
            self.limiter.on_failed(now, epoch);
        }
    }
}
