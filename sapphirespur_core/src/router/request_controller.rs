//! Requests of one router from arrival to their final answer.

use std::time::Duration;

use crate::collections::HashMap;
use crate::config::Target;
use crate::name::Name;
use crate::request::{
    AttemptId, Outcome, QueueKey, Refusal, RefusalCode, Repeatability, RequestId, RequestMeta,
};
use crate::router::RouterPolicy;
use crate::router::queue::{Queue, Waiting};
use crate::router::retry_budget::RetryBudget;
use crate::time::Time;

/// Length up to which a queue is accepted whatever its expected wait.
const SHORT_QUEUE: usize = 32;

/// Time from the first refused attempt of a request until it is given up.
const REFUSED_GRACE: Duration = Duration::from_secs(5);

/// Longest advice to come back later.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Attempt under way.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    /// Identifier.
    pub id: AttemptId,
    /// Time of dispatch.
    pub since: Time,
    delivering: bool,
}

/// Request that has no final answer yet.
#[derive(Clone, Debug)]
pub(super) struct Request {
    /// Admitted request.
    pub meta: RequestMeta,
    /// Time of arrival.
    pub since: Time,
    /// Attempt under way; none while the request waits.
    pub attempt: Option<Attempt>,
    first_refused: Option<Time>,
    may_have_run: bool,
}

impl Request {
    /// Returns a refusal that is true of all attempts that were made.
    pub fn refused_with(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run { Refusal { outcome: Outcome::Unknown, ..refusal } } else { refusal }
    }
}

/// What follows from the end of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Next {
    /// The request waits again.
    Requeued,
    /// The request gets a refusal.
    Refuse(Refusal),
    /// The attempt is not the current one.
    Ignore,
}

/// Controller of the requests.
#[derive(Clone, Debug)]
pub(super) struct RequestController {
    policy: RouterPolicy,
    requests: HashMap<RequestId, Request>,
    queues: HashMap<QueueKey, Queue>,
    waiting_of: HashMap<(Target, Name), usize>,
    budgets: HashMap<Name, RetryBudget>,
}

impl RequestController {
    /// Creates a controller without requests.
    pub fn new(policy: RouterPolicy) -> Self {
        Self {
            policy,
            requests: HashMap::default(),
            queues: HashMap::default(),
            waiting_of: HashMap::default(),
            budgets: HashMap::default(),
        }
    }

    /// Returns the queues.
    pub fn queues(&self) -> &HashMap<QueueKey, Queue> {
        &self.queues
    }

    /// Returns a queue.
    pub fn queue_mut(&mut self, key: &QueueKey) -> Option<&mut Queue> {
        self.queues.get_mut(key)
    }

