//! State machine of a sidecar.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::config::{Config, Target, Upstream};
use crate::event::Event;
use crate::fair::{Choice, FairOrder, home_name};
use crate::limiter::{Limiter, Phase};
use crate::message::{
    AccountUpdate, ConfigDelta, DemandResync, Heartbeat, Message, NodeState, Permit, PermitReturn,
    ServiceReport, SidecarState,
};
use crate::name::Name;
use crate::once::{LedgerState, OnceLedger, OnceVerdict, RecordedAnswer, Verdict};
use crate::request::{AttemptId, Call, QueueKey, Refusal, RefusalCode};
use crate::sidecar::attempt::{Attempt, Stage};
use crate::sidecar::attempts::{AttemptFate, Attempts};
use crate::sidecar::demand_book::{DemandBook, DemandChange};
use crate::sidecar::permits::Permits;
use crate::sidecar::ratio::Ratios;
use crate::sidecar::{
    SidecarInput, SidecarOutput, SidecarPolicy, SidecarSelfStatus, Start, UpstreamEvent,
    UpstreamFailure,
};
use crate::spread::ConfigController;
use crate::time::Time;
use crate::timer::Timers;

/// Time without a message after which a router counts as gone.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Time between two searches for state that nobody needs any more.
const PRUNE_INTERVAL: Duration = Duration::from_secs(10);

/// Time after which a router may offer a refused attempt again.
const REFUSED_RETRY: Duration = Duration::from_secs(1);

/// Parts of the sidecar that subscribe to the timer service.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum TimerKey {
    Heartbeat,
    LateTokens,
    Ledger,
    LimitPause,
    Permits,
    Prune,
    Report,
}

/// Router that is linked.
#[derive(Clone, Debug)]
struct LinkedRouter {
    last_heard: Time,
    draining: bool,
}

/// Sidecar as one value: `handle` takes an input and appends the outputs.
#[derive(Clone, Debug)]
pub struct Sidecar {
    upstream: Name,
    incarnation: u64,
    policy: SidecarPolicy,
    config: ConfigController,
    routers: BTreeMap<Name, LinkedRouter>,
    demand: DemandBook,
    fair: FairOrder,
    limiter: Limiter,
    permits: Permits,
    attempts: Attempts,
    ledger: OnceLedger,
    ratios: Ratios,
    timers: Timers<TimerKey>,
    report_sequence: u64,
    told: Option<(bool, Phase)>,
    /// Whether the configuration in force lets the upstream take work.
    is_open: bool,
    draining: bool,
    drained: bool,
}

impl Sidecar {
    /// Creates a sidecar that knows no configuration yet, beside an upstream that may be cold.
    ///
    /// `incarnation` must rise with each restart of the sidecar.
    pub fn new(now: Time, upstream: Name, incarnation: u64, policy: SidecarPolicy) -> Self {
        let mut timers = Timers::new();
        timers.subscribe(TimerKey::Heartbeat, now + policy.heartbeat_interval);
        timers.subscribe(TimerKey::Prune, now + PRUNE_INTERVAL);
        timers.subscribe(TimerKey::Report, now + policy.report_interval);

        Self {
            upstream,
            incarnation,
            policy,
            config: ConfigController::default(),
            routers: BTreeMap::new(),
            demand: DemandBook::default(),
            fair: FairOrder::new(incarnation),
            limiter: Limiter::new(1, 1, policy.has_load_reports),
            permits: Permits::new(incarnation),
            attempts: Attempts::default(),
            ledger: OnceLedger::default(),
            ratios: Ratios::default(),
            timers,
            report_sequence: 0,
            told: None,
            is_open: false,
            draining: false,
            drained: false,
        }
    }

