//! Requests of a router from admission to their final answer, with their queues and retries.

use std::time::Duration;

use crate::collections::HashMap;
use crate::config::Target;
use crate::name::Name;
use crate::request::{
    AttemptId, Outcome, QueueKey, Refusal, RefusalCode, Repeatability, RequestId, RequestMeta,
};
use crate::router::RouterPolicy;
use crate::router::queue::{Queue, QueuedRequest};
use crate::router::retry_budget::RetryBudget;
use crate::time::Time;

/// Queue length below which requests are accepted regardless of the expected wait.
const ALWAYS_ACCEPTED_QUEUE_LENGTH: usize = 32;

/// Time from a request's first refused attempt during which `NoUpstream` refusals requeue it.
const REFUSED_RETRY_WINDOW: Duration = Duration::from_secs(5);

/// Maximum retry delay returned to callers.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Current attempt to serve a request.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    /// Identifier, unique over all router processes.
    pub id: AttemptId,
    /// Time at which the request was dispatched.
    pub dispatched_at: Time,
    /// Whether the caller has received part of the answer.
    delivering: bool,
}

/// Request without a final answer.
#[derive(Clone, Debug)]
pub(super) struct Request {
    /// Queue, cost and repeatability of the request.
    pub meta: RequestMeta,
    /// Time at which the request arrived at the router.
    pub arrived_at: Time,
    /// Current attempt; `None` while the request is queued.
    pub attempt: Option<Attempt>,
    /// Time of the first refused attempt; `None` if no attempt was refused.
    first_refused_at: Option<Time>,
    /// Whether any attempt so far may have run at the upstream.
    may_have_run: bool,
}

impl Request {
    /// Returns the refusal with an outcome that covers all attempts: `Unknown` if any of them may
    /// have run.
    pub fn with_combined_outcome(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run { Refusal { outcome: Outcome::Unknown, ..refusal } } else { refusal }
    }
}

/// How a request continues after its attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Resolution {
    /// The request was put back into its queue.
    Requeued,
    /// The request must be ended with this refusal.
    Refuse(Refusal),
    /// The attempt is not the current one; nothing changes.
    Ignore,
}

/// Holds the requests of a router, their queues and the retry budgets of the workspaces.
#[derive(Clone, Debug)]
pub(super) struct RequestController {
    policy: RouterPolicy,
    /// Queued and dispatched requests.
    requests: HashMap<RequestId, Request>,
    queues: HashMap<QueueKey, Queue>,
    /// Number of queued requests, by target and workspace.
    waiting_counts: HashMap<(Target, Name), usize>,
    /// Retry budgets, by workspace.
    budgets: HashMap<Name, RetryBudget>,
}

impl RequestController {
    /// Creates a controller without requests.
    pub fn new(policy: RouterPolicy) -> Self {
        Self {
            policy,
            requests: HashMap::default(),
            queues: HashMap::default(),
            waiting_counts: HashMap::default(),
            budgets: HashMap::default(),
        }
    }

    /// Returns all queues; some may be empty.
    pub fn queues(&self) -> &HashMap<QueueKey, Queue> {
        &self.queues
    }

    /// Returns a queue, or `None` if it does not exist.
    pub fn queue_mut(&mut self, key: &QueueKey) -> Option<&mut Queue> {
        self.queues.get_mut(key)
    }

    /// Returns a request, or `None` if it has ended.
    pub fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    /// Returns the number of requests without a final answer.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of queued requests.
    pub fn waiting_count(&self) -> usize {
        self.queues.values().map(Queue::len).sum()
    }

    /// Queues an admitted request.
    ///
    /// # Errors
    ///
    /// Returns `QueueFull` when the workspace has too many waiting requests for the target, or the
    /// expected wait is too long.
    pub fn admit(&mut self, now: Time, id: RequestId, meta: RequestMeta) -> Result<(), Refusal> {
        self.check_queue_limits(&meta.queue)?;

        self.budgets.entry(meta.queue.workspace.clone()).or_insert_with(RetryBudget::new).deposit();
        let queued = QueuedRequest { id, arrived_at: now, cost: meta.cost };
        self.adjust_waiting_count(&meta.queue, 1);
        self.queues.entry(meta.queue.clone()).or_insert_with(Queue::new).push(queued);
        let request = Request {
            meta,
            arrived_at: now,
            attempt: None,
            first_refused_at: None,
            may_have_run: false,
        };
        self.requests.insert(id, request);
        Ok(())
    }

