//! State machine of a router, without I/O.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::account::AccountTable;
use crate::collections::HashMap;
use crate::config::{Config, Target};
use crate::config_sync::ConfigSync;
use crate::event::Event;
use crate::limiter::Phase;
use crate::name::Name;
use crate::request::{Refusal, RequestId};
use crate::router::demand_controller::DemandController;
use crate::router::request_controller::RequestController;
use crate::router::{RouterInput, RouterOutput, RouterPolicy, RouterStatus, SidecarStatus};
use crate::time::Time;
use crate::timers::Timers;
use crate::vm::Vm;

/// Interval between checks for expired requests and targets without a serving sidecar.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between full comparisons of the demand with the demand advertised to the sidecars.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between removals of idle accounts and empty queues.
const PRUNE_INTERVAL: Duration = Duration::from_secs(10);

/// Periodic and delayed tasks of a router.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum TimerKey {
    Heartbeat,
    Prune,
    Refresh,
    Sweep,
    IncreaseFanout,
}

/// State machine of a router: `handle` processes an input and appends the resulting outputs.
#[derive(Clone, Debug)]
pub struct Router {
    pub(super) name: Name,
    pub(super) data_centre: Name,
    pub(super) incarnation: u64,
    pub(super) policy: RouterPolicy,
    pub(super) config: ConfigSync,
    pub(super) requests: RequestController,
    pub(super) demand: DemandController,
    /// Service accounts that this router is the home of.
    pub(super) accounts: AccountTable,
    /// VMs as last listed by the platform.
    pub(super) members: Vec<Vm>,
    /// Control address of each process that this router opens a link to.
    pub(super) links: BTreeMap<Name, Name>,
    /// Time of the last message from each linked router.
    pub(super) linked_routers: HashMap<Name, Time>,
    /// Time since which each target with waiting requests has had no serving sidecar.
    pub(super) unserved_since: HashMap<Target, Time>,
    pub(super) timers: Timers<TimerKey>,
    /// Counter of the next attempt's identifier.
    pub(super) next_attempt: u64,
    /// Whether this router watches the platform's configuration.
    pub(super) watching: bool,
    /// Whether the fanout timer is running.
    pub(super) fanout_timer_active: bool,
    pub(super) draining: bool,
    /// Whether the end of the drain was reported.
    pub(super) drained: bool,
}

impl Router {
    /// Creates a router without a configuration.
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
        timers.schedule(TimerKey::Heartbeat, now + policy.heartbeat_interval);
        timers.schedule(TimerKey::Prune, now + PRUNE_INTERVAL);
        timers.schedule(TimerKey::Refresh, now + REFRESH_INTERVAL);
        timers.schedule(TimerKey::Sweep, now + SWEEP_INTERVAL);

        Self {
            name,
            data_centre: data_centre.clone(),
            incarnation,
            policy,
            config: ConfigSync::default(),
            requests: RequestController::new(policy),
            demand: DemandController::new(data_centre),
            accounts: AccountTable::default(),
            members: Vec::new(),
            links: BTreeMap::new(),
            linked_routers: HashMap::default(),
            unserved_since: HashMap::default(),
            timers,
            next_attempt: 0,
            watching: false,
            fanout_timer_active: false,
            draining: false,
            drained: false,
        }
    }

    /// Processes an input at `now` and appends the resulting outputs to `out`.
    pub fn handle(&mut self, now: Time, input: RouterInput, out: &mut Vec<RouterOutput>) {
        match input {
            RouterInput::Tick => {}
            RouterInput::ConfigUpdated(config) => self.on_config_updated(config, out),
            RouterInput::MembersUpdated(members) => self.on_members_updated(members, out),
            RouterInput::LinkUp { peer } => self.on_link_up(now, &peer, out),
            RouterInput::LinkDown { peer } => self.on_link_down(&peer),
            RouterInput::Message { from, message } => self.on_message(now, &from, message, out),
            RouterInput::Request { id, head } => self.on_request(now, id, &head, out),
            RouterInput::Cancelled { id } => self.on_cancelled(id),
            RouterInput::Attempt { id, attempt, event } => {
                self.on_attempt_event(now, id, attempt, event, out);
            }
            RouterInput::Drain => self.on_drain(out),
        }

        self.run_timers(now, out);
        self.flush_demand(now, false, out);
        self.check_drained(out);
    }

    /// Returns the time at which the next `Tick` is due, or `None` without a pending timer.
    pub fn next_deadline(&self) -> Option<Time> {
        self.timers.next_deadline()
    }

    /// Returns whether the router accepts requests: it has a configuration and is not draining.
    pub fn is_ready(&self) -> bool {
        !self.draining && self.config.revision() > 0
    }

    /// Returns whether the bearer key with this digest belongs to a workspace.
    pub fn has_key(&self, digest: &str) -> bool {
        self.config.keys().contains_key(digest)
    }

    /// Returns the configuration in force; its revision is zero before the first one.
    pub fn config(&self) -> &Config {
        self.config.config()
    }

    /// Returns the number of service accounts that this router holds.
    pub fn account_count(&self) -> usize {
        self.accounts.len()
    }

    /// Returns the status for operators.
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
            free: view.free_slots(),
            revision: view.revision,
        });
        let waiting = self.requests.waiting_count();

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

    /// Starts draining and announces it to the peers.
    pub(super) fn on_drain(&mut self, out: &mut Vec<RouterOutput>) {
        if !self.draining {
            self.draining = true;
            self.send_heartbeats(out);
        }
    }

    /// Runs all expired timers and restarts the periodic ones.
    pub(super) fn run_timers(&mut self, now: Time, out: &mut Vec<RouterOutput>) {
        while let Some(key) = self.timers.pop_expired(now) {
            match key {
                TimerKey::Heartbeat => {
                    self.check_peers(now, out);
                    self.send_heartbeats(out);
                    self.update_watching(out);
                    self.timers.schedule(key, now + self.policy.heartbeat_interval);
                }
                TimerKey::Prune => {
                    self.accounts.prune(now);
                    self.requests.prune();
                    self.timers.schedule(key, now + PRUNE_INTERVAL);
                }
                TimerKey::Refresh => {
                    self.flush_demand(now, true, out);
                    self.timers.schedule(key, now + REFRESH_INTERVAL);
                }
                TimerKey::Sweep => {
                    self.sweep(now, out);
                    self.timers.schedule(key, now + SWEEP_INTERVAL);
                }
                TimerKey::IncreaseFanout => self.increase_fanout(now),
            }
        }
    }

    /// Reports once that the drain is complete, when no request is left.
    pub(super) fn check_drained(&mut self, out: &mut Vec<RouterOutput>) {
        if self.draining && !self.drained && self.requests.len() == 0 {
            self.drained = true;
            out.push(RouterOutput::Drained);
        }
    }
}

/// Emits the refusal of a request and its event.
pub(super) fn refuse(id: RequestId, refusal: Refusal, out: &mut Vec<RouterOutput>) {
    out.push(RouterOutput::Event(Event::Refused { request: id, code: refusal.code }));
    out.push(RouterOutput::Refuse { id, refusal });
}
