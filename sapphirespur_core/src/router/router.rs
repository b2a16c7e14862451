//! State machine of a router.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::account::AccountBook;
use crate::collections::HashMap;
use crate::config::{Config, Target};
use crate::event::Event;
use crate::filter::{self, FilterContext};
use crate::limiter::Phase;
use crate::message::{Heartbeat, Message, NodeState, Permit, PermitReturn, ServiceReport};
use crate::name::Name;
use crate::request::{AttemptId, QueueKey, Refusal, RefusalCode, RequestHead, RequestId};
use crate::router::demand::{DemandController, WIDEN_AFTER};
use crate::router::peers::{is_watcher, wanted_links};
use crate::router::requests::{NO_UPSTREAM_RETRY, Next, RequestController};
use crate::router::sidecar_view::PEER_TIMEOUT;
use crate::router::{
    AttemptEvent, Dispatch, RouterInput, RouterOutput, RouterPolicy, RouterStatus, SidecarStatus,
};
use crate::spread::ConfigController;
use crate::time::Time;
use crate::timer::Timers;
use crate::vm::Vm;

/// Time between two looks for requests that waited too long.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two full comparisons of the demand with what the sidecars were told.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two searches for state that nobody needs any more.
const PRUNE_INTERVAL: Duration = Duration::from_secs(10);

/// Time without any serving sidecar after which the waiting requests are refused.
const NO_UPSTREAM_GRACE: Duration = Duration::from_secs(3);

/// Parts of the router that subscribe to the timer service.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum TimerKey {
    Heartbeat,
    Prune,
    Refresh,
    Sweep,
    Widen,
}

/// Router as one value: `handle` takes an input and appends the outputs.
#[derive(Clone, Debug)]
pub struct Router {
    name: Name,
    data_centre: Name,
    incarnation: u64,
    policy: RouterPolicy,
    config: ConfigController,
    requests: RequestController,
    demand: DemandController,
    accounts: AccountBook,
    members: Vec<Vm>,
    links: BTreeMap<Name, Name>,
    linked_routers: HashMap<Name, Time>,
    unserved_since: HashMap<Target, Time>,
    timers: Timers<TimerKey>,
    next_attempt: u64,
    watching: bool,
    /// Whether a look at the narrow queues is planned.
    widening: bool,
    draining: bool,
    drained: bool,
}

impl Router {
    /// Creates a router that knows no configuration yet.
    ///
    /// `incarnation` must differ from that of every other router process, earlier ones included.
    pub fn new(
        now: Time,
        name: Name,
        data_centre: Name,
        incarnation: u64,
        policy: RouterPolicy,
    ) -> Self {
        let mut timers = Timers::new();
        timers.subscribe(TimerKey::Heartbeat, now + policy.heartbeat_interval);
        timers.subscribe(TimerKey::Prune, now + PRUNE_INTERVAL);
        timers.subscribe(TimerKey::Refresh, now + REFRESH_INTERVAL);
        timers.subscribe(TimerKey::Sweep, now + SWEEP_INTERVAL);

        Self {
            name,
            data_centre: data_centre.clone(),
            incarnation,
            policy,
            config: ConfigController::default(),
            requests: RequestController::new(policy),
            demand: DemandController::new(data_centre),
            accounts: AccountBook::default(),
            members: Vec::new(),
            links: BTreeMap::new(),
            linked_routers: HashMap::default(),
            unserved_since: HashMap::default(),
            timers,
            next_attempt: 0,
            watching: false,
            widening: false,
            draining: false,
            drained: false,
        }
    }