    /// Starts an attempt of the first request of a queue, or returns `None` if the queue is empty.
    pub fn dispatch(&mut self, now: Time, key: &QueueKey, attempt: AttemptId) -> Option<RequestId> {
        let queued = self.queues.get_mut(key)?.pop(now)?;
        self.adjust_waiting_count(key, -1);

        let request = self.requests.get_mut(&queued.id)?;
        request.attempt = Some(Attempt { id: attempt, dispatched_at: now, delivering: false });
        Some(queued.id)
    }

    /// Records that the caller has received part of the answer, which rules out a retry.
    pub fn on_delivering(&mut self, id: RequestId, attempt: AttemptId) {
        let current = self.requests.get_mut(&id).and_then(|request| request.attempt.as_mut());
        if let Some(current) = current.filter(|current| current.id == attempt) {
            current.delivering = true;
        }
    }

    /// Ends an attempt that the sidecar refused.
    ///
    /// A request that found no upstream is requeued for `REFUSED_RETRY_WINDOW` without using the
    /// retry budget; a failure is requeued if the budget allows.
    pub fn on_refused(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: AttemptId,
        refusal: Refusal,
    ) -> Resolution {
        let Some(request) = self.current_mut(id, attempt) else { return Resolution::Ignore };

        request.may_have_run |= refusal.outcome == Outcome::Unknown;
        let refusal = request.with_combined_outcome(refusal);
        let first_refused_at = *request.first_refused_at.get_or_insert(now);
        let may_wait = refusal.code == RefusalCode::NoUpstream
            && now.since(first_refused_at) < REFUSED_RETRY_WINDOW;
        if may_wait || self.try_retry_failure(id, refusal) {
            self.requeue(id);
            return Resolution::Requeued;
        }
        Resolution::Refuse(refusal)
    }

    /// Ends an attempt whose answer was lost; the upstream may have run it.
    pub fn on_answer_lost(&mut self, id: RequestId, attempt: AttemptId) -> Resolution {
        let Some(request) = self.current_mut(id, attempt) else { return Resolution::Ignore };

        request.may_have_run = true;
        let refusal = Refusal::outcome_unknown(RefusalCode::AnswerLost);
        if self.try_retry_failure(id, refusal) {
            self.requeue(id);
            return Resolution::Requeued;
        }
        Resolution::Refuse(refusal)
    }

    /// Returns whether `attempt` is the current attempt of request `id`.
    pub fn is_current(&self, id: RequestId, attempt: AttemptId) -> bool {
        let current = self.requests.get(&id).and_then(|request| request.attempt.as_ref());

        current.is_some_and(|current| current.id == attempt)
    }

    /// Removes a request, also from its queue, and returns it.
    pub fn remove(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        if request.attempt.is_none() {
            let key = &request.meta.queue;
            if self.queues.get_mut(key).is_some_and(|queue| queue.remove(id)) {
                self.adjust_waiting_count(key, -1);
            }
        }

        Some(request)
    }

    /// Removes the queued requests that exceeded the maximum wait and returns them with their
    /// refusals.
    pub fn expire(&mut self, now: Time) -> Vec<(RequestId, Request, Refusal)> {
        let cutoff = now - self.policy.max_wait;
        let mut expired = Vec::new();
        for queue in self.queues.values_mut() {
            let retry_after = clamp_retry_after(queue.expected_wait());
            while let Some(queued) = queue.pop_older_than(cutoff) {
                expired.push((queued.id, retry_after));
            }
        }

        expired
            .into_iter()
            .filter_map(|(id, retry_after)| self.expire_one(id, retry_after))
            .collect()
    }

