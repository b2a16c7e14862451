//! Scoring of the upstreams on which a request could be placed.

use std::net::SocketAddr;
use std::time::Duration;

use crate::edge::load::PlainOption;
use crate::edge::placement::cost::Cost;
use crate::edge::placement::selection::Selected;
use crate::edge::placement::upstream_work::{Prefill, UpstreamWork};
use crate::edge::placement::{ScoringContext, ShareStatus};
use crate::edge::{
    CallInfo, DeclineReason, Prompt, ServiceLoad, ServiceSpec, Upstream, UpstreamLoad,
};
use crate::time::Time;

/// Upper bound of one upstream's contribution to the mean pressure.
const MAX_UPSTREAM_PRESSURE: f64 = 2.0;

/// Lowest prefill speed used in estimates, in tokens per millisecond.
const MIN_TOKENS_PER_MS: f64 = 0.01;

/// Expected consequences of placing a request on an upstream.
#[derive(Clone, Copy, Debug)]
pub(in crate::edge) struct PlacementEstimate {
    /// Expected time to the first event, in milliseconds.
    pub expected_delay_ms: f64,
    /// Upstream from which cached segments are fetched; none when nothing is fetched.
    pub fetch_from: Option<SocketAddr>,
    /// Prompt tokens that the upstream has to prefill.
    pub prefill_tokens: u64,
    /// Prompt tokens in the upstream's prefill queue, including this request.
    pub queued_tokens: u64,
}

impl PlacementEstimate {
    /// Returns the expected time to the first event.
    pub fn expected_delay(&self) -> Duration {
        from_millis(self.expected_delay_ms)
    }
}

/// Upstream with its score for a request.
#[derive(Clone, Copy, Debug)]
pub(in crate::edge) struct Candidate {
    /// Position of the upstream that is scored.
    pub position: usize,
    /// Expected consequences of placing the request here.
    pub estimate: PlacementEstimate,
    /// Requests of all routers that the upstream is serving.
    pub in_flight: u32,
    /// Expected time to the first event, less the request's own prefill and the batch overhead, in
    /// milliseconds: mostly the wait for other requests.
    pub wait_ms: f64,
    /// Interval between events relative to the longest one at which long responses finish in time.
    pub event_interval_ratio: f64,
    /// Whether the connections of all routers together have reached the upstream's limit.
    pub is_full: bool,
    /// Cost of failures, unresponsiveness and distance, in milliseconds.
    pub avoidance_ms: f64,
    /// Cost of placing the request here, in milliseconds; lower is better.
    pub score: f64,
}

impl Candidate {
    /// Weight of the failure rate and of unresponsiveness in the score, in multiples of the target
    /// latency.
    const FAILURE_WEIGHT: f64 = 4.0;

    /// Time without a response after which an upstream counts as failed in the score.
    const MAX_UNRESPONSIVE: Duration = Duration::from_millis(1_500);

    /// Weight of shared tokens that are prefilled although another upstream may have cached them.
    /// It is added to their prefill time, because that time also delays all later requests.
    const REDUNDANT_PREFILL_WEIGHT: f64 = 2.0;

    /// Fraction of a segment's tokens that is credited to the upstream that owns the segment.
    const OWNER_DISCOUNT_FRACTION: f64 = 0.5;

    /// Penalty for an upstream in another data centre, as a fraction of the target latency.
    const REMOTE_PENALTY_FRACTION: f64 = 0.02;

    /// Weight of the time that the response takes after its first event.
    const GENERATION_WEIGHT: f64 = 0.1;

    /// Weight of the delay that the prefill causes for each request in the same batch.
    const BATCH_DELAY_WEIGHT: f64 = 0.05;

    /// Time that each request in the batch adds to the time to the first event, in milliseconds.
    const BATCH_MS_PER_REQUEST: f64 = 1.0;

    /// Fraction of the maximum delay that other requests may cause: a request that is late mostly
    /// because of its own prompt size is not declined.
    const MAX_WAIT_FRACTION: f64 = 0.5;

