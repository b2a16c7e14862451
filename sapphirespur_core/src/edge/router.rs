//! State machine of an edge router.

mod placement;
mod reports;
mod responses;
mod rollouts;
mod streams;

use std::time::Duration;

use crate::collections::HashMap;
use crate::edge::load::Draw;
use crate::edge::placement::{Choice, RecentChoices, Selection};
use crate::edge::{
    Backoff, BatchEffect, Exchange, Pressures, PromptSegment, Quarantine, RegistryState,
    RetryBudget, RetryPortion, RetryStatus, Rollouts, RouterSettings, Shares, StreamOrigins,
    WorkEstimator,
};
use crate::hash::stable_hash;
use crate::name::Name;
use crate::time::Time;

/// Places requests on upstreams and keeps the state that placement needs: the registry state, the
/// reports of other routers, share usage, retry budgets and pressure.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    /// Hash of this router's name.
    name_hash: u64,
    registry: RegistryState,
    exchange: Exchange,
    shares: Shares,
    retry_budgets: HashMap<Name, RetryBudget>,
    pressures: Pressures,
    recent_choices: RecentChoices,
    selection: Selection,
    choice: Choice,
    quarantine: Quarantine,
    work: WorkEstimator,
    streams: StreamOrigins,
    rollouts: Rollouts,
    /// Shared segments sent since the last report, by upstream key.
    prefilled: HashMap<u32, Vec<PromptSegment>>,
    sequence: u64,
    is_registry_fresh: bool,
    backoff: Backoff,
    /// Draws of upstreams of plain services.
    draw: Draw,
    last_tick: Time,
    /// When the settle time after the start is over.
    settled_at: Time,
    /// When retries of an earlier process on this VM have left the window of the retry limits.
    retries_settled_at: Time,
}

impl Router {
    /// Time after the start in which reports of other routers arrive, and in which requests that an
    /// earlier process on this VM sent to cold upstreams leave the window of the cold limit.
    const SETTLE_TIME: Duration = Duration::from_millis(1_200);

    /// Longest elapsed time that a single tick applies to failure rates and over-share factors, for
    /// example after a pause.
    const MAX_DECAY_STEP: Duration = Duration::from_millis(1_000);

    /// Creates a router without a configuration, upstreams or peers.
    pub fn new(settings: RouterSettings) -> Self {
        let name_hash = stable_hash(&[settings.name.as_str().as_bytes()]);
        let shares = Shares::new(settings.share_window, name_hash);

        let rollouts = Rollouts::new(settings.rollouts);

        Self {
            settings,
            name_hash,
            registry: RegistryState::default(),
            exchange: Exchange::default(),
            shares,
            retry_budgets: HashMap::default(),
            pressures: Pressures::default(),
            recent_choices: RecentChoices::default(),
            selection: Selection::default(),
            choice: Choice::default(),
            quarantine: Quarantine::default(),
            work: WorkEstimator::default(),
            streams: StreamOrigins::default(),
            rollouts,
            prefilled: HashMap::default(),
            sequence: 0,
            is_registry_fresh: false,
            backoff: Backoff::default(),
            draw: Draw::new(name_hash),
            last_tick: Time::default(),
            settled_at: Time::default(),
            retries_settled_at: Time::default(),
        }
    }

    /// Sets the start of the process. Until the settle time is over, this router sends nothing to
    /// cold upstreams, because it may not have received the reports of the other routers yet. For the
    /// window of the retry limits, it has a small part of its retries, because an earlier process on
    /// this VM may have spent some.
    pub fn start(&mut self, now: Time) {
        self.settled_at = now + Self::SETTLE_TIME;
        self.retries_settled_at = now + self.settings.retries.window;
    }

    /// Returns what this process may spend of the retry budgets.
    fn retry_portion(&self, now: Time) -> RetryPortion {
        let is_established = now >= self.retries_settled_at;
        RetryPortion::new(is_established, self.exchange.known_routers(now))
    }

    /// Replaces the settings; name, data centre and start time stay.
    pub fn update_settings(&mut self, settings: &RouterSettings) {
        self.rollouts.update_settings(settings.rollouts);
        self.settings = RouterSettings {
            name: self.settings.name.clone(),
            data_centre: self.settings.data_centre.clone(),
            started_ms: self.settings.started_ms,
            ..settings.clone()
        };
    }

