//! Upstream with what it would cost to place a request there.

use std::net::SocketAddr;
use std::time::Duration;

use crate::edge::prefix_sources::PrefixSources;
use crate::edge::{
    CallInfo, DeclineReason, Peers, Pressure, Prompt, ServiceSpec, Upstream, UpstreamLoad,
};
use crate::name::Name;
use crate::time::Time;

/// Most that one upstream counts for in the pressure on all.
const MAX_UPSTREAM_PRESSURE: f64 = 2.0;

/// Slowest reading that is reckoned with, in tokens in a millisecond.
const MIN_TOKENS_PER_MS: f64 = 0.01;

/// What is the same for all candidates of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScoringContext<'a> {
    /// Time of the decision.
    pub now: Time,
    /// Request.
    pub call: &'a CallInfo,
    /// Other routers.
    pub peers: &'a Peers,
    /// Data centre of the router.
    pub data_centre: &'a Name,
    /// Upstreams that keep parts of the prompt.
    pub sources: &'a PrefixSources<'a>,
    /// Service.
    pub spec: Option<&'a ServiceSpec>,
    /// Key of the upstream to which the prompt's last shared part belongs.
    pub prefix_owner: Option<u32>,
    /// Events to expect of the answer.
    pub expected_events: f64,
    /// Longest time between events at which long answers end in time, in milliseconds; zero when
    /// nothing is known.
    pub max_event_interval_ms: f64,
    /// Reading speed of an upstream whose own is not known, in tokens in a millisecond.
    pub mean_prefill_speed: f64,
}

impl ScoringContext<'_> {
    /// Weighs upstreams, the best first.
    pub fn ranked_candidates<'a>(
        &self,
        upstreams: impl Iterator<Item = &'a Upstream>,
    ) -> Vec<Candidate<'a>> {
        let mut candidates: Vec<_> =
            upstreams.map(|upstream| Candidate::new(self, upstream)).collect();
        candidates.sort_by(|a, b| a.score.total_cmp(&b.score));

        candidates
    }
}

/// Where the workspace of a request stands.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShareStatus {
    /// What it would have with the request, as a part of its share.
    pub share_usage: f64,
    /// How many times their share workspaces may have while upstreams are not busy.
    pub over_share_factor: f64,
    /// Fewest tokens that any upstream has to read for the request.
    pub min_prefill_tokens: u64,
    /// How busy the upstreams are: zero when idle, one when they are just in time.
    pub pressure: f64,
}

impl ShareStatus {
    /// Power by which the patience for a workspace falls beyond its share: at twice the share,
    /// upstreams count as busy at about a third of the pressure.
    const SHARE_EXPONENT: f64 = 1.5;

    /// Returns the pressure from which upstreams count as busy for a workspace beyond its share.
    ///
    /// Leeway is not used to read tokens at one upstream that another one keeps: that takes time
    /// and memory from workspaces within their share.
    fn max_pressure(&self, prefill_tokens: u64) -> f64 {
        let strict = self.share_usage.powf(-Self::SHARE_EXPONENT);
        if prefill_tokens > self.min_prefill_tokens {
            return strict;
        }

        let relaxed = (self.share_usage / self.over_share_factor).powf(-Self::SHARE_EXPONENT);
        strict.max(relaxed.min(Pressure::OVER_SHARE_TARGET))
    }
}

/// What placing a request at an upstream means for it.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlacementEstimate {
    /// Time to the first event.
    pub expected: Duration,
    /// Upstream from which kept parts are fetched.
    pub fetch_from: Option<SocketAddr>,
    /// Prompt tokens that the upstream has to read.
    pub prefill_tokens: u64,
    /// Prompt tokens that are ahead, these included.
    pub queued_tokens: u64,
}

/// Upstream with what it would cost to place a request there.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'a> {
    /// Upstream.
    pub upstream: &'a Upstream,
    /// What it offers.
    pub estimate: PlacementEstimate,
    /// Part of the time to the first event that other requests cause.
    pub wait: Duration,
    /// Time between events against the one that most streams need to end in time.
    pub event_interval_ratio: f64,
    /// Whether all routers together hold as many connections as it takes.
    pub is_full: bool,
    /// Cost; the least is the best.
    pub score: f64,
}

impl<'a> Candidate<'a> {
    /// Weight of failures and silence in the score, in times the target.
    const FAILURE_WEIGHT: f64 = 4.0;

