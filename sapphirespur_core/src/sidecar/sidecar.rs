//! State machine of a sidecar: links, permits, attempts and timers.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::at_most_once::AtMostOnceLedger;
use crate::config::{Config, Target, Upstream};
use crate::config_sync::ConfigSync;
use crate::fair_scheduler::{ClassQueue, FairScheduler};
use crate::limiter::{Limiter, Phase};
use crate::name::Name;
use crate::request::QueueKey;
use crate::sidecar::attempts::Attempts;
use crate::sidecar::cost_ratios::CostRatios;
use crate::sidecar::demand_table::DemandTable;
use crate::sidecar::permits::Permits;
use crate::sidecar::{SidecarInput, SidecarOutput, SidecarPolicy, SidecarSelfStatus};
use crate::time::Time;
use crate::timers::Timers;

/// Time between two removals of outdated state.
const PRUNE_INTERVAL: Duration = Duration::from_secs(10);

/// Key of a sidecar's timer: what is due when it fires.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum TimerKey {
    /// Check of the links and next heartbeats.
    Heartbeat,
    /// Next first token becomes overdue.
    FirstToken,
    /// Next ledger batch or intent timeout is due.
    Ledger,
    /// Pause of the limiter ends.
    LimitPause,
    /// Next permit expires.
    Permits,
    /// Next removal of outdated state.
    Prune,
    /// Next service reports.
    Report,
}

/// Router with a control link to this sidecar.
#[derive(Clone, Debug)]
pub(super) struct LinkedRouter {
    /// Time of the last message from it.
    pub(super) last_received: Time,
    /// Whether it is shutting down, as its heartbeats report.
    pub(super) draining: bool,
}

/// State machine of a sidecar: `handle` processes an input and appends the outputs.
#[derive(Clone, Debug)]
pub struct Sidecar {
    pub(super) upstream: Name,
    pub(super) incarnation: u64,
    pub(super) policy: SidecarPolicy,
    pub(super) config: ConfigSync,
    pub(super) routers: BTreeMap<Name, LinkedRouter>,
    pub(super) demand: DemandTable,
    pub(super) scheduler: FairScheduler,
    pub(super) limiter: Limiter,
    pub(super) permits: Permits,
    pub(super) attempts: Attempts,
    pub(super) ledger: AtMostOnceLedger,
    pub(super) cost_ratios: CostRatios,
    pub(super) timers: Timers<TimerKey>,
    pub(super) report_sequence: u64,
    /// Serving state and phase in the last heartbeats that announced a change.
    pub(super) last_advertised: Option<(bool, Phase)>,
    /// Whether the sidecar was serving when the configuration last changed.
    pub(super) is_open: bool,
    /// Whether the process is shutting down.
    pub(super) draining: bool,
    /// Whether `SidecarOutput::Drained` has been sent.
    pub(super) drained: bool,
}

impl Sidecar {
    /// Creates a sidecar without a configuration, whose upstream may be cold.
    ///
    /// `incarnation` must increase with each restart of the sidecar.
    pub fn new(now: Time, upstream: Name, incarnation: u64, policy: SidecarPolicy) -> Self {
        let mut timers = Timers::new();
        timers.schedule(TimerKey::Heartbeat, now + policy.heartbeat_interval);
        timers.schedule(TimerKey::Prune, now + PRUNE_INTERVAL);
        timers.schedule(TimerKey::Report, now + policy.report_interval);

        Self {
            upstream,
            incarnation,
            policy,
            config: ConfigSync::default(),
            routers: BTreeMap::new(),
            demand: DemandTable::default(),
            scheduler: FairScheduler::new(incarnation),
            limiter: Limiter::new(1, 1, policy.has_load_reports),
            permits: Permits::new(incarnation),
            attempts: Attempts::default(),
            ledger: AtMostOnceLedger::default(),
            cost_ratios: CostRatios::default(),
            timers,
            report_sequence: 0,
            last_advertised: None,
            is_open: false,
            draining: false,
            drained: false,
        }
    }