    /// Takes an input at `now` and appends what follows from it to `out`.
    pub fn handle(&mut self, now: Time, input: SidecarInput, out: &mut Vec<SidecarOutput>) {
        match input {
            SidecarInput::Tick => {}
            SidecarInput::LinkUp { peer } => self.on_link_up(now, &peer, out),
            SidecarInput::LinkDown { peer } => self.on_link_down(now, &peer),
            SidecarInput::Message { from, message } => self.on_message(now, &from, message, out),
            SidecarInput::Start(start) => self.on_start(now, &start, out),
            SidecarInput::Ask { attempt, permit } => self.on_ask(now, attempt, permit, out),
            SidecarInput::Cancel { attempt } => self.on_cancel(now, attempt, out),
            SidecarInput::Upstream { attempt, event } => {
                self.on_upstream(now, attempt, event, out);
            }
            SidecarInput::Ledger { batch, answer } => {
                let verdicts = self.ledger.on_answer(now, batch, answer);
                self.on_verdicts(now, verdicts, out);
            }
            SidecarInput::Load { cold } => self.limiter.on_report(now, cold),
            SidecarInput::Drain => self.draining = true,
        }

        self.run_timers(now, out);
        self.issue_permits(now, out);
        self.commit(now, out);
        self.tell_state_change(now, out);
        self.subscribe_deadlines(now);
        self.check_drained(now, out);
    }

