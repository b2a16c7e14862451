//! Router that sends requests to upstreams itself.

use std::time::Duration;

use crate::collections::HashMap;
use crate::edge::candidate::{Candidate, Offer, Standing, Weighing};
use crate::edge::cold_bound::ColdBound;
use crate::edge::fetch::Sources;
use crate::edge::{
    Admission, CallInfo, Decline, DeclineReason, InFlightRequest, Outputs, Payer, PeerReport,
    Peers, Placement, PrefilledSegments, Pressures, PromptSegment, Refusals, RegistryState,
    RepeatBudget, RouterSettings, SendOutcome, Shares, Upstream,
};
use crate::hash::stable_hash;
use crate::name::Name;
use crate::time::Time;

/// Decisions of a router.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    registry: RegistryState,
    peers: Peers,
    shares: Shares,
    budgets: HashMap<Name, RepeatBudget>,
    pressures: Pressures,
    outputs: Outputs,
    reads: HashMap<u32, Vec<PromptSegment>>,
    sequence: u64,
    refusals: Refusals,
    last_tick: Time,
    settled_at: Time,
}

impl Router {
    /// Time after the start in which other routers make themselves known, and in which requests of
    /// an earlier process of this VM leave the window of the bound on cold upstreams.
    const SETTLE: Duration = Duration::from_millis(1_200);

    /// Longest time for which old failures lose weight at once.
    const MAX_DECAY: Duration = Duration::from_millis(1_000);

    /// Creates a router that knows nothing yet.
    pub fn new(settings: RouterSettings) -> Self {
        let shares = Shares::new(settings.share_window);

        Self {
            settings,
            registry: RegistryState::default(),
            peers: Peers::default(),
            shares,
            budgets: HashMap::default(),
            pressures: Pressures::default(),
            outputs: Outputs::default(),
            reads: HashMap::default(),
            sequence: 0,
            refusals: Refusals::default(),
            last_tick: Time::default(),
            settled_at: Time::default(),
        }
    }

    /// Notes that the process has just started: other routers make themselves known until it has
    /// settled, and what the fleet shares is left to them.
    pub fn start(&mut self, now: Time) {
        self.settled_at = now + Self::SETTLE;
    }

    /// Takes bounds that have changed; name and place stay.
    pub fn update_settings(&mut self, settings: &RouterSettings) {
        self.settings = RouterSettings {
            name: self.settings.name.clone(),
            data_centre: self.settings.data_centre.clone(),
            started_ms: self.settings.started_ms,
            ..settings.clone()
        };
    }

    /// Returns what is known of the platform's record.
    pub fn registry(&self) -> &RegistryState {
        &self.registry
    }

    /// Returns what is known of the platform's record, to change it.
    pub fn registry_mut(&mut self) -> &mut RegistryState {
        &mut self.registry
    }

    /// Returns the other routers.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Takes the report of another router, and tells whether it was news.
    pub fn apply_report(&mut self, now: Time, report: PeerReport) -> bool {
        let Some(report) = self.peers.take(now, report) else { return false };

        for load in report.upstreams.iter().filter(|load| load.unshared_tokens > 0) {
            self.registry.note_unshared(now, load.upstream, load.unshared_tokens);
        }
        for read in &report.reads {
            self.registry.note_read(now, read);
        }
        true
    }

    /// Returns the report for the other routers.
    pub fn report(&mut self, now: Time) -> PeerReport {
        self.sequence += 1;
        let upstreams = self.registry.upstreams_mut().iter_mut().filter_map(Upstream::report);
        let upstreams = upstreams.collect();
        let reads = self.reads.drain();
        let reads = reads.map(|(upstream, parts)| PrefilledSegments { upstream, parts }).collect();

        PeerReport {
            router: self.key(),
            started_ms: self.settings.started_ms,
            sequence: self.sequence,
            revision: self.registry.revision(),
            upstreams,
            workspaces: self.shares.uses(now),
            pressures: self.pressures.reports(now),
            reads,
        }
    }

    /// Does what falls due with time.
    pub fn tick(&mut self, now: Time) {
        let elapsed = now.since(self.last_tick);
        self.last_tick = now;

        self.registry.upstreams_mut().sweep(now);
        for upstream in self.registry.upstreams_mut().iter_mut() {
            upstream.load.decay(elapsed.min(Self::MAX_DECAY));
        }
        self.pressures.adapt(now, elapsed.min(Self::MAX_DECAY), &self.peers);
    }