    /// Removes empty queues and zero counts.
    pub fn prune(&mut self) {
        self.queues.retain(|_, queue| !queue.is_empty());
        self.waiting_counts.retain(|_, count| *count > 0);
    }

    /// Returns the queued requests for `target`.
    pub fn waiting_for(&self, target: &Target) -> Vec<RequestId> {
        self.requests
            .iter()
            .filter(|(_, request)| {
                request.attempt.is_none() && request.meta.queue.target == *target
            })
            .map(|(id, _)| *id)
            .collect()
    }

    /// Removes an expired request that is no longer in its queue.
    fn expire_one(
        &mut self,
        id: RequestId,
        retry_after: Duration,
    ) -> Option<(RequestId, Request, Refusal)> {
        let request = self.requests.remove(&id)?;
        self.adjust_waiting_count(&request.meta.queue, -1);

        let refusal = Refusal::retryable(RefusalCode::WaitedTooLong, retry_after);
        let refusal = request.with_combined_outcome(refusal);
        Some((id, request, refusal))
    }

    /// Returns `QueueFull` if the limits on waiting requests or on the expected wait are exceeded.
    fn check_queue_limits(&self, key: &QueueKey) -> Result<(), Refusal> {
        let total = self.waiting_counts.get(&(key.target.clone(), key.workspace.clone()));
        let wait = self.queues.get(key).map_or(Duration::ZERO, Queue::expected_wait);
        let length = self.queues.get(key).map_or(0, Queue::len);

        let is_full = total.is_some_and(|total| *total >= self.policy.max_waiting);
        let is_slow = length >= ALWAYS_ACCEPTED_QUEUE_LENGTH && wait > self.policy.max_wait;
        if !is_full && !is_slow {
            return Ok(());
        }

        Err(Refusal::retryable(RefusalCode::QueueFull, clamp_retry_after(wait)))
    }

    fn adjust_waiting_count(&mut self, key: &QueueKey, change: isize) {
        let count =
            self.waiting_counts.entry((key.target.clone(), key.workspace.clone())).or_insert(0);
        *count = count.saturating_add_signed(change);
    }

    /// Returns request `id` if `attempt` is its current attempt.
    fn current_mut(&mut self, id: RequestId, attempt: AttemptId) -> Option<&mut Request> {
        self.requests
            .get_mut(&id)
            .filter(|request| request.attempt.as_ref().is_some_and(|a| a.id == attempt))
    }

    /// Withdraws a retry from the workspace's budget for a request whose attempt failed.
    ///
    /// Returns `false` if the request must not be retried: the refusal is not a failure, a second
    /// run could repeat its effect, the caller already has part of the answer, or the budget is
    /// used up.
    fn try_retry_failure(&mut self, id: RequestId, refusal: Refusal) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let is_failure =
            matches!(refusal.code, RefusalCode::AnswerLost | RefusalCode::UpstreamFailed);
        let is_safe_to_retry = request.meta.repeatability == Repeatability::Idempotent
            || refusal.outcome == Outcome::NotRun;
        let delivering = request.attempt.as_ref().is_some_and(|attempt| attempt.delivering);
        if !is_failure || !is_safe_to_retry || delivering {
            return false;
        }

        self.budgets.get_mut(&request.meta.queue.workspace).is_some_and(RetryBudget::try_withdraw)
    }

    /// Puts a request back into its queue, at the position of its arrival time.
    fn requeue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };

        request.attempt = None;
        let key = request.meta.queue.clone();
        let queued = QueuedRequest { id, arrived_at: request.arrived_at, cost: request.meta.cost };
        self.queues.entry(key.clone()).or_insert_with(Queue::new).reinsert(queued);
        self.adjust_waiting_count(&key, 1);
    }
}

/// Returns the retry delay for a queue with the given expected wait: between one second and
/// `MAX_RETRY_AFTER`.
fn clamp_retry_after(expected_wait: Duration) -> Duration {
    expected_wait.clamp(Duration::from_secs(1), MAX_RETRY_AFTER)
}
