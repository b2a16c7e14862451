//! Upstream with what it would cost to place a request there.

use std::net::SocketAddr;
use std::time::Duration;

use crate::edge::fetch::Sources;
use crate::edge::{
    CallInfo, DeclineReason, Peers, Pressure, Prompt, ServiceSpec, Upstream, UpstreamLoad,
};
use crate::name::Name;
use crate::time::Time;

/// Most that one upstream counts for in the pressure on all.
const MAX_PRESSURE: f64 = 2.0;

/// Slowest reading that is reckoned with, in tokens in a millisecond.
const MIN_SPEED: f64 = 0.01;

/// What is the same for all candidates of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Weighing<'a> {
    /// Time of the decision.
    pub now: Time,
    /// Request.
    pub call: &'a CallInfo,
    /// Other routers.
    pub peers: &'a Peers,
    /// Data centre of the router.
    pub data_centre: &'a Name,
    /// Upstreams that keep parts of the prompt.
    pub sources: &'a Sources<'a>,
    /// Service.
    pub spec: Option<&'a ServiceSpec>,
    /// Key of the upstream to which the prompt's last shared part belongs.
    pub home: Option<u32>,
    /// Events to expect of the answer.
    pub events: f64,
    /// Longest time between events at which long answers end in time, in milliseconds; zero when
    /// nothing is known.
    pub needed_event_ms: f64,
    /// Reading speed of an upstream whose own is not known, in tokens in a millisecond.
    pub usual_speed: f64,
}

impl Weighing<'_> {
    /// Weighs upstreams, the best first.
    pub fn candidates<'a>(
        &self,
        upstreams: impl Iterator<Item = &'a Upstream>,
    ) -> Vec<Candidate<'a>> {
        let mut candidates: Vec<_> =
            upstreams.map(|upstream| Candidate::weigh(self, upstream)).collect();
        candidates.sort_by(|a, b| a.score.total_cmp(&b.score));

        candidates
    }
}

/// Where the workspace of a request stands.
#[derive(Clone, Copy, Debug)]
pub(super) struct Standing {
    /// What it would have with the request, as a part of its share.
    pub share_usage: f64,
    /// How many times their share workspaces may have while upstreams are not busy.
    pub over_share_factor: f64,
    /// Fewest tokens that any upstream has to read for the request.
    pub least_tokens: u64,
    /// How busy the upstreams are: zero when idle, one when they are just in time.
    pub pressure: f64,
}

impl Standing {
    /// Power by which the patience for a workspace falls beyond its share: at twice the share,
    /// upstreams count as busy at about a third of the pressure.
    const SHARE_POWER: f64 = 1.5;

    /// Returns the pressure from which upstreams count as busy for a workspace beyond its share.
    ///
    /// Leeway is not used to read tokens at one upstream that another one keeps: that takes time
    /// and memory from workspaces within their share.
    fn bound(&self, tokens: u64) -> f64 {
        let strict = self.share_usage.powf(-Self::SHARE_POWER);
        if tokens > self.least_tokens {
            return strict;
        }

        let eased = (self.share_usage / self.over_share_factor).powf(-Self::SHARE_POWER);
        strict.max(eased.min(Pressure::SPARE))
    }
}

/// What placing a request at an upstream means for it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Offer {
    /// Time to the first event.
    pub expected: Duration,
    /// Upstream from which kept parts are fetched.
    pub fetch_from: Option<SocketAddr>,
    /// Prompt tokens that the upstream has to read.
    pub tokens: u64,
    /// Prompt tokens that are ahead, these included.
    pub ahead: u64,
}

/// Upstream with what it would cost to place a request there.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'a> {
    /// Upstream.
    pub upstream: &'a Upstream,
    /// What it offers.
    pub offer: Offer,
    /// Part of the time to the first event that other requests cause.
    pub wait: Duration,
    /// Time between events against the one that most streams need to end in time.
    pub slowness: f64,
    /// Whether all routers together hold as many connections as it takes.
    pub is_full: bool,
    /// Cost; the least is the best.
    pub score: f64,
}