    /// Decides about a request that has just arrived.
    pub fn admit(&mut self, now: Time, call: &CallInfo) -> Admission {
        let limits = self.settings.retries;
        self.budgets.entry(call.service.clone()).or_default().request(now, limits);

        self.peers.expire(now);
        let charge = self.charge_of(call);
        let part = charge.map_or(0.0, |(payer, tokens, capacity)| {
            self.shares.share_usage(now, payer, tokens, capacity, self.peers.uses())
        });
        let decision = self.choose(now, call, &[], part);
        if let Some((payer, tokens, _)) = charge {
            self.shares.charge(now, payer, tokens, decision.is_ok());
        }
        decision
    }

    /// Decides where a request goes whose earlier sends did not bring its answer.
    ///
    /// `has_arrived` tells that one of them reached an upstream, so that this one is a repeat.
    pub fn admit_retry(
        &mut self,
        now: Time,
        call: &CallInfo,
        tried: &[Name],
        has_arrived: bool,
    ) -> Admission {
        self.peers.expire(now);
        let limits = self.settings.retries;
        let routers = self.assumed_routers(now);
        let budget = self.budgets.entry(call.service.clone()).or_default();
        if has_arrived && !budget.spend(now, limits, routers) {
            return Err(self.refusals.decline(call, DeclineReason::RepeatBudget, None));
        }

        let admission = self.choose(now, call, tried, 0.0);
        if has_arrived
            && admission.is_err()
            && let Some(budget) = self.budgets.get_mut(&call.service)
        {
            budget.refund();
        }
        admission
    }

    /// Returns the repeats that this router has left, by service.
    pub fn retries_left(&mut self, now: Time) -> Vec<(Name, usize)> {
        let limits = self.settings.retries;
        let routers = self.assumed_routers(now);
        self.budgets
            .iter_mut()
            .map(|(service, budget)| (service.clone(), budget.left(now, limits, routers)))
            .collect()
    }

    /// Treats all upstreams as cold for a while, after a time in which the process was paused.
    pub fn on_process_pause(&mut self, now: Time) {
        for upstream in self.registry.upstreams_mut().iter_mut() {
            upstream.suspect(now);
        }
        self.peers.forget_reports();
    }

    /// Notes that an upstream has sent whole events of a stream.
    pub fn on_events(&mut self, now: Time, request: &mut InFlightRequest, count: u32) {
        let gap = now.since(request.last_event);
        let is_first = request.events == 0;
        request.events += count;
        request.last_event = now;
        if let Some(upstream) = self.holder(request) {
            if is_first {
                upstream.load.heard();
            } else {
                upstream.load.on_events(count, gap);
            }
        }
    }

    /// Notes the first event of an answer.
    pub fn on_first_event(&mut self, now: Time, request: &mut InFlightRequest) {
        if request.first_event.is_some() {
            return;
        }
        request.first_event = Some(now);
        let after = now.since(request.placed);
        let expected = self.registry.expected_speed(&request.service);
        if let Some(upstream) = self.holder(request) {
            upstream.load.on_first_event(request.tokens, request.ahead, after, expected);
        }
    }

    /// Notes the end of a request.
    pub fn finish(&mut self, now: Time, request: &InFlightRequest, outcome: SendOutcome) {
        let engine = self.registry.spec(&request.service).and_then(|spec| spec.engine);
        if outcome == SendOutcome::Answered
            && let Some(engine) = engine
        {
            let tokens = f64::from(request.events * engine.tokens_per_event);
            self.outputs.learn(&request.route, tokens);
        }
        let Some(upstream) = self.holder(request) else { return };
        upstream.ended(now, request, outcome);
    }

    /// Returns the upstream of a ticket, unless it has started anew since.
    fn holder(&mut self, request: &InFlightRequest) -> Option<&mut Upstream> {
        self.registry
            .upstreams_mut()
            .get_mut(request.upstream.as_str())
            .filter(|upstream| upstream.entry.started_ms == request.started_ms)
    }

    /// Returns payer, tokens and capacity of a call that counts towards a share.
    fn charge_of(&self, call: &CallInfo) -> Option<(Payer, u64, u64)> {
        let capacity = self.registry.table()?.tokens_per_s?;
        let payer = Payer {
            workspace: Shares::key(call.workspace.as_ref()?),
            route: Shares::key(&call.route),
        };

        let prompt = call.prompt.as_ref()?;
        Some((payer, self.outputs.charge(&call.route, prompt), capacity))
    }

    /// Returns the key of the router in reports.
    fn key(&self) -> u64 {
        stable_hash(&[self.settings.name.as_str().as_bytes()])
    }

    /// Returns the parts into which the fleet divides what it shares; one of them is left for a
    /// router that is not known yet.
    fn assumed_routers(&self, now: Time) -> usize {
        self.peers.count(now) + 2
    }

