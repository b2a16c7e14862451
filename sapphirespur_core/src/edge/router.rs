//! State machine of an edge router.

use std::net::SocketAddr;
use std::time::Duration;

use crate::collections::HashMap;
use crate::edge::candidate::{Candidate, PlacementEstimate, ScoringContext, ShareStatus};
use crate::edge::cold_limit::ColdLimit;
use crate::edge::prefix_sources::PrefixSources;
use crate::edge::{
    Admission, Backoff, CallInfo, Contact, Decline, DeclineReason, Exchange, InFlightRequest,
    OutgoingMessage, OutputLengths, PeerMessage, PeerReport, Peers, Placement, PrefilledSegments,
    Pressures, Prompt, PromptSegment, RegistryState, RetryBudget, RouterSettings, SendOutcome,
    Shares, Upstream, UsageKey,
};
use crate::hash::stable_hash;
use crate::name::Name;
use crate::time::Time;

/// Places requests on upstreams and keeps the state that placement needs: the registry state, the
/// reports of other routers, share usage, retry budgets and pressure.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    registry: RegistryState,
    exchange: Exchange,
    shares: Shares,
    retry_budgets: HashMap<Name, RetryBudget>,
    pressures: Pressures,
    output_lengths: OutputLengths,
    /// Shared segments sent since the last report, by upstream key.
    prefilled: HashMap<u32, Vec<PromptSegment>>,
    sequence: u64,
    is_registry_fresh: bool,
    backoff: Backoff,
    last_tick: Time,
    /// When the settle time after the start is over.
    settled_at: Time,
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
        let shares = Shares::new(settings.share_window);

        Self {
            settings,
            registry: RegistryState::default(),
            exchange: Exchange::default(),
            shares,
            retry_budgets: HashMap::default(),
            pressures: Pressures::default(),
            output_lengths: OutputLengths::default(),
            prefilled: HashMap::default(),
            sequence: 0,
            is_registry_fresh: false,
            backoff: Backoff::default(),
            last_tick: Time::default(),
            settled_at: Time::default(),
        }
    }

    /// Sets the start of the process. Until the settle time is over, this router sends nothing to
    /// cold upstreams, because it may not have received the reports of the other routers yet.
    pub fn start(&mut self, now: Time) {
        self.settled_at = now + Self::SETTLE_TIME;
    }

    /// Replaces the settings; name, data centre and start time stay.
    pub fn update_settings(&mut self, settings: &RouterSettings) {
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

    /// Sets whether the registry answered recently, which reports tell the other routers.
    pub fn set_registry_fresh(&mut self, is_fresh: bool) {
        self.is_registry_fresh = is_fresh;
    }

    /// Returns the reports of the other routers.
    pub fn peers(&self) -> &Peers {
        self.exchange.peers()
    }

    /// Returns the exchange of reports.
    pub fn exchange(&self) -> &Exchange {
        &self.exchange
    }

    /// Sets the address of this router for the exchange of reports, and the first routers to
    /// contact.
    pub fn start_exchange(&mut self, address: SocketAddr, seeds: Vec<SocketAddr>) {
        let data_centre = Shares::name_hash(&self.settings.data_centre);
        self.exchange.start(Contact { router: self.name_hash(), address, data_centre }, seeds);
    }

    /// Returns the messages to the other routers that are due.
    pub fn exchange_messages(&mut self, now: Time) -> Vec<OutgoingMessage> {
        let report = self.report(now);
        self.exchange.tick(now, report)
    }

    /// Applies a message of another router and returns the answer, if there is one.
    pub fn on_peer_message(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: PeerMessage,
    ) -> Option<OutgoingMessage> {
        let (report, answer) = self.exchange.on_message(now, from, message);
        if let Some(report) = report {
            self.record_prefills(now, &report);
        }
        answer
    }

    /// Applies the report of another router. Returns whether it was newer than the previous one.
    pub fn apply_report(&mut self, now: Time, report: PeerReport) -> bool {
        let Some(report) = self.exchange.peers_mut().insert(now, report).cloned() else {
            return false;
        };
        self.record_prefills(now, &report);
        true
    }

    /// Records the prompt tokens that other routers have sent to upstreams.
    fn record_prefills(&mut self, now: Time, report: &PeerReport) {
        for load in report.upstreams.iter().filter(|load| load.unshared_tokens > 0) {
            self.registry.record_unshared_prefill(now, load.upstream, load.unshared_tokens);
        }
        for prefilled in &report.reads {
            self.registry.record_prefill(now, prefilled);
        }
    }

    /// Creates the next report to the other routers and resets what has been reported.
    pub fn report(&mut self, now: Time) -> PeerReport {
        self.sequence += 1;
        let upstreams = self.registry.upstreams_mut().iter_mut().filter_map(Upstream::report);
        let upstreams = upstreams.collect();
        let reads = self.prefilled.drain();
        let reads = reads.map(|(upstream, parts)| PrefilledSegments { upstream, parts }).collect();

        PeerReport {
            router: self.name_hash(),
            started_ms: self.settings.started_ms,
            sequence: self.sequence,
            routers: 1,
            version: self.registry.version(),
            version_router: self.name_hash(),
            is_registry_fresh: self.is_registry_fresh,
            config_version: self.registry.table().map_or(0, |table| table.version),
            config_router: self.name_hash(),
            upstreams,
            workspaces: self.shares.usage(now),
            pressures: self.pressures.reports(now),
            reads,
        }
    }

    /// Runs periodic work: removes upstreams that are gone, decays failure rates and adapts the
    /// over-share factors.
    pub fn tick(&mut self, now: Time) {
        let elapsed = now.since(self.last_tick);
        self.last_tick = now;

        self.registry.tick(now);
        for upstream in self.registry.upstreams_mut().iter_mut() {
            upstream.load.decay(elapsed.min(Self::MAX_DECAY_STEP));
        }
        self.pressures.adapt(now, elapsed.min(Self::MAX_DECAY_STEP), self.exchange.peers());
    }

    /// Places a call that has just arrived, or declines it.
    pub fn admit(&mut self, now: Time, call: &CallInfo) -> Admission {
        let limits = self.settings.retries;
        self.retry_budgets.entry(call.service.clone()).or_default().record_request(now, limits);

        self.exchange.peers_mut().expire(now);
        let charge = self.charge_for(&call.route, call.workspace.as_ref(), call.prompt.as_ref());
        let share_usage = charge.map_or(0.0, |(key, tokens, capacity)| {
            self.shares.share_usage(now, key, tokens, capacity, self.exchange.peers().usage())
        });
        let decision = self.choose_upstream(now, call, &[], share_usage);
        if let Some((key, tokens, _)) = charge {
            self.shares.charge(now, key, tokens, decision.is_ok());
        }
        decision
    }

    /// Places a call again after its earlier sends got no usable response, or declines it.
    ///
    /// `reached_upstream` is whether one of these sends reached an upstream; only then does this
    /// one count as a retry.
    pub fn admit_retry(
        &mut self,
        now: Time,
        call: &CallInfo,
        tried: &[Name],
        reached_upstream: bool,
    ) -> Admission {
        self.exchange.peers_mut().expire(now);
        let limits = self.settings.retries;
        let routers = self.assumed_routers(now);
        let budget = self.retry_budgets.entry(call.service.clone()).or_default();
        if reached_upstream && !budget.try_spend(now, limits, routers) {
            return Err(self.backoff.decline(call, DeclineReason::RetryBudget, None));
        }

        let admission = self.choose_upstream(now, call, tried, 0.0);
        if reached_upstream
            && admission.is_err()
            && let Some(budget) = self.retry_budgets.get_mut(&call.service)
        {
            budget.refund();
        }
        admission
    }

    /// Returns the retries that this router has left, by service.
    pub fn retries_left(&mut self, now: Time) -> Vec<(Name, usize)> {
        let limits = self.settings.retries;
        let routers = self.assumed_routers(now);
        self.retry_budgets
            .iter_mut()
            .map(|(service, budget)| (service.clone(), budget.remaining(now, limits, routers)))
            .collect()
    }

    /// Treats all upstreams as cold and discards reported work, after the process was paused.
    pub fn on_process_pause(&mut self, now: Time) {
        for upstream in self.registry.upstreams_mut().iter_mut() {
            upstream.mark_unverified(now);
        }
        self.exchange.peers_mut().clear_reports();
    }

    /// Records that the registry has answered a call that started after the last pause: the
    /// upstreams are as their entries say.
    pub fn on_registry_current(&mut self) {
        for upstream in self.registry.upstreams_mut().iter_mut() {
            upstream.unverified_until = Time::default();
        }
    }

    /// Records that an upstream has sent `count` complete events of a stream.
    pub fn on_events(&mut self, now: Time, request: &mut InFlightRequest, count: u32) {
        let gap = now.since(request.last_event_at);
        let is_first = request.events == 0;
        request.events += count;
        request.last_event_at = now;
        if let Some(upstream) = self.find_upstream(request) {
            if is_first {
                upstream.load.on_received();
            } else {
                upstream.load.on_events(count, gap);
            }
        }
    }

    /// Records the first event of a response.
    pub fn on_first_event(&mut self, now: Time, request: &mut InFlightRequest) {
        if request.first_event_at.is_some() {
            return;
        }
        request.first_event_at = Some(now);
        let delay = now.since(request.placed_at);
        let expected_speed = self.registry.expected_prefill_speed(&request.service);
        if let Some(upstream) = self.find_upstream(request) {
            upstream.load.on_first_event(
                request.prefill_tokens,
                request.queued_tokens,
                delay,
                expected_speed,
            );
        }
    }

    /// Records that the instance which responded to a request is leaving; it gets no further
    /// requests, whatever the registry says. Returns whether this was not known before.
    pub fn on_leaving(&mut self, request: &InFlightRequest) -> bool {
        self.find_upstream(request)
            .is_some_and(|upstream| !std::mem::replace(&mut upstream.is_leaving, true))
    }

    /// Records that the instance which responded to a request wants no requests from this router
    /// for a while.
    pub fn on_pause_requested(&mut self, now: Time, request: &InFlightRequest, pause: Duration) {
        if let Some(upstream) = self.find_upstream(request) {
            upstream.pause(now, pause);
        }
    }

    /// Records the end of a request.
    pub fn finish(&mut self, now: Time, request: &InFlightRequest, outcome: SendOutcome) {
        let engine = self.registry.service_spec(&request.service).and_then(|spec| spec.engine);
        if outcome == SendOutcome::Answered
            && let Some(engine) = engine
        {
            let tokens = f64::from(request.events * engine.tokens_per_event);
            self.output_lengths.record(&request.route, tokens);
        }
        let Some(upstream) = self.find_upstream(request) else { return };
        upstream.on_end(now, request, outcome);
    }

    /// Returns the upstream of a request, unless it has been replaced by a new process instance.
    fn find_upstream(&mut self, request: &InFlightRequest) -> Option<&mut Upstream> {
        self.registry
            .upstreams_mut()
            .get_mut(request.upstream.as_str())
            .filter(|upstream| upstream.entry.started_ms == request.started_ms)
    }

    /// Records a request that was refused before it was placed: its workspace has asked for its
    /// tokens, which lowers what the others may use beyond their shares.
    pub fn record_refused(
        &mut self,
        now: Time,
        route: &Name,
        workspace: Option<&Name>,
        prompt: Option<&Prompt>,
    ) {
        if let Some((key, tokens, _)) = self.charge_for(route, workspace, prompt) {
            self.shares.charge(now, key, tokens, false);
        }
    }

    /// Returns the usage key, tokens and fleet capacity in tokens per second of a call that counts
    /// towards a share; none when no capacity is configured or the call has no workspace or prompt.
    fn charge_for(
        &self,
        route: &Name,
        workspace: Option<&Name>,
        prompt: Option<&Prompt>,
    ) -> Option<(UsageKey, u64, u64)> {
        let capacity = self.registry.table()?.tokens_per_s?;
        let key =
            UsageKey { workspace: Shares::name_hash(workspace?), route: Shares::name_hash(route) };

        Some((key, self.output_lengths.charged_tokens(route, prompt?), capacity))
    }

    /// Returns the hash of the router's name, which identifies it in reports.
    fn name_hash(&self) -> u64 {
        stable_hash(&[self.settings.name.as_str().as_bytes()])
    }

    /// Returns the number of routers among which fleet-wide limits are divided: this one, its
    /// peers, and one that may not have been discovered yet.
    fn assumed_routers(&self, now: Time) -> usize {
        self.peers().count(now) + 2
    }

    /// Places the request on the upstream with the lowest score among those without a reason to
    /// decline it.
    fn choose_upstream(
        &mut self,
        now: Time,
        call: &CallInfo,
        tried: &[Name],
        share_usage: f64,
    ) -> Admission {
        let spec = self.registry.service_spec(&call.service).copied();
        let cold_limit = ColdLimit {
            settings: &self.settings,
            peers: self.exchange.peers(),
            own_hash: self.name_hash(),
            routers: self.assumed_routers(now),
            is_settled: self.settled_at <= now,
        };
        let upstreams = self.registry.upstreams_mut();
        let saturated = cold_limit.saturated(now, &call.service, spec.as_ref(), upstreams);
        let engine = spec.and_then(|spec| spec.engine);
        let upstreams = self.registry.upstreams();
        let routes = self.registry.routes(&call.service);
        let prefix_owner = self.registry.prefix_owner(call);
        let sources = PrefixSources::new(
            now,
            call.prompt.as_ref(),
            &call.service,
            upstreams,
            prefix_owner.filter(|key| self.peers().load(now, *key).in_flight > 0),
            engine,
        );
        let cx = ScoringContext {
            now,
            call,
            peers: self.exchange.peers(),
            data_centre: &self.settings.data_centre,
            sources: &sources,
            spec: spec.as_ref(),
            prefix_owner,
            expected_events: self.output_lengths.expected_events(call, spec.as_ref()),
            max_event_interval_ms: self.output_lengths.max_event_interval_ms(routes, spec.as_ref()),
            mean_prefill_speed: self.registry.mean_prefill_speed(&call.service),
        };
        let is_allowed = |upstream: &&Upstream| {
            !saturated.contains(&upstream.key) && !tried.contains(&upstream.entry.id)
        };
        let candidates =
            cx.ranked_candidates(upstreams.available(now, &call.service).filter(is_allowed));
        let Some(best) = candidates.first() else {
            let is_any_available =
                self.registry.upstreams().available(now, &call.service).next().is_some();
            if is_any_available {
                return Err(self.backoff.decline(call, DeclineReason::Cold, None));
            }
            return Err(match self.registry.upstreams().shortest_pause(now, &call.service) {
                Some(pause) => self.backoff.decline_for_pause(call, pause),
                None => self.backoff.decline(call, DeclineReason::NoUpstream, None),
            });
        };
        let own_pressure = Candidate::mean_pressure(call.target, &candidates);
        let mean_target = routes.map_or(call.target, |routes| routes.mean_target);
        let mean_pressure = Candidate::mean_pressure(mean_target, &candidates);
        let pressure = own_pressure
            * self.pressures.record(now, &call.service, mean_pressure, self.exchange.peers());
        let status = ShareStatus {
            share_usage,
            over_share_factor: self.pressures.over_share_factor(&call.service),
            min_prefill_tokens: candidates
                .iter()
                .map(|c| c.estimate.prefill_tokens)
                .min()
                .unwrap_or_default(),
            pressure,
        };
        // Falls back to lower-ranked candidates: prefilling the prompt elsewhere is better than
        // declining the request.
        let chosen =
            candidates.iter().find(|candidate| candidate.decline_reason(call, status).is_none());
        let Some(chosen) = chosen else {
            let expected_delay = Some(best.estimate.expected_delay);
            let reason = best.decline_reason(call, status);
            let reason = reason.unwrap_or(DeclineReason::Overloaded);
            if reason == DeclineReason::OverShare {
                self.pressures.record_decline(now, &call.service);
            }
            let decline = self.backoff.decline(call, reason, expected_delay);
            let over_share_factor = status.over_share_factor;
            return Err(Decline { share_usage, pressure, over_share_factor, ..decline });
        };
        let (id, estimate) = (chosen.upstream.entry.id.clone(), chosen.estimate);
        self.commit(now, call, id, estimate)
    }

    /// Records the request at the chosen upstream.
    fn commit(
        &mut self,
        now: Time,
        call: &CallInfo,
        id: Name,
        estimate: PlacementEstimate,
    ) -> Admission {
        let PlacementEstimate { expected_delay, fetch_from, prefill_tokens, queued_tokens } =
            estimate;
        let engine = self.registry.service_spec(&call.service).and_then(|spec| spec.engine);
        let capacity = engine.map_or(0, |engine| engine.cache_tokens);
        let Some(upstream) = self.registry.upstreams_mut().get_mut(id.as_str()) else {
            return Err(self.backoff.decline(call, DeclineReason::NoUpstream, None));
        };
        upstream.load.on_sent(now, prefill_tokens);
        upstream.send_limiter.record(now);
        if let Some(prompt) = &call.prompt {
            upstream.cache.insert(now + expected_delay, &prompt.segments, capacity);
            let unshared = &mut upstream.load.unshared_tokens;
            *unshared = unshared.saturating_add(prompt.unshared_tokens());
            let shared = prompt.shared_segments();
            if !shared.is_empty() {
                self.prefilled.entry(upstream.key).or_default().extend_from_slice(shared);
            }
        }
        Ok(Placement {
            request: InFlightRequest {
                upstream: id.clone(),
                started_ms: upstream.entry.started_ms,
                route: call.route.clone(),
                service: call.service.clone(),
                prefill_tokens,
                queued_tokens,
                placed_at: now,
                first_event_at: None,
                events: 0,
                last_event_at: now,
            },
            address: upstream.entry.address,
            instance: id,
            fetch_from,
            expected_delay,
        })
    }
}