impl<'a> Candidate<'a> {
    /// Weight of failures and silence in the score, in times the target.
    const FAILURE_WEIGHT: f64 = 4.0;

    /// Silence after which an upstream is taken for dead while others answer.
    const MAX_SILENCE: Duration = Duration::from_millis(1_500);

    /// Weight of shared tokens that an upstream would read though another one may keep them,
    /// beside the time that reading takes: it takes that time from all who come later.
    const READ_AGAIN_WEIGHT: f64 = 2.0;

    /// Share of the tokens of a prompt part that count for the upstream that it belongs to.
    const HOME_PART: f64 = 0.5;

    /// Part of the target that an upstream in another data centre must be faster by.
    const REMOTE_PART: f64 = 0.02;

    /// Weight of the time that an answer takes after its first event.
    const FINISH_WEIGHT: f64 = 0.1;

    /// Weight of the time by which reading delays each request in the same batch.
    const DELAY_WEIGHT: f64 = 0.05;

    /// Time that a request adds to the work of others in its batch, in milliseconds.
    const BATCH_MS: f64 = 1.0;

    /// Part of the target that other requests may delay one that is late by its own size.
    const WAIT_PART: f64 = 0.5;

    /// Weighs an upstream for a request.
    pub fn weigh(cx: &Weighing<'_>, upstream: &'a Upstream) -> Self {
        let peers = cx.peers.load(cx.now, upstream.key);
        let in_flight = upstream.load.in_flight + peers.in_flight;
        let speed = upstream.load.prefill_tokens_per_ms.unwrap_or(cx.usual_speed).max(MIN_SPEED);
        let prompt = cx.call.prompt.as_ref();
        let kept =
            prompt.map(|prompt| cx.sources.kept(upstream, prompt, speed)).unwrap_or_default();
        let tokens = prompt.map_or(0, |prompt| unread(prompt, kept.tokens));
        let ahead = upstream.load.pending_tokens + peers.pending_tokens + tokens;

        let own_ms = tokens as f64 / speed;
        let batch_ms = f64::from(in_flight) * Self::BATCH_MS;
        let queue_ms = queue_ms(upstream, in_flight, cx.spec);
        let expected_ms = ahead as f64 / speed + queue_ms + batch_ms + kept.fetch_ms;
        let event_ms = pace_of(upstream, &peers);
        let score = expected_ms
            + cx.events * event_ms * Self::FINISH_WEIGHT
            + f64::from(in_flight) * own_ms * Self::DELAY_WEIGHT
            + Self::affinity_ms(cx, upstream, kept.tokens, speed, in_flight)
            + Self::avoidance_ms(cx, upstream);

        Self {
            upstream,
            offer: Offer {
                expected: from_millis(expected_ms),
                fetch_from: kept.from,
                tokens,
                ahead,
            },
            wait: from_millis(expected_ms - own_ms - batch_ms),
            slowness: if cx.needed_event_ms > 0.0 { event_ms / cx.needed_event_ms } else { 0.0 },
            is_full: cx.spec.is_some_and(|spec| in_flight >= spec.connection_limit),
            score,
        }
    }

    /// Returns the reason why a request should not be placed here.
    ///
    /// The more a workspace has beyond its share, the less its requests may wait: upstreams that
    /// are not busy serve it, and busy ones are left to the others. A prompt that takes long to
    /// read by itself is not refused for that.
    pub fn objection(&self, call: &CallInfo, standing: Standing) -> Option<DeclineReason> {
        if self.is_full {
            return Some(DeclineReason::Overloaded);
        }
        call.prompt.as_ref()?;
        if standing.share_usage > 1.0 {
            let bound = standing.bound(self.offer.tokens);
            let is_busy = standing.pressure > bound || self.wait_part(call.target) > bound;
            return (is_busy || self.slowness > 1.0).then_some(DeclineReason::OverShare);
        }

        let patience = if call.is_client_retry { call.remaining / 2 } else { call.target };
        let expected = self.offer.expected;
        let is_late = expected > patience && self.wait > patience.mul_f64(Self::WAIT_PART);
        (is_late || expected > call.remaining).then_some(DeclineReason::Overloaded)
    }