    /// Silence after which an upstream is taken for dead while others answer.
    const MAX_UNRESPONSIVE: Duration = Duration::from_millis(1_500);

    /// Weight of shared tokens that an upstream would read though another one may keep them,
    /// beside the time that reading takes: it takes that time from all who come later.
    const REDUNDANT_PREFILL_WEIGHT: f64 = 2.0;

    /// Share of the tokens of a prompt part that count for the upstream that it belongs to.
    const OWNER_DISCOUNT_FRACTION: f64 = 0.5;

    /// Part of the target that an upstream in another data centre must be faster by.
    const REMOTE_PENALTY_FRACTION: f64 = 0.02;

    /// Weight of the time that an answer takes after its first event.
    const GENERATION_WEIGHT: f64 = 0.1;

    /// Weight of the time by which reading delays each request in the same batch.
    const DELAY_WEIGHT: f64 = 0.05;

    /// Time that a request adds to the work of others in its batch, in milliseconds.
    const BATCH_MS: f64 = 1.0;

    /// Part of the target that other requests may delay one that is late by its own size.
    const MAX_WAIT_FRACTION: f64 = 0.5;

    /// Weighs an upstream for a request.
    pub fn new(cx: &ScoringContext<'_>, upstream: &'a Upstream) -> Self {
        let peers = cx.peers.load(cx.now, upstream.key);
        let in_flight = upstream.load.in_flight + peers.in_flight;
        let speed = upstream
            .load
            .prefill_tokens_per_ms
            .unwrap_or(cx.mean_prefill_speed)
            .max(MIN_TOKENS_PER_MS);
        let prompt = cx.call.prompt.as_ref();
        let prefix = prompt
            .map(|prompt| cx.sources.best_prefix(upstream, prompt, speed))
            .unwrap_or_default();
        let prefill_tokens = prompt.map_or(0, |prompt| uncached_tokens(prompt, prefix.tokens));
        let queued_tokens = upstream.load.pending_tokens + peers.pending_tokens + prefill_tokens;

        let prefill_ms = prefill_tokens as f64 / speed;
        let batch_ms = f64::from(in_flight) * Self::BATCH_MS;
        let slot_wait_ms = slot_wait_ms(upstream, in_flight, cx.spec);
        let expected_ms = queued_tokens as f64 / speed + slot_wait_ms + batch_ms + prefix.fetch_ms;
        let event_interval_ms = fleet_event_interval_ms(upstream, &peers);
        let score = expected_ms
            + cx.expected_events * event_interval_ms * Self::GENERATION_WEIGHT
            + f64::from(in_flight) * prefill_ms * Self::DELAY_WEIGHT
            + Self::affinity_ms(cx, upstream, prefix.tokens, speed, in_flight)
            + Self::avoidance_ms(cx, upstream);

        Self {
            upstream,
            estimate: PlacementEstimate {
                expected: from_millis(expected_ms),
                fetch_from: prefix.from,
                prefill_tokens,
                queued_tokens,
            },
            wait: from_millis(expected_ms - prefill_ms - batch_ms),
            event_interval_ratio: if cx.max_event_interval_ms > 0.0 {
                event_interval_ms / cx.max_event_interval_ms
            } else {
                0.0
            },
            is_full: cx.spec.is_some_and(|spec| in_flight >= spec.connection_limit),
            score,
        }
    }

    /// Returns the reason why a request should not be placed here.
    ///
    /// The more a workspace has beyond its share, the less its requests may wait: upstreams that
    /// are not busy serve it, and busy ones are left to the others. A prompt that takes long to
    /// read by itself is not refused for that.
    pub fn decline_reason(&self, call: &CallInfo, status: ShareStatus) -> Option<DeclineReason> {
        if self.is_full {
            return Some(DeclineReason::Overloaded);
        }
        call.prompt.as_ref()?;
        if status.share_usage > 1.0 {
            let max_pressure = status.max_pressure(self.estimate.prefill_tokens);
            let is_busy =
                status.pressure > max_pressure || self.wait_ratio(call.target) > max_pressure;
            return (is_busy || self.event_interval_ratio > 1.0)
                .then_some(DeclineReason::OverShare);
        }

        let max_wait = if call.is_client_retry { call.remaining / 2 } else { call.target };
        let expected = self.estimate.expected;
        let is_late = expected > max_wait && self.wait > max_wait.mul_f64(Self::MAX_WAIT_FRACTION);
        (is_late || expected > call.remaining).then_some(DeclineReason::Overloaded)
    }