    /// Scores an upstream for a request.
    pub(super) fn new(cx: &ScoringContext<'_>, upstream: &Upstream, selected: Selected) -> Self {
        let peers = cx.peers.load(cx.now, upstream.key);
        let in_flight = upstream.load.in_flight + peers.in_flight;
        let pace = upstream.known.pace(cx.now, &cx.service_load);
        let speed = upstream
            .load
            .prefill_tokens_per_ms
            .unwrap_or(cx.mean_prefill_speed)
            .max(MIN_TOKENS_PER_MS)
            / pace;
        let prompt = cx.call.prompt.as_ref();
        let local = selected.cached_tokens;
        let prefix = prompt
            .map(|prompt| cx.sources.best_prefix(upstream, prompt, local, speed))
            .unwrap_or_default();
        let prefill_tokens = prompt.map_or(0, |prompt| uncached_tokens(prompt, prefix.tokens));
        let queued_tokens = upstream.load.pending_tokens + peers.pending_tokens + prefill_tokens;

        let prefill_ms = prefill_tokens as f64 / speed;
        let batch_ms = f64::from(in_flight) * Self::BATCH_MS_PER_REQUEST;
        let slot_wait_ms = slot_wait_ms(upstream, in_flight, cx.spec) * pace;
        let event_interval_ms = fleet_event_interval_ms(upstream, &peers) * pace;
        let prefill =
            Prefill { tokens: prefill_tokens as f64, queued_tokens: queued_tokens as f64, speed };
        let work = cx
            .work
            .as_ref()
            .map(|cx| (cx, UpstreamWork::new(cx, upstream, &peers, event_interval_ms, prefill)));
        let memory_wait_ms = work.as_ref().map_or(0.0, |(cx, work)| work.memory_wait_ms(cx));
        let delay_ms = queued_tokens as f64 / speed
            + slot_wait_ms
            + batch_ms
            + prefix.fetch_ms
            + memory_wait_ms;
        let after_first_event = match &work {
            Some((cx, work)) => Cost {
                generation_ms: work.generation_ms(cx) * cx.own_weight,
                batch_delay_ms: work.others_delay_ms(cx) * cx.others_weight,
                pause_ms: work.late_streams(cx) * cx.late_ms,
                ..Cost::default()
            },
            None => Cost {
                generation_ms: cx.expected_events * event_interval_ms * Self::GENERATION_WEIGHT,
                batch_delay_ms: f64::from(in_flight) * prefill_ms * Self::BATCH_DELAY_WEIGHT,
                ..Cost::default()
            },
        };
        let cost = Cost {
            delay_ms,
            affinity_ms: Self::affinity_ms(cx, upstream, prefix.tokens, speed, in_flight),
            avoidance_ms: Self::avoidance_ms(cx, upstream),
            ..after_first_event
        };

        Self {
            position: selected.position,
            estimate: PlacementEstimate {
                expected_delay_ms: delay_ms,
                fetch_from: prefix.source,
                prefill_tokens,
                queued_tokens,
            },
            in_flight,
            wait_ms: (delay_ms - prefill_ms - batch_ms).max(0.0),
            event_interval_ratio: if cx.max_event_interval_ms > 0.0 {
                event_interval_ms / cx.max_event_interval_ms
            } else {
                0.0
            },
            is_full: cx.spec.is_some_and(|spec| in_flight >= spec.connection_limit),
            avoidance_ms: cost.avoidance_ms,
            score: cost.total_ms(),
        }
    }

    /// Returns what the choice among the upstreams of a plain service depends on.
    pub(super) fn plain_option(
        &self,
        now: Time,
        upstream: &Upstream,
        service_load: &ServiceLoad,
    ) -> PlainOption {
        let known = &upstream.known;
        let told = known.estimate(now, service_load);
        let slots = told.map_or(upstream.entry.slots, |told| told.slots).max(1);
        PlainOption {
            told,
            confidence: known.confidence(now),
            in_flight: f64::from(self.in_flight),
            slots: f64::from(slots),
            places: f64::from(known.places(now).unwrap_or(slots)),
            is_full: known.is_full(now),
            failure_rate: upstream.load.failure_rate,
            avoidance_ms: self.avoidance_ms,
        }
    }

    /// Returns the reason for not placing the request here, if there is one. `min_prefill_tokens` is
    /// the fewest prompt tokens that any candidate has to prefill for it.
    ///
    /// The further a workspace is above its share, the less its requests may wait: it is served by
    /// upstreams that are not busy, and busy ones are left to the others. A request is not
    /// declined merely because its own prompt takes long to prefill.
    pub fn decline_reason(
        &self,
        call: &CallInfo,
        status: ShareStatus,
        min_prefill_tokens: u64,
    ) -> Option<DeclineReason> {
        if self.is_full {
            return Some(DeclineReason::Overloaded);
        }
        call.prompt.as_ref()?;
        let delay_ms = self.estimate.expected_delay_ms;
        let remaining_ms = millis(call.remaining);
        // Most of the work of a stream that goes on is done already.
        if call.goes_on {
            return (delay_ms > remaining_ms).then_some(DeclineReason::Overloaded);
        }
        if status.is_over_share() {
            let is_redundant = self.estimate.prefill_tokens > min_prefill_tokens;
            let max_pressure = status.max_pressure(is_redundant);
            let is_busy = status.pressure > max_pressure
                || self.wait_ratio(millis(call.target)) > max_pressure;
            return (is_busy || self.event_interval_ratio > 1.0)
                .then_some(DeclineReason::OverShare);
        }

        let max_wait_ms =
            if call.is_client_retry { remaining_ms / 2.0 } else { millis(call.target) };
        let is_late =
            delay_ms > max_wait_ms && self.wait_ms > max_wait_ms * Self::MAX_WAIT_FRACTION;
        (is_late || delay_ms > remaining_ms).then_some(DeclineReason::Overloaded)
    }

