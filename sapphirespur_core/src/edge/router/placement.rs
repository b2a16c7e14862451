//! Placement of requests on upstreams.

use std::time::Duration;

use crate::edge::placement::{
    Candidate, Choice, ColdLimit, Filter, FleetShare, PlacementEstimate, PlacementRequest,
    PrefixSources, RecentChoice, ScoringContext, Selection, ShareStatus, WorkContext,
};
use crate::edge::quarantine::QuarantineVerdict;
use crate::edge::{
    Admission, BatchEffect, CallInfo, Decline, DeclineReason, EngineSpec, InFlightRequest, Judged,
    LengthOutlook, Placement, Prompt, QuarantineKey, RequestWork, RolloutMark, Router, SendOutcome,
    Shares, UsageKey, VersionChoice, WorkEstimate,
};
use crate::name::Name;
use crate::time::Time;

impl Router {
    /// Places a call that has just arrived, or declines it.
    pub fn admit(&mut self, now: Time, call: &CallInfo) -> Admission {
        let limits = self.settings.retries;
        self.retry_budgets.entry(call.service.clone()).or_default().record_request(now, limits);

        self.exchange.peers_mut().expire(now);
        let trial = self.check_quarantine(now, call)?;
        let outlook = self.work.outlook(call);
        let charge = call.prompt.as_ref().and_then(|prompt| {
            self.charge_for(&call.route, call.workspace.as_ref(), prompt, &outlook)
        });
        let share_usage = charge.map_or(0.0, |(key, tokens, capacity)| {
            let (usage, lag) = (self.exchange.peers().usage(), self.exchange.report_lag());
            self.shares.recent_share_usage(now, key, tokens, capacity, usage, lag)
        });
        let request = PlacementRequest {
            call,
            tried: &[],
            share_usage,
            trial,
            outlook,
            versions: &VersionChoice::Any,
        };
        let decision = self.place_by_version(now, request);
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
        let trial = self.check_quarantine(now, call)?;
        if reached_upstream && !self.try_spend_retry(now, &call.service) {
            return Err(self.backoff.decline(call, DeclineReason::RetryBudget, None));
        }

        let outlook = self.work.outlook(call);
        let request = PlacementRequest {
            call,
            tried,
            share_usage: 0.0,
            trial,
            outlook,
            versions: &VersionChoice::Any,
        };
        let admission = self.place_by_version(now, request);
        if reached_upstream
            && admission.is_err()
            && let Some(budget) = self.retry_budgets.get_mut(&call.service)
        {
            budget.refund();
        }
        admission
    }

    /// Takes back a retry that was admitted and not sent.
    pub fn withdraw_retry(&mut self, now: Time, request: &InFlightRequest) {
        self.finish(now, request, SendOutcome::Withdrawn);
        if let Some(budget) = self.retry_budgets.get_mut(&request.service) {
            budget.refund();
        }
    }

    /// Spends a retry for a service. Returns whether this process's portion and the fleet as a whole
    /// allow it.
    fn try_spend_retry(&mut self, now: Time, service: &Name) -> bool {
        let limits = self.settings.retries;
        let portion = self.retry_portion(now);
        let routers = self.assumed_routers(now);
        let others = self.exchange.peers().demand(now, Shares::name_hash(service));
        let lag = self.exchange.report_lag();
        let budget = self.retry_budgets.entry(service.clone()).or_default();

        let is_spent = budget.fits_fleet(now, limits, routers, others, lag)
            && budget.try_spend(now, limits, portion);
        if !is_spent {
            budget.record_refused();
        }
        is_spent
    }

    /// Returns what the call would try, if something of it is quarantined; declines the call when it
    /// must not be sent.
    fn check_quarantine(
        &mut self,
        now: Time,
        call: &CallInfo,
    ) -> Result<Option<QuarantineKey>, Decline> {
        let (members, own) = (self.exchange.peers().members(), self.name_hash());
        let rank = |id: u64| members.rank(now, own, id as u32);
        match self.quarantine.check(now, call.quarantine_keys(), rank) {
            QuarantineVerdict::Admitted => Ok(None),
            QuarantineVerdict::Trial(key) => Ok(Some(key)),
            QuarantineVerdict::Refused(retry_after) => {
                Err(self.backoff.decline_quarantined(call, retry_after))
            }
        }
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
        let Some(prompt) = prompt else { return };
        let outlook = self.work.prompt_outlook(route, workspace, prompt);
        if let Some((key, tokens, _)) = self.charge_for(route, workspace, prompt, &outlook) {
            self.shares.charge(now, key, tokens, false);
        }
    }

