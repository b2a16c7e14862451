//! Placement of requests on upstreams.

use std::time::Duration;

use crate::collections::HashMap;
use crate::edge::candidate::{Candidate, PlacementEstimate, ScoringContext, ShareStatus};
use crate::edge::cold_limit::ColdLimit;
use crate::edge::fleet_share::FleetShare;
use crate::edge::prefix_sources::PrefixSources;
use crate::edge::quarantine::QuarantineVerdict;
use crate::edge::{
    Admission, CallInfo, Decline, DeclineReason, InFlightRequest, Judged, Placement, Prompt,
    QuarantineKey, RolloutMark, Router, Shares, Upstream, Upstreams, UsageKey, VersionChoice,
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
        let charge = self.charge_for(&call.route, call.workspace.as_ref(), call.prompt.as_ref());
        let share_usage = charge.map_or(0.0, |(key, tokens, capacity)| {
            let (usage, lag) = (self.exchange.peers().usage(), self.exchange.report_lag());
            self.shares.share_usage(now, key, tokens, capacity, usage, lag)
        });
        let decision = self.place_by_version(now, call, &[], share_usage, trial);
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

        let admission = self.place_by_version(now, call, tried, 0.0, trial);
        if reached_upstream
            && admission.is_err()
            && let Some(budget) = self.retry_budgets.get_mut(&call.service)
        {
            budget.refund();
        }
        admission
    }

    /// Spends a retry for a service. Returns whether this router's portion of the limits and the fleet
    /// as a whole allow it.
    fn try_spend_retry(&mut self, now: Time, service: &Name) -> bool {
        let limits = self.retry_limits(now);
        let routers = self.assumed_routers(now);
        let others = self.exchange.peers().demand(now, Shares::name_hash(service));
        let lag = self.exchange.report_lag();
        let budget = self.retry_budgets.entry(service.clone()).or_default();

        budget.fits_fleet(now, limits, routers, others, lag)
            && budget.try_spend(now, limits, routers)
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

    /// Returns the number of routers among which fleet-wide limits are divided: this one, its
    /// peers, and one that may not have been discovered yet.
    pub(super) fn assumed_routers(&self, now: Time) -> usize {
        self.peers().count(now) + 2
    }

    /// Places the request on the upstream with the lowest score among those without a reason to
    /// decline it. A request that tries `trial`, which is quarantined, goes to the one with the
    /// fewest requests, which it may cut.
    pub(super) fn choose_upstream(
        &mut self,
        now: Time,
        call: &CallInfo,
        tried: &[Name],
        share_usage: f64,
        trial: Option<QuarantineKey>,
        versions: &VersionChoice,
    ) -> Admission {
        let spec = self.registry.service_spec(&call.service).copied();
        let share = FleetShare {
            peers: self.exchange.peers(),
            own_hash: self.name_hash(),
            routers: self.assumed_routers(now),
        };
        let cold_limit =
            ColdLimit { settings: &self.settings, share, is_settled: self.settled_at <= now };
        let limits = self.settings.retries;
        let requests = self
            .retry_budgets
            .get_mut(&call.service)
            .map_or(0, |budget| budget.requests(now, limits));
        let upstreams = self.registry.upstreams_mut();
        let mut saturated = cold_limit.saturated(now, &call.service, spec.as_ref(), upstreams);
        let limited = limited_upstreams(now, &call.service, share, requests, upstreams);
        saturated.extend(limited.keys());
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
            !saturated.contains(&upstream.key)
                && !tried.contains(&upstream.entry.id)
                && call.fits_version(&upstream.entry)
                && versions.allows(upstream)
        };
        let mut candidates =
            cx.ranked_candidates(upstreams.available(now, &call.service).filter(is_allowed));
        if trial.is_some() {
            candidates.sort_by_key(|candidate| candidate.in_flight);
        }
        let Some(best) = candidates.first() else {
            if call.goes_on && !self.registry.upstreams().may_serve_version(call) {
                return Err(self.backoff.decline(call, DeclineReason::VersionGone, None));
            }
            let is_any_available =
                self.registry.upstreams().available(now, &call.service).any(|upstream| {
                    call.fits_version(&upstream.entry) && versions.allows(upstream)
                });
            if let Some(wait) = limited.values().min() {
                return Err(self.backoff.decline(call, DeclineReason::Limited, Some(*wait)));
            }
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
        if let Some(key) = trial {
            self.quarantine.on_tried(now, key);
        }
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
        let version = upstream.entry.version.clone();
        let (address, started_ms) = (upstream.entry.address, upstream.entry.started_ms);
        let segments = call.prompt.as_ref().map(|prompt| prompt.shared_ids.clone());
        let mut request = InFlightRequest {
            upstream: id.clone(),
            started_ms,
            version,
            route: call.route.clone(),
            service: call.service.clone(),
            segments: segments.unwrap_or_default(),
            identity: call.identity,
            prefill_tokens,
            queued_tokens,
            placed_at: now,
            is_framed: false,
            first_event_at: None,
            events: 0,
            last_event_at: now,
            rollout: RolloutMark::default(),
            judged: Judged::default(),
        };
        self.record_version(now, &mut request);
        Ok(Placement { request, address, instance: id, fetch_from, expected_delay })
    }
}

/// Returns the upstreams of a service that have named a limit of which this router's part is used up,
/// with the time until it may send the next request.
fn limited_upstreams(
    now: Time,
    service: &Name,
    share: FleetShare<'_>,
    requests: usize,
    upstreams: &mut Upstreams,
) -> HashMap<u32, Duration> {
    let available = upstreams.available(now, service);
    let keys: Vec<u32> = available
        .filter(|upstream| upstream.limit.is_some())
        .map(|upstream| upstream.key)
        .collect();
    let part = share.part(now, Shares::name_hash(service), requests);
    let wait = |key: u32| {
        let limit = upstreams.get_by_key_mut(key)?.limit.as_mut()?;
        let wait = limit.wait(now, part, share.routers, || share.phase(now, key));
        (!wait.is_zero()).then_some((key, wait))
    };
    keys.into_iter().filter_map(wait).collect()
}