    /// Returns the time at which the sidecar wants a tick.
    pub fn next_deadline(&self) -> Option<Time> {
        self.timers.next_deadline()
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Config {
        self.config.config()
    }

    /// Returns the virtual time of a workspace, when it is known.
    pub fn virtual_time(&self, workspace: &Name) -> Option<i64> {
        self.fair.fleet_time(workspace)
    }

    /// Returns the state as operators see it.
    pub fn status(&self, now: Time) -> SidecarSelfStatus {
        SidecarSelfStatus {
            upstream: self.upstream.clone(),
            revision: self.config.revision(),
            serving: self.is_serving(),
            draining: self.draining,
            phase: match self.limiter.phase() {
                Phase::Cold => "cold",
                Phase::Warm => "warm",
            }
            .to_owned(),
            limit: self.limiter.limit(now),
            attempts: self.attempts.len(),
            permits: self.permits.len(),
            routers: self.routers.keys().cloned().collect(),
        }
    }

    fn on_link_up(&mut self, now: Time, peer: &Name, out: &mut Vec<SidecarOutput>) {
        let change = self.demand.on_link_up(peer);
        self.on_demand_change(now, peer, &change, out);
        self.release_permits(now, Some(peer));

        self.routers.insert(peer.clone(), LinkedRouter { last_heard: now, draining: false });
        let message = self.heartbeat(now);
        out.push(SidecarOutput::Send { to: peer.clone(), message });
    }

    fn on_link_down(&mut self, now: Time, peer: &Name) {
        self.config.on_link_down(peer);
        self.routers.remove(peer);
        let change = self.demand.on_link_down(peer);
        for choice in &change.empty {
            self.fair.set_empty(choice);
        }
        self.release_permits(now, Some(peer));
    }

    fn on_message(
        &mut self,
        now: Time,
        from: &Name,
        message: Message,
        out: &mut Vec<SidecarOutput>,
    ) {
        let Some(router) = self.routers.get_mut(from) else { return };
        router.last_heard = now;

        match message {
            Message::Heartbeat(heartbeat) => self.on_heartbeat(now, from, &heartbeat, out),
            Message::Demand(demand) => {
                let change = self.demand.on_demand(now, from, &demand);
                self.on_demand_change(now, from, &change, out);
            }
            Message::PermitReturn(returned) => self.on_permit_return(now, from, &returned, out),
            Message::AccountUpdate(update) => self.on_account_update(&update),
            Message::ConfigPull(pull) => {
                if let Some(message) = self.config.answer_pull(&pull) {
                    out.push(SidecarOutput::Send { to: from.clone(), message });
                }
            }
            Message::ConfigDelta(delta) => self.on_config_delta(now, from, &delta, out),
            Message::ConfigFull(full) => {
                self.config.on_pull_answered();
                if self.config.accept(full.config) {
                    self.on_config_in_force(now, out);
                }
            }
            // Only routers take these.
            Message::DemandResync(_) | Message::Permit(_) | Message::ServiceReport(_) => {}
        }
    }

    fn on_heartbeat(
        &mut self,
        now: Time,
        from: &Name,
        heartbeat: &Heartbeat,
        out: &mut Vec<SidecarOutput>,
    ) {
        if let Some(message) = self.config.on_peer_revision(now, from, heartbeat.revision) {
            out.push(SidecarOutput::Send { to: from.clone(), message });
        }
        let NodeState::Router { demand_sequence, draining } = heartbeat.state else { return };

        if let Some(router) = self.routers.get_mut(from) {
            router.draining = draining;
        }
        if self.demand.is_behind(from, demand_sequence) {
            self.ask_resync(from, out);
        }
    }

    fn ask_resync(&self, router: &Name, out: &mut Vec<SidecarOutput>) {
        let have = self.demand.sequence(router);
        let message = Message::DemandResync(DemandResync { have });
        out.push(SidecarOutput::Send { to: router.clone(), message });
    }

    fn on_demand_change(
        &mut self,
        now: Time,
        from: &Name,
        change: &DemandChange,
        out: &mut Vec<SidecarOutput>,
    ) {
        if change.resync {
            self.ask_resync(from, out);
        }
        for choice in &change.empty {
            self.fair.set_empty(choice);
        }
        for choice in &change.waiting {
            self.mark_waiting(now, choice);
        }
    }

    fn mark_waiting(&mut self, now: Time, choice: &Choice) {
        let config = self.config.config();
        let share = config.workspaces.get(&choice.workspace).map_or(1, |w| w.share);
        let weight = config.classes.get(&choice.class).map_or(1, |class| class.weight);

        self.fair.set_waiting(now, choice, share, weight);
    }

    fn on_permit_return(
        &mut self,
        now: Time,
        from: &Name,
        returned: &PermitReturn,
        out: &mut Vec<SidecarOutput>,
    ) {
        let Some(permit) = self.permits.take(returned.id) else { return };

        self.fair.charge(now, &permit.choice, -(permit.charged as i64));
        let change = self.demand.on_remaining(from, &permit.choice, returned.remaining);
        self.on_demand_change(now, from, &change, out);
    }

    fn on_account_update(&mut self, update: &AccountUpdate) {
        for entry in &update.entries {
            self.fair.on_account(entry);
        }
    }

    fn on_config_delta(
        &mut self,
        now: Time,
        from: &Name,
        delta: &ConfigDelta,
        out: &mut Vec<SidecarOutput>,
    ) {
        self.config.on_pull_answered();
        match self.config.accept_delta(delta) {
            Ok(true) => self.on_config_in_force(now, out),
            Ok(false) => {}
            Err(_) => {
                out.push(SidecarOutput::Event(Event::ConfigRejected { from: from.clone() }));
            }
        }
    }

    fn on_config_in_force(&mut self, now: Time, out: &mut Vec<SidecarOutput>) {
        let revision = self.config.revision();
        out.push(SidecarOutput::Event(Event::ConfigInForce { revision }));

        if let Some((cold_slots, slots)) = self.entry().map(|u| (u.cold_slots, u.slots)) {
            self.limiter.set_bounds(cold_slots, slots);
        }
        let is_open = self.is_serving();
        let was_open = std::mem::replace(&mut self.is_open, is_open);
        if self.is_open && !was_open {
            self.limiter.on_reopened();
        }
        let waiting: Vec<Choice> = self.demand.choices().collect();
        for choice in &waiting {
            self.mark_waiting(now, choice);
        }
        self.send_heartbeats(now, out);
    }

    fn on_start(&mut self, now: Time, start: &Start, out: &mut Vec<SidecarOutput>) {
        let id = start.attempt;
        let permit = self.permits.take(start.permit);
        let Some(permit) = permit.filter(|_| self.attempts.may_start(id)) else {
            let refusal = Refusal::later(RefusalCode::NoUpstream, REFUSED_RETRY);
            out.push(SidecarOutput::Refuse { attempt: id, refusal });
            return;
        };

        let estimate = self.ratios.estimate(&permit.choice, start.cost);
        let correction = estimate as i64 - permit.charged as i64;
        self.fair.charge(now, &permit.choice, correction);
        let round = self.limiter.round();
        let attempt = Attempt::new(permit.choice, start.cost, estimate, start.call.clone(), round);
        self.attempts.insert(id, attempt);

        match &start.call {
            Call::Once { key, fingerprint } => {
                self.ledger.begin(now, start.wall_s, id, key, fingerprint);
            }
            Call::Idempotent | Call::Single => self.call(now, id, out),
        }
    }

    fn call(&mut self, now: Time, id: AttemptId, out: &mut Vec<SidecarOutput>) {
        let round = self.limiter.round();
        if let Some(attempt) = self.attempts.get_mut(id) {
            attempt.stage = Stage::Called { since: now };
            attempt.round = round;
            out.push(SidecarOutput::Call { attempt: id });
        }
    }

    fn on_ask(&mut self, now: Time, attempt: AttemptId, permit: u64, out: &mut Vec<SidecarOutput>) {
        // Permits count from the incarnation, so a lower one was issued before a restart.
        let fate = if permit < self.incarnation {
            AttemptFate::Unknown
        } else {
            self.attempts.settle_fate(now, attempt)
        };

        out.push(SidecarOutput::Asked { attempt, fate });
    }

    fn on_cancel(&mut self, now: Time, id: AttemptId, out: &mut Vec<SidecarOutput>) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            self.attempts.settle_fate(now, id);
            return;
        };
        // The outcome of a call that may not be repeated is worth more than its slot.
        if attempt.call != Call::Idempotent {
            return;
        }