    /// Returns a request.
    pub fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    /// Returns the number of requests without a final answer.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.queues.values().map(Queue::len).sum()
    }

    /// Queues an admitted request.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the workspace has too much work waiting.
    pub fn admit(&mut self, now: Time, id: RequestId, meta: RequestMeta) -> Result<(), Refusal> {
        self.check_room(&meta.queue)?;

        self.budgets.entry(meta.queue.workspace.clone()).or_insert_with(RetryBudget::new).earn();
        let waiting = Waiting { id, since: now, cost: meta.cost };
        self.count_waiting(&meta.queue, 1);
        self.queues.entry(meta.queue.clone()).or_insert_with(Queue::new).push(waiting);
        let request =
            Request { meta, since: now, attempt: None, first_refused: None, may_have_run: false };
        self.requests.insert(id, request);
        Ok(())
    }

    /// Takes the first request of a queue for an attempt.
    pub fn dispatch(&mut self, now: Time, key: &QueueKey, attempt: AttemptId) -> Option<RequestId> {
        let waiting = self.queues.get_mut(key)?.pop(now)?;
        self.count_waiting(key, -1);

        let request = self.requests.get_mut(&waiting.id)?;
        request.attempt = Some(Attempt { id: attempt, since: now, delivering: false });
        Some(waiting.id)
    }

    /// Notes that the caller has received a part of the answer.
    pub fn on_delivering(&mut self, id: RequestId, attempt: AttemptId) {
        let current = self.requests.get_mut(&id).and_then(|request| request.attempt.as_mut());
        if let Some(current) = current.filter(|current| current.id == attempt) {
            current.delivering = true;
        }
    }

    /// Ends an attempt that a sidecar refused.
    pub fn on_refused(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: AttemptId,
        refusal: Refusal,
    ) -> Next {
        let Some(request) = self.current(id, attempt) else { return Next::Ignore };

        request.may_have_run |= refusal.outcome == Outcome::Unknown;
        let refusal = request.refused_with(refusal);
        let first_refused = *request.first_refused.get_or_insert(now);
        let may_wait =
            refusal.code == RefusalCode::NoUpstream && now.since(first_refused) < REFUSED_GRACE;
        if may_wait || self.may_retry_failure(id, refusal) {
            self.requeue(id);
            return Next::Requeued;
        }
        Next::Refuse(refusal)
    }

    /// Ends an attempt whose answer was lost.
    pub fn on_lost(&mut self, id: RequestId, attempt: AttemptId) -> Next {
        let Some(request) = self.current(id, attempt) else { return Next::Ignore };

        request.may_have_run = true;
        let refusal = Refusal::outcome_unknown(RefusalCode::AnswerLost);
        if self.may_retry_failure(id, refusal) {
            self.requeue(id);
            return Next::Requeued;
        }
        Next::Refuse(refusal)
    }

    /// Tells whether `attempt` is the current one of request `id`.
    pub fn is_current(&self, id: RequestId, attempt: AttemptId) -> bool {
        let current = self.requests.get(&id).and_then(|request| request.attempt.as_ref());

        current.is_some_and(|current| current.id == attempt)
    }

    /// Forgets a request and returns it.
    pub fn remove(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        if request.attempt.is_none() {
            let key = &request.meta.queue;
            if self.queues.get_mut(key).is_some_and(|queue| queue.remove(id)) {
                self.count_waiting(key, -1);
            }
        }

        Some(request)
    }

    /// Removes the requests that waited too long, with their refusals.
    pub fn expire(&mut self, now: Time) -> Vec<(RequestId, Request, Refusal)> {
        let limit = now - self.policy.max_wait;
        let mut expired = Vec::new();
        for queue in self.queues.values_mut() {
            let retry_after = advise(queue.expected_wait());
            while let Some(waiting) = queue.pop_older_than(limit) {
                expired.push((waiting.id, retry_after));
            }
        }

        expired
            .into_iter()
            .filter_map(|(id, retry_after)| self.expire_one(id, retry_after))
            .collect()
    }

    /// Forgets empty queues.
    pub fn prune(&mut self) {
        self.queues.retain(|_, queue| !queue.is_empty());
        self.waiting_of.retain(|_, count| *count > 0);
    }

    /// Returns the requests that wait for a target.
    pub fn waiting_for(&self, target: &Target) -> Vec<RequestId> {
        self.requests
            .iter()
            .filter(|(_, request)| {
                request.attempt.is_none() && request.meta.queue.target == *target
            })
            .map(|(id, _)| *id)
            .collect()
    }

    fn expire_one(
        &mut self,
        id: RequestId,
        retry_after: Duration,
    ) -> Option<(RequestId, Request, Refusal)> {
        let request = self.requests.remove(&id)?;
        self.count_waiting(&request.meta.queue, -1);

        let refusal = Refusal::retryable(RefusalCode::WaitedTooLong, retry_after);
        let refusal = request.refused_with(refusal);
        Some((id, request, refusal))
    }

    fn check_room(&self, key: &QueueKey) -> Result<(), Refusal> {
        let total = self.waiting_of.get(&(key.target.clone(), key.workspace.clone()));
        let wait = self.queues.get(key).map_or(Duration::ZERO, Queue::expected_wait);
        let length = self.queues.get(key).map_or(0, Queue::len);

        let is_full = total.is_some_and(|total| *total >= self.policy.max_waiting);
        let is_slow = length >= SHORT_QUEUE && wait > self.policy.max_wait;
        if !is_full && !is_slow {
            return Ok(());
        }

        Err(Refusal::retryable(RefusalCode::QueueFull, advise(wait)))
    }

    fn count_waiting(&mut self, key: &QueueKey, change: isize) {
        let count = self.waiting_of.entry((key.target.clone(), key.workspace.clone())).or_insert(0);
        *count = count.saturating_add_signed(change);
    }

    fn current(&mut self, id: RequestId, attempt: AttemptId) -> Option<&mut Request> {
        self.requests
            .get_mut(&id)
            .filter(|request| request.attempt.as_ref().is_some_and(|a| a.id == attempt))
    }

    /// Tells whether a request whose attempt failed may be tried again within the budget.
    fn may_retry_failure(&mut self, id: RequestId, refusal: Refusal) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let is_failure =
            matches!(refusal.code, RefusalCode::AnswerLost | RefusalCode::UpstreamFailed);
        let may_repeat = request.meta.repeatability == Repeatability::Idempotent
            || refusal.outcome == Outcome::NotRun;
        let delivering = request.attempt.as_ref().is_some_and(|attempt| attempt.delivering);
        if !is_failure || !may_repeat || delivering {
            return false;
        }

        self.budgets.get_mut(&request.meta.queue.workspace).is_some_and(RetryBudget::spend)
    }

    fn requeue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };

        request.attempt = None;
        let key = request.meta.queue.clone();
        let waiting = Waiting { id, since: request.since, cost: request.meta.cost };
        self.queues.entry(key.clone()).or_insert_with(Queue::new).push_again(waiting);
        self.count_waiting(&key, 1);
    }
}

/// Returns when to come back after a queue with an expected wait.
fn advise(expected_wait: Duration) -> Duration {
    expected_wait.clamp(Duration::from_secs(1), MAX_RETRY_AFTER)
}