    /// Returns the usage key, tokens and fleet capacity in tokens per second of a call that counts
    /// towards a share; none when no capacity is configured or the call has no workspace.
    fn charge_for(
        &self,
        route: &Name,
        workspace: Option<&Name>,
        prompt: &Prompt,
        outlook: &LengthOutlook,
    ) -> Option<(UsageKey, u64, u64)> {
        let capacity = self.registry.table()?.tokens_per_s?;
        let key =
            UsageKey { workspace: Shares::name_hash(workspace?), route: Shares::name_hash(route) };

        let tokens = if self.settings.uses_work_estimates {
            WorkEstimate::total_cost(prompt, outlook.mean()) as u64
        } else {
            self.work.lengths.charged_tokens(route, prompt)
        };
        Some((key, tokens, capacity))
    }

    /// Returns the number of routers among which fleet-wide limits are divided: this one, its
    /// peers, and one that may not have been discovered yet.
    pub(super) fn assumed_routers(&self, now: Time) -> usize {
        self.peers().assumed_routers(now)
    }

    /// Places a request on the upstream with the lowest score among those without a reason to decline
    /// it. A request that tries something that is quarantined goes to the one with the fewest requests,
    /// which it may cut.
    pub(super) fn choose_upstream(
        &mut self,
        now: Time,
        request: PlacementRequest<'_>,
    ) -> Admission {
        if let Some(decline) = self.refuse_over_share(now, request) {
            return Err(decline);
        }
        let mut selection = std::mem::take(&mut self.selection);
        let mut choice = std::mem::take(&mut self.choice);
        self.select(now, request, &mut selection);
        self.score(now, request, &selection, &mut choice);
        let drawn = self.draw_plain(now, request, &mut choice);
        let admission = match (drawn, choice.best()) {
            (Err(decline), _) => Err(decline),
            (Ok(()), Some(best)) => self.place(now, request, &choice, best),
            (Ok(()), None) => Err(self.decline_unselected(now, request, &selection)),
        };
        self.selection = selection;
        self.choice = choice;
        admission
    }

    /// Refuses a request of a workspace above its share if the pressure at the last choice was too high
    /// for it at any upstream.
    fn refuse_over_share(&mut self, now: Time, request: PlacementRequest<'_>) -> Option<Decline> {
        let (call, share_usage) = (request.call, request.share_usage);
        let is_ordinary = request.is_unrestricted() && request.trial.is_none() && !call.goes_on;
        if share_usage <= 1.0 || !is_ordinary {
            return None;
        }
        let recent = self.recent_choices.get(now, &call.service, call.target)?;
        let correction = self.pressures.correction(now, &call.service, self.exchange.peers());
        let status = ShareStatus {
            share_usage,
            over_share_factor: self.pressures.over_share_factor(&call.service),
            pressure: recent.own_pressure * correction,
        };
        if !recent.rules_out_all(correction, status.max_pressure(false)) {
            return None;
        }
        let reason = DeclineReason::OverShare;
        Some(self.decline_busy(now, call, reason, status, recent.expected_delay))
    }

    /// Selects the upstreams that may get a request.
    fn select(&mut self, now: Time, request: PlacementRequest<'_>, selection: &mut Selection) {
        let service = &request.call.service;
        let limits = self.settings.retries;
        let budget = self.retry_budgets.get_mut(service);
        let own_requests = budget.map_or(0, |budget| budget.requests(now, limits));
        let spec = self.registry.service_spec(service).copied();
        let cold_limit = ColdLimit {
            settings: &self.settings,
            spec: spec.as_ref(),
            share: FleetShare::new(&self.exchange, self.name_hash, own_requests),
            is_settled: self.settled_at <= now && self.exchange.knows_fleet(),
        };
        let filter = Filter { now, request, cold_limit };
        selection.fill(&filter, self.registry.upstreams_mut());
    }