        out.push(SidecarOutput::Abort { attempt: id });
        if let Some(attempt) = self.attempts.remove(now, id) {
            self.settle(now, &attempt, attempt.tokens);
        }
    }

    fn on_upstream(
        &mut self,
        now: Time,
        id: AttemptId,
        event: UpstreamEvent,
        out: &mut Vec<SidecarOutput>,
    ) {
        match event {
            UpstreamEvent::Tokens(count) => self.on_tokens(now, id, count, out),
            UpstreamEvent::Finished { cost, answer } => {
                self.on_finished(now, id, cost, answer, out);
            }
            UpstreamEvent::Failed(failure) => self.on_failed(now, id, failure, out),
        }
    }

    fn on_tokens(&mut self, now: Time, id: AttemptId, count: u32, out: &mut Vec<SidecarOutput>) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        let is_first = attempt.on_tokens(now, count);
        let overrun = attempt.tokens.saturating_sub(attempt.charged);
        attempt.charged += overrun;

        let choice = attempt.choice.clone();
        let after = attempt.first_token_after().filter(|_| is_first);
        let round = attempt.round;
        if let Some(after) = after {
            self.limiter.on_first_token(now, round, after);
        }
        if overrun > 0 {
            self.fair.charge(now, &choice, overrun as i64);
        }
        if let (Some(after), Some(queue)) = (after, self.queue_key(&choice)) {
            out.push(SidecarOutput::Event(Event::FirstToken { queue, after }));
        }
    }

    fn on_finished(
        &mut self,
        now: Time,
        id: AttemptId,
        cost: Option<u64>,
        answer: Option<RecordedAnswer>,
        out: &mut Vec<SidecarOutput>,
    ) {
        let saturated = self.free(now) == 0;
        let Some(attempt) = self.attempts.remove(now, id) else { return };

        let is_counted = attempt.tokens > 0;
        let cost = cost.or(is_counted.then_some(attempt.tokens)).unwrap_or(attempt.hint);
        self.settle(now, &attempt, cost);
        self.ratios.learn(&attempt.choice, attempt.hint, cost);
        self.limiter.on_finished(now, attempt.round, attempt.sample(), saturated);
        self.ledger
            .finish(id, answer.map_or(LedgerState::FinishedUnrecorded, LedgerState::Finished));

        if let Some(queue) = self.queue_key(&attempt.choice) {
            let token_gap = attempt.sample().token_gap;
            out.push(SidecarOutput::Event(Event::Served { queue, cost, token_gap }));
        }
    }

    fn on_failed(
        &mut self,
        now: Time,
        id: AttemptId,
        failure: UpstreamFailure,
        out: &mut Vec<SidecarOutput>,
    ) {
        let Some(attempt) = self.attempts.remove(now, id) else { return };

        self.limiter.on_failed(now, attempt.round);
        self.settle(now, &attempt, attempt.tokens);
        let refusal = match failure {
            UpstreamFailure::NotSent => {
                self.ledger.abandon(id);
                Refusal::later(RefusalCode::NoUpstream, REFUSED_RETRY)
            }
            // A model engine that refuses has not run; of a plain service nobody knows.
            UpstreamFailure::Overloaded if attempt.call == Call::Idempotent => {
                Refusal::later(RefusalCode::NoUpstream, REFUSED_RETRY)
            }
            UpstreamFailure::Overloaded | UpstreamFailure::Broken => {
                self.ledger.finish(id, LedgerState::Unknown);
                Refusal::unknown(RefusalCode::UpstreamFailed)
            }
        };
        out.push(SidecarOutput::Refuse { attempt: id, refusal });
    }

    fn on_verdicts(&mut self, now: Time, verdicts: Vec<OnceVerdict>, out: &mut Vec<SidecarOutput>) {
        for OnceVerdict { attempt, verdict } in verdicts {
            match verdict {
                Verdict::Proceed => self.call(now, attempt, out),
                Verdict::Replay(answer) => {
                    self.drop_unsent(now, attempt);
                    out.push(SidecarOutput::Replay { attempt, answer });
                }
                Verdict::Refuse(refusal) => {
                    self.drop_unsent(now, attempt);
                    out.push(SidecarOutput::Refuse { attempt, refusal });
                }
            }
        }
    }

    fn drop_unsent(&mut self, now: Time, id: AttemptId) {
        if let Some(attempt) = self.attempts.remove(now, id) {
            self.settle(now, &attempt, 0);
        }
    }

    fn settle(&mut self, now: Time, attempt: &Attempt, cost: u64) {
        let correction = cost as i64 - attempt.charged as i64;
        self.fair.charge(now, &attempt.choice, correction);
    }

    fn issue_permits(&mut self, now: Time, out: &mut Vec<SidecarOutput>) {
        if !self.is_serving() {
            return;
        }

        for _ in 0..self.free(now) {
            let Some(choice) = self.fair.choose(|w, c| self.demand.has_work(w, c)) else { return };
            let Some(claim) = self.demand.claim(&choice) else { return };
            if !self.demand.has_work(&choice.workspace, &choice.class) {
                self.fair.set_empty(&choice);
            }

            let cost = self.ratios.estimate(&choice, claim.cost);
            self.fair.charge_request(now, &choice, cost as i64);
            let router = claim.router.clone();
            let id = self.permits.issue(now, claim.router, choice.clone(), cost);
            let message =
                Message::Permit(Permit { id, workspace: choice.workspace, class: choice.class });
            out.push(SidecarOutput::Send { to: router, message });
        }
    }

    fn release_permits(&mut self, now: Time, router: Option<&Name>) {
        for permit in self.permits.expire(now, router) {
            self.fair.charge(now, &permit.choice, -(permit.charged as i64));
        }
    }

    fn commit(&mut self, now: Time, out: &mut Vec<SidecarOutput>) {
        if let Some(batch) = self.ledger.next_batch(now) {
            out.push(SidecarOutput::Commit(batch));
        }
    }

    fn run_timers(&mut self, now: Time, out: &mut Vec<SidecarOutput>) {
        while let Some(key) = self.timers.pop_expired(now) {
            match key {
                TimerKey::Heartbeat => {
                    self.check_peers(now, out);
                    self.send_heartbeats(now, out);
                    self.timers.subscribe(key, now + self.policy.heartbeat_interval);
                }
                TimerKey::LateTokens => self.on_late_tokens(now),
                TimerKey::Ledger => {
                    let verdicts = self.ledger.on_time(now);
                    self.on_verdicts(now, verdicts, out);
                }
                TimerKey::LimitPause => {}
                TimerKey::Permits => self.release_permits(now, None),
                TimerKey::Prune => {
                    self.prune(now);
                    self.timers.subscribe(key, now + PRUNE_INTERVAL);
                }
                TimerKey::Report => {
                    self.send_reports(out);
                    self.timers.subscribe(key, now + self.policy.report_interval);
                }
            }
        }
    }

    fn on_late_tokens(&mut self, now: Time) {
        for id in self.attempts.late(now) {
            let Some(attempt) = self.attempts.get_mut(id) else { continue };

            attempt.is_late = true;
            let round = attempt.round;
            self.limiter.on_failed(now, round);
        }
    }

    fn prune(&mut self, now: Time) {
        self.fair.prune(now);
        self.attempts.prune(now);
        let workspaces = &self.config.config().workspaces;
        self.ratios.retain(|name| workspaces.contains_key(name));
    }

    fn send_reports(&mut self, out: &mut Vec<SidecarOutput>) {
        let Some(target) = self.entry().map(|upstream| upstream.target.clone()) else { return };
        let homes: Vec<Name> = self
            .routers
            .iter()
            .filter(|(_, router)| !router.draining)
            .map(|(name, _)| name.clone())
            .collect();
        let reports = self.fair.report(|workspace| home_name(&target, workspace, homes.iter()));

        let mut reports: Vec<_> = reports.into_iter().collect();
        reports.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        for (to, entries) in reports {
            self.report_sequence += 1;
            let report =
                ServiceReport { sequence: self.report_sequence, target: target.clone(), entries };
            out.push(SidecarOutput::Send { to, message: Message::ServiceReport(report) });
        }
    }

    /// Closes the links on which nothing was heard for long.
    fn check_peers(&mut self, now: Time, out: &mut Vec<SidecarOutput>) {
        let silent: Vec<Name> = self
            .routers
            .iter()
            .filter(|(_, router)| now.since(router.last_heard) >= PEER_TIMEOUT)
            .map(|(name, _)| name.clone())
            .collect();

        for peer in silent {
            self.on_link_down(now, &peer);
            out.push(SidecarOutput::Reconnect { peer });
        }
    }

    fn send_heartbeats(&self, now: Time, out: &mut Vec<SidecarOutput>) {
        for name in self.routers.keys() {
            let message = self.heartbeat(now);
            out.push(SidecarOutput::Send { to: name.clone(), message });
        }
    }

    /// Tells the routers at once that the sidecar takes work or not, or that the phase changed.
    fn tell_state_change(&mut self, now: Time, out: &mut Vec<SidecarOutput>) {
        let state = Some((self.is_serving(), self.limiter.phase()));
        if state == self.told {
            return;
        }

        if self.told.is_some_and(|(_, phase)| phase != self.limiter.phase()) {
            let phase = self.limiter.phase();
            out.push(SidecarOutput::Event(Event::PhaseChanged { phase }));
        }
        self.told = state;
        self.send_heartbeats(now, out);
    }

    fn heartbeat(&self, now: Time) -> Message {
        Message::Heartbeat(Heartbeat {
            incarnation: self.incarnation,
            revision: self.config.revision(),
            state: NodeState::Sidecar(SidecarState {
                upstream: self.upstream.clone(),
                phase: self.limiter.phase(),
                limit: self.limiter.limit(now),
                free: self.free(now),
                serving: self.is_serving(),
            }),
        })
    }

    fn subscribe_deadlines(&mut self, now: Time) {
        let deadlines = [
            (TimerKey::LateTokens, self.attempts.next_deadline()),
            (TimerKey::Ledger, self.ledger.next_deadline()),
            (TimerKey::LimitPause, self.limiter.paused_until(now)),
            (TimerKey::Permits, self.permits.next_deadline()),
        ];

        for (key, deadline) in deadlines {
            match deadline {
                Some(deadline) => self.timers.subscribe(key, deadline),
                None => self.timers.cancel(&key),
            }
        }
    }

    fn check_drained(&mut self, now: Time, out: &mut Vec<SidecarOutput>) {
        let is_empty = self.attempts.len() == 0 && self.permits.len() == 0 && self.ledger.is_idle();
        if !self.draining || self.drained || !is_empty {
            return;
        }

        self.drained = true;
        self.send_reports(out);
        self.send_heartbeats(now, out);
        out.push(SidecarOutput::Drained);
    }

    fn entry(&self) -> Option<&Upstream> {
        self.config.config().upstreams.get(&self.upstream)
    }

    fn queue_key(&self, choice: &Choice) -> Option<QueueKey> {
        let target: Target = self.entry()?.target.clone();
        let (workspace, class) = (choice.workspace.clone(), choice.class.clone());

        Some(QueueKey { target, workspace, class })
    }

    fn is_serving(&self) -> bool {
        let takes_work = self.entry().is_some_and(|upstream| self.config().takes_work(upstream));

        !self.draining && takes_work
    }

    fn free(&self, now: Time) -> u32 {
        let used = self.attempts.len() + self.permits.len();

        self.limiter.limit(now).saturating_sub(used as u32)
    }
}