    /// Returns the mean pressure on the candidates: zero when idle, one when responses are just in
    /// time.
    ///
    /// It does not depend on which upstreams have cached a workspace's prompts, so it is the same
    /// for all workspaces.
    pub fn mean_pressure(target: Duration, candidates: &[Self]) -> f64 {
        let target_ms = millis(target);
        let pressure = |c: &Self| {
            let interval_ratio = c.event_interval_ratio;
            c.wait_ratio(target_ms).max(interval_ratio * interval_ratio).min(MAX_UPSTREAM_PRESSURE)
        };
        candidates.iter().map(pressure).sum::<f64>() / candidates.len().max(1) as f64
    }

    /// Returns the wait caused by other requests as a ratio to the target latency.
    fn wait_ratio(&self, target_ms: f64) -> f64 {
        self.wait_ms / target_ms.max(f64::MIN_POSITIVE)
    }

    /// Returns the cost of prefilling segments that other upstreams have cached, minus the future
    /// saving of prefilling a segment at its owner. For plain calls, returns the cost of the
    /// occupied slots.
    fn affinity_ms(
        cx: &ScoringContext<'_>,
        upstream: &Upstream,
        cached: u64,
        speed: f64,
        in_flight: u32,
    ) -> f64 {
        let Some(prompt) = &cx.call.prompt else {
            return f64::from(in_flight) / f64::from(upstream.entry.slots.max(1)) * cx.target_ms();
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

    /// Returns the cost of failures, unresponsiveness and distance, in milliseconds.
    fn avoidance_ms(cx: &ScoringContext<'_>, upstream: &Upstream) -> f64 {
        let is_unresponsive = upstream.load.unresponsive_for(cx.now) > Self::MAX_UNRESPONSIVE;
        let is_remote = upstream.entry.data_centre != *cx.data_centre;
        let failures = upstream.load.failure_rate + f64::from(u8::from(is_unresponsive));
        let distance = f64::from(u8::from(is_remote)) * Self::REMOTE_PENALTY_FRACTION;

        (failures * Self::FAILURE_WEIGHT + distance) * cx.target_ms()
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

fn from_millis(millis: f64) -> Duration {
    Duration::from_secs_f64(millis.max(0.0) / 1_000.0)
}

/// Returns the expected time until a slot is free, in milliseconds.
fn slot_wait_ms(upstream: &Upstream, in_flight: u32, spec: Option<&ServiceSpec>) -> f64 {
    let engine = spec.and_then(|spec| spec.engine);
    let slots = engine.map_or(upstream.entry.slots, |engine| engine.slots).max(1);
    let excess = (in_flight + 1).saturating_sub(slots);

    f64::from(excess) * upstream.load.service_ms / f64::from(slots)
}

/// Returns the mean interval between events at an upstream over all routers, in milliseconds.
fn fleet_event_interval_ms(upstream: &Upstream, others: &UpstreamLoad) -> f64 {
    let (own, peers) = (upstream.load.event_interval_ms, f64::from(others.event_ms));
    if own == 0.0 || peers == 0.0 {
        return own.max(peers);
    }

    let (own_weight, peer_weight) =
        (f64::from(upstream.load.in_flight), f64::from(others.in_flight));
    (own * own_weight + peers * peer_weight) / (own_weight + peer_weight).max(1.0)
}

/// Returns the tokens of `prompt` that have to be prefilled when `cached` tokens are not.
fn uncached_tokens(prompt: &Prompt, cached: u64) -> u64 {
    u64::from(prompt.input_tokens).saturating_sub(cached)
}

/// Returns the shared tokens of `prompt` that have to be prefilled when `cached` tokens are not.
fn uncached_shared_tokens(prompt: &Prompt, cached: u64) -> u64 {
    u64::from(prompt.shared_tokens()).saturating_sub(cached)
}