    /// Returns how busy the upstreams are on the whole: zero when idle, one when they are just in
    /// time.
    ///
    /// It is the same for all workspaces, wherever the parts of their prompts are kept.
    pub fn mean_pressure(target: Duration, candidates: &[Self]) -> f64 {
        let pressure = |c: &Self| c.wait_part(target).max(c.slowness.powi(2)).min(MAX_PRESSURE);
        candidates.iter().map(pressure).sum::<f64>() / candidates.len().max(1) as f64
    }

    /// Returns the wait for other requests as a part of the target.
    fn wait_part(&self, target: Duration) -> f64 {
        self.wait.as_secs_f64() / target.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Returns the cost of reading parts again that others keep, less what reading them at their
    /// home saves later; for plain calls, the cost of places taken.
    fn affinity_ms(
        cx: &Weighing<'_>,
        upstream: &Upstream,
        kept: u64,
        speed: f64,
        in_flight: u32,
    ) -> f64 {
        let Some(prompt) = &cx.call.prompt else {
            return f64::from(in_flight) / f64::from(upstream.entry.slots.max(1)) * target_ms(cx);
        };

        let again = shared_unread(prompt, kept) as f64 * Self::READ_AGAIN_WEIGHT;
        let saved = match prompt.shared_segments().last() {
            Some(part) if cx.home == Some(upstream.key) && !upstream.cache.contains(*part) => {
                f64::from(part.tokens) * Self::HOME_PART
            }
            _ => 0.0,
        };
        (again - saved) / speed
    }

    /// Returns the cost of failures, silence and distance.
    fn avoidance_ms(cx: &Weighing<'_>, upstream: &Upstream) -> f64 {
        let is_silent = upstream.load.unresponsive_for(cx.now) > Self::MAX_SILENCE;
        let is_remote = upstream.entry.data_centre != *cx.data_centre;
        let failures = upstream.load.failure_rate + f64::from(u8::from(is_silent));
        let distance = f64::from(u8::from(is_remote)) * Self::REMOTE_PART;

        (failures * Self::FAILURE_WEIGHT + distance) * target_ms(cx)
    }
}

fn target_ms(cx: &Weighing<'_>) -> f64 {
    cx.call.target.as_secs_f64() * 1_000.0
}

fn from_millis(millis: f64) -> Duration {
    Duration::from_secs_f64(millis.max(0.0) / 1_000.0)
}

/// Returns the time until a place is free.
fn queue_ms(upstream: &Upstream, in_flight: u32, spec: Option<&ServiceSpec>) -> f64 {
    let engine = spec.and_then(|spec| spec.engine);
    let slots = engine.map_or(upstream.entry.slots, |engine| engine.slots).max(1);
    let over = (in_flight + 1).saturating_sub(slots);

    f64::from(over) * upstream.load.service_ms / f64::from(slots)
}

/// Returns the time between events at an upstream as all routers see it, in milliseconds.
fn pace_of(upstream: &Upstream, peers: &UpstreamLoad) -> f64 {
    let (own, others) = (upstream.load.event_interval_ms, f64::from(peers.event_ms));
    if own == 0.0 || others == 0.0 {
        return own.max(others);
    }

    let (own_weight, other_weight) =
        (f64::from(upstream.load.in_flight), f64::from(peers.in_flight));
    (own * own_weight + others * other_weight) / (own_weight + other_weight).max(1.0)
}

/// Returns the tokens of `prompt` that are read when `kept` are not.
fn unread(prompt: &Prompt, kept: u64) -> u64 {
    u64::from(prompt.input_tokens).saturating_sub(kept)
}

/// Returns the shared tokens of `prompt` that are read when `kept` are not.
fn shared_unread(prompt: &Prompt, kept: u64) -> u64 {
    u64::from(prompt.shared_tokens()).saturating_sub(kept)
}