    /// Scores the selected upstreams.
    fn score(
        &mut self,
        now: Time,
        request: PlacementRequest<'_>,
        selection: &Selection,
        choice: &mut Choice,
    ) {
        let call = request.call;
        let prefix_owner = self.registry.prefix_owner(call);
        let (registry, peers) = (&self.registry, self.exchange.peers());
        let spec = registry.service_spec(&call.service);
        let routes = registry.routes(&call.service);
        let sources = PrefixSources::new(
            now,
            call.prompt.as_ref(),
            selection,
            registry.upstreams(),
            prefix_owner.filter(|key| peers.load(now, *key).in_flight > 0),
            spec.and_then(|spec| spec.engine),
        );
        let measured_speed = selection.mean_prefill_speed();
        let cx = ScoringContext {
            now,
            call,
            peers,
            data_centre: &self.settings.data_centre,
            sources,
            spec,
            prefix_owner,
            expected_events: self.work.lengths.expected_events(call, spec),
            work: self.work_context(request),
            max_event_interval_ms: self.work.lengths.max_event_interval_ms(routes, spec),
            mean_prefill_speed: measured_speed
                .unwrap_or_else(|| registry.expected_prefill_speed(&call.service)),
            service_load: registry.upstreams().service_load(&call.service),
        };
        choice.fill(&cx, selection, registry.upstreams(), request.trial.is_some());
    }

    /// Returns the expected work of a request, if placement counts it.
    fn work_context(&self, request: PlacementRequest<'_>) -> Option<WorkContext> {
        let call = request.call;
        if !self.settings.uses_work_estimates || call.prompt.is_none() {
            return None;
        }
        let engine = self.registry.service_spec(&call.service)?.engine?;
        let routes = self.registry.routes(&call.service);
        let batch = self.work.batches.get(&call.service);
        let batch_ms = batch.map_or(0.0, BatchEffect::ms_per_request);
        Some(WorkContext::new(call, &request.outlook, engine, routes, batch_ms))
    }

    /// Draws the upstream of a plain service that gets a request, if they report their load.
    ///
    /// # Errors
    ///
    /// Declines the request when all are known to be full.
    fn draw_plain(
        &mut self,
        now: Time,
        request: PlacementRequest<'_>,
        choice: &mut Choice,
    ) -> Result<(), Decline> {
        let call = request.call;
        if request.trial.is_some() || !self.registry.is_plain(&call.service) {
            return Ok(());
        }
        let upstreams = self.registry.upstreams();
        let service_load = upstreams.service_load(&call.service);
        let drawn = choice.draw_plain(now, upstreams, &service_load, &mut self.draw);
        let decline = |wait| self.backoff.decline(call, DeclineReason::Full, Some(wait));
        drawn.map_err(decline)
    }

    /// Places a request on the best candidate that accepts it; `best` is the best one of all.
    fn place(
        &mut self,
        now: Time,
        request: PlacementRequest<'_>,
        choice: &Choice,
        best: &Candidate,
    ) -> Admission {
        let call = request.call;
        let status = self.share_status(now, request, choice, best);
        let Some(chosen) = choice.best_accepting(call, status) else {
            let reason = best.decline_reason(call, status, choice.min_prefill_tokens());
            let reason = reason.unwrap_or(DeclineReason::Overloaded);
            let delay = best.estimate.expected_delay();
            return Err(self.decline_busy(now, call, reason, status, delay));
        };
        if let Some(key) = request.trial {
            self.quarantine.on_tried(now, key);
        }
        Ok(self.commit(now, call, chosen, &request.outlook))
    }

    /// Measures the pressure on the candidates, and records it.
    fn share_status(
        &mut self,
        now: Time,
        request: PlacementRequest<'_>,
        choice: &Choice,
        best: &Candidate,
    ) -> ShareStatus {
        let (call, candidates) = (request.call, choice.candidates());
        let own_pressure = Candidate::mean_pressure(call.target, candidates);
        let routes = self.registry.routes(&call.service);
        let mean_target = routes.map_or(call.target, |routes| routes.mean_target);
        let mean_pressure = Candidate::mean_pressure(mean_target, candidates);
        self.pressures.record(now, &call.service, mean_pressure);
        if request.is_unrestricted() {
            let recent = RecentChoice {
                at: now,
                target: call.target,
                own_pressure,
                expected_delay: best.estimate.expected_delay(),
                is_any_full: candidates.iter().any(|candidate| candidate.is_full),
            };
            self.recent_choices.record(&call.service, recent);
        }

        let correction = self.pressures.correction(now, &call.service, self.exchange.peers());
        ShareStatus {
            share_usage: request.share_usage,
            over_share_factor: self.pressures.over_share_factor(&call.service),
            pressure: own_pressure * correction,
        }
    }