    /// Returns how busy the upstreams are on the whole: zero when idle, one when they are just in
    /// time.
    ///
    /// It is the same for all workspaces, wherever the parts of their prompts are kept.
    pub fn mean_pressure(target: Duration, candidates: &[Self]) -> f64 {
        let pressure = |c: &Self| {
            c.wait_ratio(target).max(c.event_interval_ratio.powi(2)).min(MAX_UPSTREAM_PRESSURE)
        };
        candidates.iter().map(pressure).sum::<f64>() / candidates.len().max(1) as f64
    }

    /// Returns the wait for other requests as a part of the target.
    fn wait_ratio(&self, target: Duration) -> f64 {
        self.wait.as_secs_f64() / target.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Returns the cost of reading parts again that others keep, less what reading them at their
    /// home saves later; for plain calls, the cost of places taken.
    fn affinity_ms(
        cx: &ScoringContext<'_>,
        upstream: &Upstream,
        cached: u64,
        speed: f64,
        in_flight: u32,
    ) -> f64 {
        let Some(prompt) = &cx.call.prompt else {
            return f64::from(in_flight) / f64::from(upstream.entry.slots.max(1)) * target_ms(cx);
        };

        let redundant =
            uncached_shared_tokens(prompt, cached) as f64 * Self::REDUNDANT_PREFILL_WEIGHT;
        let saved = match prompt.shared_segments().last() {
            Some(segment)
                if cx.prefix_owner == Some(upstream.key) && !upstream.cache.contains(*segment) =>
            {
                f64::from(segment.tokens) * Self::OWNER_DISCOUNT_FRACTION
            }
            _ => 0.0,
        };
        (redundant - saved) / speed
    }

    /// Returns the cost of failures, silence and distance.
    fn avoidance_ms(cx: &ScoringContext<'_>, upstream: &Upstream) -> f64 {
        let is_unresponsive = upstream.load.unresponsive_for(cx.now) > Self::MAX_UNRESPONSIVE;
        let is_remote = upstream.entry.data_centre != *cx.data_centre;
        let failures = upstream.load.failure_rate + f64::from(u8::from(is_unresponsive));
        let distance = f64::from(u8::from(is_remote)) * Self::REMOTE_PENALTY_FRACTION;

        (failures * Self::FAILURE_WEIGHT + distance) * target_ms(cx)
    }
}

fn target_ms(cx: &ScoringContext<'_>) -> f64 {
    cx.call.target.as_secs_f64() * 1_000.0
}

fn from_millis(millis: f64) -> Duration {
    Duration::from_secs_f64(millis.max(0.0) / 1_000.0)
}

/// Returns the time until a place is free.
fn slot_wait_ms(upstream: &Upstream, in_flight: u32, spec: Option<&ServiceSpec>) -> f64 {
    let engine = spec.and_then(|spec| spec.engine);
    let slots = engine.map_or(upstream.entry.slots, |engine| engine.slots).max(1);
    let excess = (in_flight + 1).saturating_sub(slots);

    f64::from(excess) * upstream.load.service_ms / f64::from(slots)
}

/// Returns the time between events at an upstream as all routers see it, in milliseconds.
fn fleet_event_interval_ms(upstream: &Upstream, others: &UpstreamLoad) -> f64 {
    let (own, peers) = (upstream.load.event_interval_ms, f64::from(others.event_ms));
    if own == 0.0 || peers == 0.0 {
        return own.max(peers);
    }

    let (own_weight, peer_weight) =
        (f64::from(upstream.load.in_flight), f64::from(others.in_flight));
    (own * own_weight + peers * peer_weight) / (own_weight + peer_weight).max(1.0)
}

/// Returns the tokens of `prompt` that are read when `kept` are not.
fn uncached_tokens(prompt: &Prompt, cached: u64) -> u64 {
    u64::from(prompt.input_tokens).saturating_sub(cached)
}

/// Returns the shared tokens of `prompt` that are read when `kept` are not.
fn uncached_shared_tokens(prompt: &Prompt, cached: u64) -> u64 {
    u64::from(prompt.shared_tokens()).saturating_sub(cached)
}