    /// Takes an input at `now` and appends what follows from it to `out`.
    pub fn handle(&mut self, now: Time, input: RouterInput, out: &mut Vec<RouterOutput>) {
        match input {
            RouterInput::Tick => {}
            RouterInput::Configured(config) => self.on_configured(config, out),
            RouterInput::Members(members) => self.on_members(members, out),
            RouterInput::LinkUp { peer } => self.on_link_up(now, &peer, out),
            RouterInput::LinkDown { peer } => self.on_link_down(&peer),
            RouterInput::Message { from, message } => self.on_message(now, &from, message, out),
            RouterInput::Request { id, head } => self.on_request(now, id, &head, out),
            RouterInput::Cancelled { id } => self.on_cancelled(id),
            RouterInput::Attempt { id, attempt, event } => {
                self.on_attempt(now, id, attempt, event, out);
            }
            RouterInput::Drain => self.on_drain(out),
        }

        self.run_timers(now, out);
        self.flush_demand(now, false, out);
        self.check_drained(out);
    }

    /// Returns the time at which the router wants a tick.
    pub fn next_deadline(&self) -> Option<Time> {
        self.timers.next_deadline()
    }

    /// Tells whether the router takes requests.
    pub fn is_ready(&self) -> bool {
        !self.draining && self.config.revision() > 0
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Config {
        self.config.config()
    }

    /// Returns the number of service accounts at this home.
    pub fn accounts(&self) -> usize {
        self.accounts.len()
    }

    /// Returns the state as operators see it.
    pub fn status(&self, now: Time) -> RouterStatus {
        let sidecars = self.demand.views().iter().map(|(name, view)| SidecarStatus {
            upstream: name.clone(),
            linked: view.linked,
            serving: view.is_serving(now),
            phase: match view.state.as_ref().map(|state| state.phase) {
                Some(Phase::Cold) => "cold",
                Some(Phase::Warm) => "warm",
                None => "unknown",
            }
            .to_owned(),
            limit: view.state.as_ref().map_or(0, |state| state.limit),
            free: view.free(),
            revision: view.revision,
        });
        let waiting = self.requests.waiting();

        RouterStatus {
            name: self.name.clone(),
            data_centre: self.data_centre.clone(),
            ready: self.is_ready(),
            draining: self.draining,
            revision: self.config.revision(),
            watching: self.watching,
            waiting,
            serving: self.requests.len() - waiting,
            sidecars: sidecars.collect(),
        }
    }

    fn on_configured(&mut self, config: Config, out: &mut Vec<RouterOutput>) {
        if self.config.accept(config) {
            self.on_config_in_force(out);
        }
    }

    fn on_config_in_force(&mut self, out: &mut Vec<RouterOutput>) {
        let revision = self.config.revision();
        out.push(RouterOutput::Event(Event::ConfigInForce { revision }));

        self.demand.configure(self.config.config());
        self.update_links(out);
        self.send_heartbeats(out);
        self.requeue_all_demand();
    }

    fn on_members(&mut self, members: Vec<Vm>, out: &mut Vec<RouterOutput>) {
        self.members = members;
        self.update_links(out);
        self.update_watching(out);
    }

    fn on_link_up(&mut self, now: Time, peer: &Name, out: &mut Vec<RouterOutput>) {
        if let Some(view) = self.demand.view_mut(peer) {
            view.on_link_up(now);
        } else {
            self.linked_routers.insert(peer.clone(), now);
            self.update_watching(out);
        }

        let message = self.heartbeat_for(peer);
        out.push(RouterOutput::Send { to: peer.clone(), message });
        self.requeue_all_demand();
    }

    fn on_link_down(&mut self, peer: &Name) {
        self.config.on_link_down(peer);
        self.linked_routers.remove(peer);
        if let Some(view) = self.demand.view_mut(peer) {
            view.on_link_down();
        }
    }

    fn on_message(
        &mut self,
        now: Time,
        from: &Name,
        message: Message,
        out: &mut Vec<RouterOutput>,
    ) {
        self.note_heard(now, from);
        match message {
            Message::Heartbeat(heartbeat) => self.on_heartbeat(now, from, heartbeat, out),
            Message::DemandResync(_) => self.on_resync(from),
            Message::Permit(permit) => self.on_permit(now, from, &permit, out),
            Message::ServiceReport(report) => self.on_report(now, from, &report, out),
            Message::ConfigPull(pull) => {
                if let Some(message) = self.config.answer_pull(&pull) {
                    out.push(RouterOutput::Send { to: from.clone(), message });
                }
            }
            Message::ConfigDelta(delta) => {
                self.config.on_pull_answered();
                match self.config.accept_delta(&delta) {
                    Ok(true) => self.on_config_in_force(out),
                    Ok(false) => {}
                    Err(_) => {
                        let event = Event::ConfigRejected { from: from.clone() };
                        out.push(RouterOutput::Event(event));
                    }
                }
            }
            Message::ConfigFull(full) => {
                self.config.on_pull_answered();
                self.on_configured(full.config, out);
            }
            // Only sidecars take these.
            Message::AccountUpdate(_) | Message::Demand(_) | Message::PermitReturn(_) => {}
        }
    }

    fn note_heard(&mut self, now: Time, from: &Name) {
        if let Some(view) = self.demand.view_mut(from) {
            view.last_heard = now;
        }
        if let Some(heard) = self.linked_routers.get_mut(from) {
            *heard = now;
        }
    }

    fn on_heartbeat(
        &mut self,
        now: Time,
        from: &Name,
        heartbeat: Heartbeat,
        out: &mut Vec<RouterOutput>,
    ) {
        if let Some(message) = self.config.on_peer_revision(now, from, heartbeat.revision) {
            out.push(RouterOutput::Send { to: from.clone(), message });
        }
        if let NodeState::Sidecar(state) = heartbeat.state {
            self.demand.on_state(now, from, heartbeat.revision, state);
        }
    }

    fn on_resync(&mut self, from: &Name) {
        if let Some(view) = self.demand.view_mut(from) {
            view.resync();
        }
        self.requeue_all_demand();
    }

    fn on_request(
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

    fn admit(&mut self, now: Time, id: RequestId, head: &RequestHead) -> Result<(), Refusal> {
        if !self.is_ready() {
            return Err(Refusal::later(RefusalCode::NotReady, NO_UPSTREAM_RETRY));
        }

        let cx = FilterContext { config: self.config.config(), keys: self.config.keys() };
        let meta = filter::run(head, cx)?;
        if !self.demand.can_serve(now, self.config.config(), &meta.queue.target) {
            return Err(Refusal::later(RefusalCode::NoUpstream, NO_UPSTREAM_RETRY));
        }

        let key = meta.queue.clone();
        self.requests.admit(now, id, meta)?;
        self.on_queue_grew(now, &key);
        Ok(())
    }

    fn on_cancelled(&mut self, id: RequestId) {
        if let Some(request) = self.requests.remove(id) {
            self.demand.on_queue_changed(&request.meta.queue);
        }
    }

    fn on_permit(&mut self, now: Time, from: &Name, permit: &Permit, out: &mut Vec<RouterOutput>) {
        if let Some(view) = self.demand.view_mut(from) {
            view.on_permit(&permit.workspace, &permit.class);
        }
        if self.spend(now, from, permit, out).is_some() {
            return;
        }

        if let Some(view) = self.demand.view_mut(from) {
            view.on_permit_returned(&permit.workspace, &permit.class);
        }
        let message = Message::PermitReturn(PermitReturn { id: permit.id, remaining: 0 });
        out.push(RouterOutput::Send { to: from.clone(), message });
    }

    /// Spends a permit on the first request of its queue.
    fn spend(
        &mut self,
        now: Time,
        from: &Name,
        permit: &Permit,
        out: &mut Vec<RouterOutput>,
    ) -> Option<()> {
        let config = self.config.config();
        let upstream = config.upstreams.get(from).filter(|u| config.takes_work(u))?;
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
            waited: now.since(request.since),
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

    fn on_report(
        &mut self,
        now: Time,
        from: &Name,
        report: &ServiceReport,
        out: &mut Vec<RouterOutput>,
    ) {
        let workspaces = &self.config.config().workspaces;
        let share_of = |name: &Name| workspaces.get(name).map_or(1, |workspace| workspace.share);
        let update = self.accounts.report(now, from, report, share_of);

        out.push(RouterOutput::Send { to: from.clone(), message: Message::AccountUpdate(update) });
    }

    fn on_attempt(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: AttemptId,
        event: AttemptEvent,
        out: &mut Vec<RouterOutput>,
    ) {
        let next = match event {
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
                let refusal = Refusal::later(RefusalCode::NoUpstream, NO_UPSTREAM_RETRY);
                self.requests.on_refused(now, id, attempt, refusal)
            }
            AttemptEvent::Lost => self.requests.on_lost(id, attempt),
        };

        match next {
            Next::Requeued => {
                out.push(RouterOutput::Event(Event::Retried { request: id }));
                if let Some(key) = self.requests.get(id).map(|request| request.meta.queue.clone()) {
                    self.on_queue_grew(now, &key);
                }
            }
            Next::Refuse(refusal) => {
                self.requests.remove(id);
                refuse(id, refusal, out);
            }
            Next::Ignore => {}
        }
    }

    fn on_finished(
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
        let since = request.attempt.map_or(now, |attempt| attempt.since);

        out.push(RouterOutput::Event(Event::Completed {
            request: id,
            queue: request.meta.queue,
            served: now.since(since),
        }));
    }

    fn on_drain(&mut self, out: &mut Vec<RouterOutput>) {
        if !self.draining {
            self.draining = true;
            self.send_heartbeats(out);
        }
    }

    fn on_queue_grew(&mut self, now: Time, key: &QueueKey) {
        self.demand.on_queue_changed(key);
        let queue = self.requests.queues().get(key);
        let can_widen =
            queue.is_some_and(|queue| self.demand.can_widen(now, self.config.config(), key, queue));
        if can_widen && !self.widening {
            self.subscribe_widen(now + WIDEN_AFTER);
        }
    }

    fn subscribe_widen(&mut self, deadline: Time) {
        self.widening = true;
        self.timers.subscribe(TimerKey::Widen, deadline);
    }

    fn run_timers(&mut self, now: Time, out: &mut Vec<RouterOutput>) {
        while let Some(key) = self.timers.pop_expired(now) {
            match key {
                TimerKey::Heartbeat => {
                    self.check_peers(now, out);
                    self.send_heartbeats(out);
                    self.update_watching(out);
                    self.timers.subscribe(key, now + self.policy.heartbeat_interval);
                }
                TimerKey::Prune => {
                    self.accounts.prune(now);
                    self.requests.prune();
                    self.timers.subscribe(key, now + PRUNE_INTERVAL);
                }
                TimerKey::Refresh => {
                    self.flush_demand(now, true, out);
                    self.timers.subscribe(key, now + REFRESH_INTERVAL);
                }
                TimerKey::Sweep => {
                    self.sweep(now, out);
                    self.timers.subscribe(key, now + SWEEP_INTERVAL);
                }
                TimerKey::Widen => self.widen(now),
            }
        }
    }

    /// Asks more sidecars for the queues whose first request has waited.
    fn widen(&mut self, now: Time) {
        self.widening = false;
        let config = self.config.config();
        let narrow: Vec<QueueKey> = self
            .requests
            .queues()
            .iter()
            .filter(|(key, queue)| self.demand.can_widen(now, config, key, queue))
            .map(|(key, _)| key.clone())
            .collect();

        for key in &narrow {
            let Some(queue) = self.requests.queue_mut(key) else { continue };
            if queue.head().is_some_and(|head| head.since + WIDEN_AFTER <= now) {
                queue.breadth *= 2;
                self.demand.on_queue_changed(key);
            }
        }
        if !narrow.is_empty() {
            self.subscribe_widen(now + WIDEN_AFTER);
        }
    }

    /// Refuses requests that waited too long or that no upstream can serve.
    fn sweep(&mut self, now: Time, out: &mut Vec<RouterOutput>) {
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

    fn refuse_waiting(&mut self, target: &Target, out: &mut Vec<RouterOutput>) {
        for id in self.requests.waiting_for(target) {
            let Some(request) = self.requests.remove(id) else { continue };

            self.demand.on_queue_changed(&request.meta.queue);
            let refusal = Refusal::later(RefusalCode::NoUpstream, NO_UPSTREAM_RETRY);
            refuse(id, request.refused_with(refusal), out);
        }
    }

    /// Reopens the links on which nothing was heard for long.
    fn check_peers(&mut self, now: Time, out: &mut Vec<RouterOutput>) {
        let sidecars = self.demand.views().iter().filter(|(_, view)| view.linked);
        let heard = sidecars
            .map(|(name, view)| (name, view.last_heard))
            .chain(self.linked_routers.iter().map(|(name, heard)| (name, *heard)));
        let silent: Vec<Name> = heard
            .filter(|(_, heard)| now.since(*heard) >= PEER_TIMEOUT)
            .map(|(name, _)| name.clone())
            .collect();

        for peer in silent {
            self.on_link_down(&peer);
            out.push(RouterOutput::Reconnect { peer });
        }
    }

    fn send_heartbeats(&self, out: &mut Vec<RouterOutput>) {
        out.extend(self.linked_peers().into_iter().map(|peer| {
            let message = self.heartbeat_for(&peer);
            RouterOutput::Send { to: peer, message }
        }));
    }

    fn linked_peers(&self) -> Vec<Name> {
        let sidecars = self.demand.views().iter().filter(|(_, view)| view.linked);
        let mut routers: Vec<Name> = self.linked_routers.keys().cloned().collect();
        routers.sort_unstable();

        sidecars.map(|(name, _)| name.clone()).chain(routers).collect()
    }

    fn heartbeat_for(&self, peer: &Name) -> Message {
        let view = self.demand.views().get(peer);

        Message::Heartbeat(Heartbeat {
            incarnation: self.incarnation,
            revision: self.config.revision(),
            state: NodeState::Router {
                demand_sequence: view.map_or(0, |view| view.sequence()),
                draining: self.draining,
            },
        })
    }

    fn update_links(&mut self, out: &mut Vec<RouterOutput>) {
        let wanted =
            wanted_links(&self.name, &self.data_centre, self.config.config(), &self.members);

        for (peer, address) in &self.links {
            if wanted.get(peer) != Some(address) {
                out.push(RouterOutput::Disconnect { peer: peer.clone() });
            }
        }
        for (peer, address) in &wanted {
            if self.links.get(peer) != Some(address) {
                let (peer, address) = (peer.clone(), address.clone());
                out.push(RouterOutput::Connect { peer, address });
            }
        }
        self.links = wanted;
    }

    fn update_watching(&mut self, out: &mut Vec<RouterOutput>) {
        let is_alive = |name: &Name| self.linked_routers.contains_key(name);
        let watching = is_watcher(&self.name, &self.data_centre, &self.members, is_alive);

        if watching != self.watching {
            self.watching = watching;
            out.push(RouterOutput::Watch(watching));
        }
    }

    fn requeue_all_demand(&mut self) {
        let keys: Vec<QueueKey> = self.requests.queues().keys().cloned().collect();
        for key in keys {
            self.demand.on_queue_changed(&key);
        }
    }

    fn flush_demand(&mut self, now: Time, refresh: bool, out: &mut Vec<RouterOutput>) {
        let messages =
            self.demand.flush(now, self.config.config(), self.requests.queues(), refresh);

        out.extend(messages.into_iter().map(|(to, message)| RouterOutput::Send { to, message }));
    }

    fn check_drained(&mut self, out: &mut Vec<RouterOutput>) {
        if self.draining && !self.drained && self.requests.len() == 0 {
            self.drained = true;
            out.push(RouterOutput::Drained);
        }
    }
}

fn refuse(id: RequestId, refusal: Refusal, out: &mut Vec<RouterOutput>) {
    out.push(RouterOutput::Event(Event::Refused { request: id, code: refusal.code }));
    out.push(RouterOutput::Refuse { id, refusal });
}
