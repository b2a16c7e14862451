//! Request handling of a router: admission, dispatch by permit, attempt results and expiry.

use std::time::Duration;

use crate::config::Target;
use crate::event::Event;
use crate::filter;
use crate::filter::FilterContext;
use crate::message::{Message, Permit, PermitReturn};
use crate::name::Name;
use crate::request::{AttemptId, QueueKey, Refusal, RefusalCode, RequestHead, RequestId};
use crate::router::demand_controller::FANOUT_INCREASE_DELAY;
use crate::router::request_controller::Resolution;
use crate::router::router::{TimerKey, refuse};
use crate::router::{AttemptEvent, Dispatch, Router, RouterOutput};
use crate::time::Time;

/// Time without a serving sidecar for a target after which its waiting requests are refused.
const NO_UPSTREAM_GRACE: Duration = Duration::from_secs(3);

/// Retry delay returned to callers while the router does not accept requests.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Router {
    /// Schedules a full demand update for a sidecar that missed a message.
    pub(super) fn on_resync(&mut self, from: &Name) {
        if let Some(view) = self.demand.view_mut(from) {
            view.resync();
        }
        self.mark_all_queues_changed();
    }

    /// Queues a request, or refuses it.
    pub(super) fn on_request(
        &mut self,
        now: Time,
        id: RequestId,
        head: &RequestHead,
        out: &mut Vec<RouterOutput>,
    ) {
        if let Err(refusal) = self.admit(now, id, head) {
            refuse(id, refusal, out);
        }
    }

    /// Runs the filters on a request and queues it.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the router is not ready, a filter rejects the request, no sidecar
    /// serves its target or its queue is full.
    pub(super) fn admit(
        &mut self,
        now: Time,
        id: RequestId,
        head: &RequestHead,
    ) -> Result<(), Refusal> {
        if !self.is_ready() {
            return Err(Refusal::retryable(RefusalCode::NotReady, NOT_READY_RETRY_AFTER));
        }

        let cx = FilterContext { config: self.config.config(), keys: self.config.keys() };
        let meta = filter::run(head, cx)?;
        if !self.demand.can_serve(now, self.config.config(), &meta.queue.target) {
            return Err(Refusal::no_upstream());
        }

        let key = meta.queue.clone();
        self.requests.admit(now, id, meta)?;
        self.on_queue_grew(now, &key);
        Ok(())
    }

    /// Removes a request whose caller disconnected.
    pub(super) fn on_cancelled(&mut self, id: RequestId) {
        if let Some(request) = self.requests.remove(id) {
            self.demand.on_queue_changed(&request.meta.queue);
        }
    }

    /// Uses a permit of a sidecar, or returns it when no request can use it.
    pub(super) fn on_permit(
        &mut self,
        now: Time,
        from: &Name,
        permit: &Permit,
        out: &mut Vec<RouterOutput>,
    ) {
        if let Some(view) = self.demand.view_mut(from) {
            view.on_permit(&permit.workspace, &permit.class);
        }
        if self.use_permit(now, from, permit, out).is_some() {
            return;
        }

        if let Some(view) = self.demand.view_mut(from) {
            view.on_permit_returned(&permit.workspace, &permit.class);
        }
        let message = Message::PermitReturn(PermitReturn { id: permit.id, remaining: 0 });
        out.push(RouterOutput::Send { to: from.clone(), message });
    }

    /// Dispatches the first request of the permit's queue.
    ///
    /// Returns `None` when the queue is empty or the upstream accepts no new work.
    pub(super) fn use_permit(
        &mut self,
        now: Time,
        from: &Name,
        permit: &Permit,
        out: &mut Vec<RouterOutput>,
    ) -> Option<()> {
        let config = self.config.config();
        let upstream = config.upstreams.get(from).filter(|u| config.accepts_work(u))?;
        let key = QueueKey {
            target: upstream.target.clone(),
            workspace: permit.workspace.clone(),
            class: permit.class.clone(),
        };
        let address = upstream.address.clone();

        let attempt = AttemptId { incarnation: self.incarnation, counter: self.next_attempt };
        let id = self.requests.dispatch(now, &key, attempt)?;
        self.next_attempt += 1;
        self.demand.on_queue_changed(&key);

        let request = self.requests.get(id)?;
        out.push(RouterOutput::Event(Event::Dispatched {
            request: id,
            queue: key,
            upstream: from.clone(),
            queue_time: now.since(request.arrived_at),
        }));
        out.push(RouterOutput::Dispatch(Dispatch {
            id,
            attempt,
            permit: permit.id,
            upstream: from.clone(),
            address,
            meta: request.meta.clone(),
        }));
        Some(())
    }

    /// Completes, requeues or refuses a request after an event of its attempt.
    pub(super) fn on_attempt_event(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: AttemptId,
        event: AttemptEvent,
        out: &mut Vec<RouterOutput>,
    ) {
        let resolution = match event {
            AttemptEvent::Delivering => {
                self.requests.on_delivering(id, attempt);
                return;
            }
            AttemptEvent::Finished => {
                self.on_finished(now, id, attempt, out);
                return;
            }
            AttemptEvent::Refused(refusal) => self.requests.on_refused(now, id, attempt, refusal),
            AttemptEvent::NeverStarted => {
                let refusal = Refusal::no_upstream();
                self.requests.on_refused(now, id, attempt, refusal)
            }
            AttemptEvent::AnswerLost => self.requests.on_answer_lost(id, attempt),
        };

        match resolution {
            Resolution::Requeued => {
                out.push(RouterOutput::Event(Event::Retried { request: id }));
                if let Some(key) = self.requests.get(id).map(|request| request.meta.queue.clone()) {
                    self.on_queue_grew(now, &key);
                }
            }
            Resolution::Refuse(refusal) => {
                self.requests.remove(id);
                refuse(id, refusal, out);
            }
            Resolution::Ignore => {}
        }
    }

    /// Completes a request, unless `attempt` is no longer its current attempt.
    pub(super) fn on_finished(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: AttemptId,
        out: &mut Vec<RouterOutput>,
    ) {
        if !self.requests.is_current(id, attempt) {
            return;
        }
        let Some(request) = self.requests.remove(id) else { return };
        let dispatched_at = request.attempt.map_or(now, |attempt| attempt.dispatched_at);

        out.push(RouterOutput::Event(Event::Completed {
            request: id,
            queue: request.meta.queue,
            service_time: now.since(dispatched_at),
        }));
    }

    /// Marks a queue as changed and starts the fanout timer if its fanout can grow.
    pub(super) fn on_queue_grew(&mut self, now: Time, key: &QueueKey) {
        self.demand.on_queue_changed(key);
        let queue = self.requests.queues().get(key);
        let can_increase_fanout = queue.is_some_and(|queue| {
            self.demand.can_increase_fanout(now, self.config.config(), key, queue)
        });
        if can_increase_fanout && !self.fanout_timer_active {
            self.schedule_fanout_increase(now + FANOUT_INCREASE_DELAY);
        }
    }

    /// Starts the timer that increases the fanout of queues at `deadline`.
    pub(super) fn schedule_fanout_increase(&mut self, deadline: Time) {
        self.fanout_timer_active = true;
        self.timers.schedule(TimerKey::IncreaseFanout, deadline);
    }

    /// Doubles the fanout of the queues whose first request has waited `FANOUT_INCREASE_DELAY`.
    pub(super) fn increase_fanout(&mut self, now: Time) {
        self.fanout_timer_active = false;
        let config = self.config.config();
        let queues: Vec<QueueKey> = self
            .requests
            .queues()
            .iter()
            .filter(|(key, queue)| self.demand.can_increase_fanout(now, config, key, queue))
            .map(|(key, _)| key.clone())
            .collect();

        for key in &queues {
            let Some(queue) = self.requests.queue_mut(key) else { continue };
            if queue.head().is_some_and(|head| head.arrived_at + FANOUT_INCREASE_DELAY <= now) {
                queue.fanout *= 2;
                self.demand.on_queue_changed(key);
            }
        }
        if !queues.is_empty() {
            self.schedule_fanout_increase(now + FANOUT_INCREASE_DELAY);
        }
    }

    /// Refuses requests that exceeded the maximum wait, and those of targets that no sidecar has
    /// served for `NO_UPSTREAM_GRACE`.
    pub(super) fn sweep(&mut self, now: Time, out: &mut Vec<RouterOutput>) {
        for (id, request, refusal) in self.requests.expire(now) {
            self.demand.on_queue_changed(&request.meta.queue);
            refuse(id, refusal, out);
        }

        let config = self.config.config();
        let mut waiting: Vec<Target> = self
            .requests
            .queues()
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(key, _)| key.target.clone())
            .collect();
        waiting.sort_unstable();
        waiting.dedup();
        waiting.retain(|target| !self.demand.can_serve(now, config, target));
        self.unserved_since.retain(|target, _| waiting.contains(target));
        for target in waiting {
            let since = *self.unserved_since.entry(target.clone()).or_insert(now);
            if now.since(since) >= NO_UPSTREAM_GRACE {
                self.refuse_waiting(&target, out);
            }
        }
    }

    /// Refuses all requests that wait for `target`.
    pub(super) fn refuse_waiting(&mut self, target: &Target, out: &mut Vec<RouterOutput>) {
        for id in self.requests.waiting_for(target) {
            let Some(request) = self.requests.remove(id) else { continue };

            self.demand.on_queue_changed(&request.meta.queue);
            let refusal = Refusal::no_upstream();
            refuse(id, request.with_combined_outcome(refusal), out);
        }
    }

    /// Marks every queue as changed, so that the next flush considers all of them.
    pub(super) fn mark_all_queues_changed(&mut self) {
        let keys: Vec<QueueKey> = self.requests.queues().keys().cloned().collect();
        for key in keys {
            self.demand.on_queue_changed(&key);
        }
    }

    /// Sends the demand messages that are due.
    pub(super) fn flush_demand(&mut self, now: Time, refresh: bool, out: &mut Vec<RouterOutput>) {
        let messages =
            self.demand.flush(now, self.config.config(), self.requests.queues(), refresh);

        out.extend(messages.into_iter().map(|(to, message)| RouterOutput::Send { to, message }));
    }
}
