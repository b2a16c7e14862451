//! Kept prompt parts that an upstream can take over from another one.

use std::net::SocketAddr;
use std::time::Duration;

use crate::edge::{Condition, EngineSpec, Prompt, Upstream, Upstreams};
use crate::name::Name;
use crate::time::Time;

/// Silence from which on parts are not fetched from an upstream: it may be gone.
const MAX_UNRESPONSIVE: Duration = Duration::from_millis(500);

/// Part of failed requests from which on parts are not fetched from an upstream.
const MAX_FAILURE_RATE: f64 = 0.3;

/// Parts of a prompt that need not be read.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CachedPrefix {
    /// Tokens of the parts.
    pub tokens: u64,
    /// Upstream that hands them over, if they are not all kept where the request goes.
    pub from: Option<SocketAddr>,
    /// Time that the hand-over takes, in milliseconds.
    pub fetch_ms: f64,
}

/// Upstreams that keep parts of one prompt.
#[derive(Debug, Default)]
pub(super) struct PrefixSources<'a> {
    sources: Vec<(&'a Upstream, u64)>,
    engine: Option<EngineSpec>,
}

impl<'a> PrefixSources<'a> {
    /// Finds the upstreams of a service that keep parts of a prompt and can hand them over.
    pub fn new(
        now: Time,
        prompt: Option<&Prompt>,
        service: &'a Name,
        upstreams: &'a Upstreams,
        engine: Option<EngineSpec>,
    ) -> Self {
        let (Some(prompt), Some(_)) = (prompt, engine.and_then(|engine| engine.fetch_ms(1))) else {
            return Self::default();
        };
        let is_healthy = |upstream: &&Upstream| {
            upstream.condition(now) == Condition::Warm
                && upstream.load.unresponsive_for(now) < MAX_UNRESPONSIVE
                && upstream.load.failure_rate < MAX_FAILURE_RATE
        };
        let sources = upstreams
            .available(now, service)
            .filter(is_healthy)
            .map(|upstream| (upstream, upstream.cache.prefilled_prefix_tokens(now, prompt)))
            .filter(|(_, cached)| *cached > 0)
            .collect();

        Self { sources, engine }
    }

    /// Returns what `upstream` need not read, at a reading speed in tokens in a millisecond.
    pub fn best_prefix(&self, upstream: &Upstream, prompt: &Prompt, speed: f64) -> CachedPrefix {
        let local = upstream.cache.cached_prefix_tokens(prompt);
        let local_only = CachedPrefix { tokens: local, ..CachedPrefix::default() };
        let rank = |(source, cached): &(&Upstream, u64)| {
            (*cached, source.entry.data_centre == upstream.entry.data_centre)
        };
        let best = self.sources.iter().max_by_key(|source| rank(source));
        let Some((source, cached)) = best.filter(|(_, cached)| *cached > local) else {
            return local_only;
        };

        let missing = cached - local;
        let Some(fetch_ms) = self.engine.and_then(|engine| engine.fetch_ms(missing)) else {
            return local_only;
        };
        if fetch_ms >= missing as f64 / speed {
            return local_only;
        }
        CachedPrefix { tokens: *cached, from: Some(source.entry.address), fetch_ms }
    }
}
