//! Remaining work of an upstream, and what one more request does to it.

use crate::edge::placement::WorkContext;
use crate::edge::{Upstream, UpstreamLoad};

/// Prompt tokens to prefill if a request joins an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Prefill {
    /// Prompt tokens of the request.
    pub tokens: f64,
    /// Prompt tokens in the queue, including these.
    pub queued_tokens: f64,
    /// Prompt tokens that are prefilled in a millisecond.
    pub speed: f64,
}

/// Remaining work of one upstream as it affects a request, and is affected by it.
#[derive(Clone, Copy, Debug)]
pub(super) struct UpstreamWork {
    /// Running requests of all routers.
    requests: f64,
    /// Output tokens that they are expected to have yet.
    decode_tokens: f64,
    /// Memory that they are expected to need at their ends, in tokens.
    memory_tokens: f64,
    /// Time between two events of a stream, in milliseconds.
    event_interval_ms: f64,
    prefill: Prefill,
}

impl UpstreamWork {
    /// Part of its length that a response has left on average, at any time.
    const MEAN_LEFT: f64 = 0.5;

    /// Sums the remaining work of this router's requests and the others'. Requests of routers that
    /// report none count as half done ones like that of `cx`.
    pub fn new(
        cx: &WorkContext,
        upstream: &Upstream,
        peers: &UpstreamLoad,
        event_interval_ms: f64,
        prefill: Prefill,
    ) -> Self {
        let is_told = peers.decode_tokens > 0 || peers.memory_tokens > 0;
        let others = if is_told {
            peers.decode_tokens as f64
        } else {
            f64::from(peers.in_flight) * cx.decode_tokens * Self::MEAN_LEFT
        };

        Self {
            requests: f64::from(upstream.load.in_flight + peers.in_flight),
            decode_tokens: upstream.work.decode_tokens() + others,
            memory_tokens: upstream.work.memory_tokens() + peers.memory_tokens as f64,
            event_interval_ms,
            prefill,
        }
    }

    /// Returns the time for which the request waits for memory, in milliseconds: what is missing is
    /// released as running requests end, and what was preempted is prefilled again.
    pub fn memory_wait_ms(&self, cx: &WorkContext) -> f64 {
        let needed = self.memory_tokens + self.prefill.tokens + cx.decode_tokens;
        let missing = needed - cx.cache_tokens;
        if missing <= 0.0 || self.requests == 0.0 {
            return 0.0;
        }
        let mean_left_ms = self.left_ms(cx) / self.requests;
        let released = missing / self.memory_tokens.max(1.0);
        mean_left_ms * released.min(1.0) + missing.min(self.prefill.tokens) / self.prefill.speed
    }

    /// Returns the time that the request's own output takes in the batch that it joins, in
    /// milliseconds.
    pub fn generation_ms(&self, cx: &WorkContext) -> f64 {
        let events = cx.decode_tokens / cx.tokens_per_event;
        events * (self.event_interval_ms + self.batch_ms(cx))
    }

    /// Returns the sum of the times by which the request delays the ends of the running ones, in
    /// milliseconds. One that is nearly done is hardly delayed.
    pub fn others_delay_ms(&self, cx: &WorkContext) -> f64 {
        let prefill_ms = self.requests * self.prefill.tokens / self.prefill.speed;
        let common_tokens = self.decode_tokens.min(self.requests * cx.decode_tokens);
        let batch_ms = common_tokens / cx.tokens_per_event * self.batch_ms(cx);
        prefill_ms.min(self.left_ms(cx)) + batch_ms
    }

    /// Returns the number of running streams that the request makes late by a pause that is too long:
    /// the prompts in the queue may all be prefilled between two events. The number rises from none
    /// at the limit to all at twice the limit.
    pub fn late_streams(&self, cx: &WorkContext) -> f64 {
        let Some(max_pause_ms) = cx.max_pause_ms else { return 0.0 };
        let late = |queued_tokens: f64| {
            let pause_ms = self.event_interval_ms + queued_tokens / self.prefill.speed;
            (pause_ms / max_pause_ms - 1.0).clamp(0.0, 1.0)
        };
        let without = late(self.prefill.queued_tokens - self.prefill.tokens);
        self.requests * (late(self.prefill.queued_tokens) - without)
    }

    /// Returns the sum of the times that the running requests have left, in milliseconds.
    fn left_ms(&self, cx: &WorkContext) -> f64 {
        self.decode_tokens / cx.tokens_per_event * self.event_interval_ms
    }

    /// Returns the time that the request adds between two events of each stream, in milliseconds:
    /// at most as much as each running one.
    fn batch_ms(&self, cx: &WorkContext) -> f64 {
        cx.batch_ms.min(self.event_interval_ms / self.requests.max(1.0))
    }
}