    /// Returns the configuration, upstreams and data centres as last received from the registry.
    pub fn registry(&self) -> &RegistryState {
        &self.registry
    }

    /// Returns the registry state for modification.
    pub fn registry_mut(&mut self) -> &mut RegistryState {
        &mut self.registry
    }

    /// Runs periodic work: removes upstreams that are gone, decays failure rates and adapts the
    /// over-share factors.
    pub fn tick(&mut self, now: Time) {
        let elapsed = now.since(self.last_tick);
        self.last_tick = now;

        self.registry.tick(now);
        self.observe_rollouts(now);
        self.quarantine.expire(now);
        for upstream in self.registry.upstreams_mut().iter_mut() {
            upstream.load.decay(elapsed.min(Self::MAX_DECAY_STEP));
        }
        if self.settings.uses_work_estimates {
            self.learn_batch_effects(now);
        }
        self.pressures.adapt(now, elapsed.min(Self::MAX_DECAY_STEP), self.exchange.peers());
        let capacity = self.registry.table().and_then(|table| table.tokens_per_s);
        if let Some(capacity) = capacity {
            self.shares.observe(now, capacity, self.exchange.peers().usage());
        }
    }

    /// Learns how one more request slows the others at an upstream, from the times between events.
    fn learn_batch_effects(&mut self, now: Time) {
        let (work, peers) = (&mut self.work, self.exchange.peers());
        work.batches.values_mut().for_each(BatchEffect::decay);
        for upstream in self.registry.upstreams_mut().iter_mut() {
            let interval_ms = upstream.load.event_interval_ms;
            if upstream.load.in_flight == 0 || interval_ms == 0.0 {
                continue;
            }
            let requests = upstream.load.in_flight + peers.load(now, upstream.key).in_flight;
            let service = &upstream.entry.service;
            let Some(effect) = work.batches.get_mut(service) else {
                work.batches.insert(service.clone(), BatchEffect::default());
                continue;
            };
            effect.record(&mut upstream.batch, f64::from(requests), interval_ms);
        }
    }

    /// Returns what this router has learned of the cost of requests.
    pub fn work(&self) -> &WorkEstimator {
        &self.work
    }

    /// Returns the requests and prompt segments under which upstreams were lost.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Returns these for modification.
    pub fn quarantine_mut(&mut self) -> &mut Quarantine {
        &mut self.quarantine
    }

    /// Resets the counts of retries that were spent and refused.
    pub fn reset_retry_counts(&mut self) {
        self.retry_budgets.values_mut().for_each(RetryBudget::reset_counts);
    }

    /// Returns the state of the retry budgets.
    pub fn retry_statuses(&mut self, now: Time) -> Vec<RetryStatus> {
        let limits = self.settings.retries;
        let portion = self.retry_portion(now);
        let peers = self.exchange.peers();
        let status = |(service, budget): (&Name, &mut RetryBudget)| {
            let others = peers.demand(now, Shares::name_hash(service));
            let (spent, refused) = budget.counts();
            RetryStatus {
                service: service.clone(),
                requests: budget.requests(now, limits),
                retries: budget.retries(now, limits),
                others_requests: others.requests,
                others_retries: others.retries,
                counted_retries: budget.others_retries() as u32,
                portion,
                left: budget.remaining(now, limits, portion),
                spent,
                refused,
            }
        };
        self.retry_budgets.iter_mut().map(status).collect()
    }

    /// Treats all upstreams as cold and discards reported work, after the process was paused.
    pub fn on_process_pause(&mut self, now: Time) {
        for upstream in self.registry.upstreams_mut().iter_mut() {
            upstream.mark_unverified(now);
        }
        self.exchange.peers_mut().clear_reports();
        self.streams.bases.doubt_all();
    }

    /// Records that the registry has answered a call that started after the last pause: the
    /// upstreams are as their entries say.
    pub fn on_registry_current(&mut self) {
        for upstream in self.registry.upstreams_mut().iter_mut() {
            upstream.unverified_until = Time::default();
        }
    }
}