    /// Processes an input at `now` and appends the resulting outputs to `out`.
    pub fn handle(&mut self, now: Time, input: SidecarInput, out: &mut Vec<SidecarOutput>) {
        match input {
            SidecarInput::Tick => {}
            SidecarInput::LinkUp { peer } => self.on_link_up(now, &peer, out),
            SidecarInput::LinkDown { peer } => self.on_link_down(now, &peer),
            SidecarInput::Message { from, message } => self.on_message(now, &from, message, out),
            SidecarInput::Start(start) => self.on_start(now, &start, out),
            SidecarInput::QueryAttempt { attempt, permit } => {
                self.on_query(now, attempt, permit, out)
            }
            SidecarInput::Cancel { attempt } => self.on_cancel(now, attempt, out),
            SidecarInput::Upstream { attempt, event } => {
                self.on_upstream(now, attempt, event, out);
            }
            SidecarInput::Ledger { batch, result } => {
                let decisions = self.ledger.on_batch_result(now, batch, result);
                self.on_decisions(now, decisions, out);
            }
            SidecarInput::Load { cold } => self.limiter.on_report(now, cold),
            SidecarInput::Drain => self.draining = true,
        }

        self.run_timers(now, out);
        self.issue_permits(now, out);
        self.send_ledger_batch(now, out);
        self.advertise_state_change(now, out);
        self.schedule_deadlines(now);
        self.check_drained(now, out);
    }

    /// Returns the time at which `SidecarInput::Tick` is due.
    pub fn next_deadline(&self) -> Option<Time> {
        self.timers.next_deadline()
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Config {
        self.config.config()
    }

    /// Returns the fleet-wide virtual time of a workspace, or `None` while it is not tracked here.
    pub fn virtual_time(&self, workspace: &Name) -> Option<i64> {
        self.scheduler.fleet_virtual_time(workspace)
    }

    /// Returns the status for operators.
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

    pub(super) fn run_timers(&mut self, now: Time, out: &mut Vec<SidecarOutput>) {
        while let Some(key) = self.timers.pop_expired(now) {
            match key {
                TimerKey::Heartbeat => {
                    self.close_unresponsive_links(now, out);
                    self.send_heartbeats(now, out);
                    self.timers.schedule(key, now + self.policy.heartbeat_interval);
                }
                TimerKey::FirstToken => self.on_first_token_timeout(now),
                TimerKey::Ledger => {
                    let decisions = self.ledger.on_timeout(now);
                    self.on_decisions(now, decisions, out);
                }
                TimerKey::LimitPause => {}
                TimerKey::Permits => self.release_permits(now, None),
                TimerKey::Prune => {
                    self.prune(now);
                    self.timers.schedule(key, now + PRUNE_INTERVAL);
                }
                TimerKey::Report => {
                    self.send_reports(out);
                    self.timers.schedule(key, now + self.policy.report_interval);
                }
            }
        }
    }

    pub(super) fn prune(&mut self, now: Time) {
        self.scheduler.prune(now);
        self.attempts.prune(now);
        let workspaces = &self.config.config().workspaces;
        self.cost_ratios.retain(|name| workspaces.contains_key(name));
    }

    pub(super) fn schedule_deadlines(&mut self, now: Time) {
        let deadlines = [
            (TimerKey::FirstToken, self.attempts.next_deadline()),
            (TimerKey::Ledger, self.ledger.next_deadline()),
            (TimerKey::LimitPause, self.limiter.paused_until(now)),
            (TimerKey::Permits, self.permits.next_deadline()),
        ];

        for (key, deadline) in deadlines {
            match deadline {
                Some(deadline) => self.timers.schedule(key, deadline),
                None => self.timers.cancel(&key),
            }
        }
    }

    pub(super) fn check_drained(&mut self, now: Time, out: &mut Vec<SidecarOutput>) {
        let is_empty = self.attempts.len() == 0 && self.permits.len() == 0 && self.ledger.is_idle();
        if !self.draining || self.drained || !is_empty {
            return;
        }

        self.drained = true;
        self.send_reports(out);
        self.send_heartbeats(now, out);
        out.push(SidecarOutput::Drained);
    }

    pub(super) fn upstream_config(&self) -> Option<&Upstream> {
        self.config.config().upstreams.get(&self.upstream)
    }

    pub(super) fn queue_key(&self, queue: &ClassQueue) -> Option<QueueKey> {
        let target: Target = self.upstream_config()?.target.clone();
        let (workspace, class) = (queue.workspace.clone(), queue.class.clone());

        Some(QueueKey { target, workspace, class })
    }

    pub(super) fn is_serving(&self) -> bool {
        let accepts_work =
            self.upstream_config().is_some_and(|upstream| self.config().accepts_work(upstream));

        !self.draining && accepts_work
    }

    pub(super) fn free_slots(&self, now: Time) -> u32 {
        let used = self.attempts.len() + self.permits.len();

        self.limiter.limit(now).saturating_sub(used as u32)
    }
}