    /// Chooses the best upstream to which there is no objection, and takes the place.
    fn choose(
        &mut self,
        now: Time,
        call: &CallInfo,
        tried: &[Name],
        share_usage: f64,
    ) -> Admission {
        let spec = self.registry.spec(&call.service).copied();
        let bound = ColdBound {
            settings: &self.settings,
            peers: &self.peers,
            own: self.key(),
            parts: self.assumed_routers(now),
            is_settled: self.settled_at <= now,
        };
        let upstreams = self.registry.upstreams_mut();
        let paced_out = bound.paced_out(now, &call.service, spec.as_ref(), upstreams);
        let engine = spec.and_then(|spec| spec.engine);
        let upstreams = self.registry.upstreams();
        let routes = self.registry.routes(&call.service);
        let sources = Sources::new(now, call.prompt.as_ref(), &call.service, upstreams, engine);
        let cx = Weighing {
            now,
            call,
            peers: &self.peers,
            data_centre: &self.settings.data_centre,
            sources: &sources,
            spec: spec.as_ref(),
            home: self.registry.home(call),
            events: self.outputs.events(call, spec.as_ref()),
            needed_event_ms: self.outputs.needed_event_ms(routes, spec.as_ref()),
            usual_speed: self.registry.usual_speed(&call.service),
        };
        let is_free = |upstream: &&Upstream| {
            !paced_out.contains(&upstream.key) && !tried.contains(&upstream.entry.id)
        };
        let candidates = cx.candidates(upstreams.open(now, &call.service).filter(is_free));
        let Some(best) = candidates.first() else {
            let is_any_open = self.registry.upstreams().open(now, &call.service).next().is_some();
            let reason = if is_any_open { DeclineReason::Cold } else { DeclineReason::NoUpstream };
            return Err(self.refusals.decline(call, reason, None));
        };
        let own = Candidate::mean_pressure(call.target, &candidates);
        let usual_target = routes.map_or(call.target, |routes| routes.mean_target);
        let usual = Candidate::mean_pressure(usual_target, &candidates);
        let pressure = own * self.pressures.note(now, &call.service, usual, &self.peers);
        let standing = Standing {
            share_usage,
            over_share_factor: self.pressures.over_share_factor(&call.service),
            least_tokens: candidates.iter().map(|c| c.offer.tokens).min().unwrap_or_default(),
            pressure,
        };
        // A request rather goes where its parts are not kept than nowhere.
        let chosen =
            candidates.iter().find(|candidate| candidate.objection(call, standing).is_none());
        let Some(chosen) = chosen else {
            let expected = Some(best.offer.expected);
            let reason = best.objection(call, standing);
            let reason = reason.unwrap_or(DeclineReason::Overloaded);
            if reason == DeclineReason::OverShare {
                self.pressures.note_refusal(now, &call.service);
            }
            let decline = self.refusals.decline(call, reason, expected);
            let over_share_factor = standing.over_share_factor;
            return Err(Decline { share_usage, pressure, over_share_factor, ..decline });
        };
        let (id, offer) = (chosen.upstream.entry.id.clone(), chosen.offer);
        self.place(now, call, id, offer)
    }

    /// Takes the place that was chosen.
    fn place(&mut self, now: Time, call: &CallInfo, id: Name, offer: Offer) -> Admission {
        let Offer { expected, fetch_from, tokens, ahead } = offer;
        let engine = self.registry.spec(&call.service).and_then(|spec| spec.engine);
        let capacity = engine.map_or(0, |engine| engine.cache_tokens);
        let Some(upstream) = self.registry.upstreams_mut().get_mut(id.as_str()) else {
            return Err(self.refusals.decline(call, DeclineReason::NoUpstream, None));
        };
        upstream.load.sent(now, tokens);
        upstream.pace.take(now);
        if let Some(prompt) = &call.prompt {
            upstream.cache.insert(now + expected, &prompt.segments, capacity);
            let unshared = &mut upstream.load.unshared_tokens;
            *unshared = unshared.saturating_add(prompt.unshared_tokens());
            let shared = prompt.shared_segments();
            if !shared.is_empty() {
                self.reads.entry(upstream.key).or_default().extend_from_slice(shared);
            }
        }
        Ok(Placement {
            request: InFlightRequest {
                upstream: id.clone(),
                started_ms: upstream.entry.started_ms,
                route: call.route.clone(),
                service: call.service.clone(),
                tokens,
                ahead,
                placed: now,
                first_event: None,
                events: 0,
                last_event: now,
            },
            address: upstream.entry.address,
            instance: id,
            fetch_from,
            expected,
        })
    }
}