    /// Declines a request that no upstream may get.
    fn decline_unselected(
        &mut self,
        now: Time,
        request: PlacementRequest<'_>,
        selection: &Selection,
    ) -> Decline {
        let call = request.call;
        let upstreams = self.registry.upstreams();
        if call.goes_on && !upstreams.may_serve_version(call) {
            return self.backoff.decline(call, DeclineReason::VersionGone, None);
        }
        let is_plain = self.registry.is_plain(&call.service);
        if let Some(wait) = upstreams.drain_time(now, call).filter(|_| is_plain) {
            return self.backoff.decline(call, DeclineReason::Full, Some(wait));
        }
        if let Some(wait) = selection.shortest_wait {
            return self.backoff.decline(call, DeclineReason::Limited, Some(wait));
        }
        let mut available = upstreams.available(now, &call.service);
        if available.any(|upstream| request.fits_version(upstream)) {
            return self.backoff.decline(call, DeclineReason::Cold, None);
        }
        match upstreams.shortest_pause(now, &call.service) {
            Some(pause) => self.backoff.decline_for_pause(call, pause),
            None => self.backoff.decline(call, DeclineReason::NoUpstream, None),
        }
    }

    /// Declines a request for which each upstream is too busy.
    fn decline_busy(
        &mut self,
        now: Time,
        call: &CallInfo,
        reason: DeclineReason,
        status: ShareStatus,
        expected_delay: Duration,
    ) -> Decline {
        if reason == DeclineReason::OverShare {
            self.pressures.record_decline(now, &call.service);
        }
        let ShareStatus { share_usage, over_share_factor, pressure } = status;
        let decline = self.backoff.decline(call, reason, Some(expected_delay));
        Decline { share_usage, over_share_factor, pressure, ..decline }
    }

    /// Records the request at the chosen upstream.
    fn commit(
        &mut self,
        now: Time,
        call: &CallInfo,
        chosen: &Candidate,
        outlook: &LengthOutlook,
    ) -> Placement {
        let estimate = &chosen.estimate;
        let expected_delay = estimate.expected_delay();
        let PlacementEstimate { fetch_from, prefill_tokens, queued_tokens, .. } = *estimate;
        let engine = self.registry.service_spec(&call.service).and_then(|spec| spec.engine);
        let capacity = engine.map_or(0, |engine| engine.cache_tokens);
        let service_load = self.registry.upstreams().service_load(&call.service);
        let upstream = self.registry.upstreams_mut().at_mut(chosen.position);
        let load = upstream.known.estimate(now, &service_load);
        let estimate = WorkEstimate::new(prefill_tokens, outlook);
        let new_work = |engine: EngineSpec| {
            RequestWork::new(call, *outlook, estimate, engine.tokens_per_event, expected_delay)
        };
        let work = engine.map(new_work);
        if let Some(work) = &work {
            upstream.work.on_sent(work);
        }
        upstream.known.on_sent(now);
        upstream.load.on_sent(now, prefill_tokens);
        upstream.send_limiter.record(now);
        if let Some(limit) = &mut upstream.limit {
            limit.spend();
        }
        if let Some(prompt) = &call.prompt {
            upstream.cache.insert(now + expected_delay, &prompt.segments, capacity);
            let unshared = &mut upstream.load.unshared_tokens;
            *unshared = unshared.saturating_add(prompt.unshared_tokens());
            let shared = prompt.shared_segments();
            if !shared.is_empty() {
                self.prefilled.entry(upstream.key).or_default().extend_from_slice(shared);
            }
        }
        let id = &upstream.entry.id;
        let (address, instance) = (upstream.entry.address, id.clone());
        let segments = call.prompt.as_ref().map(|prompt| prompt.shared_ids.clone());
        let mut request = InFlightRequest {
            upstream: id.clone(),
            started_ms: upstream.entry.started_ms,
            version: upstream.entry.version.clone(),
            route: call.route.clone(),
            service: call.service.clone(),
            segments: segments.unwrap_or_default(),
            identity: call.identity,
            prefill_tokens,
            queued_tokens,
            work,
            load,
            placed_at: now,
            is_framed: false,
            first_event_at: None,
            events: 0,
            last_event_at: now,
            rollout: RolloutMark::default(),
            judged: Judged::default(),
        };
        self.record_version(now, &mut request);
        Placement { request, address, instance, fetch_from, expected_delay }
    }
}
