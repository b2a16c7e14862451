//! Upstreams from which cached prompt segments can be fetched.

use std::net::SocketAddr;
use std::time::Duration;

use crate::edge::{Condition, EngineSpec, Prompt, Upstream, Upstreams};
use crate::name::Name;
use crate::time::Time;

/// Time without a response from which nothing is fetched from an upstream, because it may be gone.
const MAX_UNRESPONSIVE: Duration = Duration::from_millis(500);

/// Failure rate from which nothing is fetched from an upstream.
const MAX_FAILURE_RATE: f64 = 0.3;

/// Cached prefix of a prompt that need not be prefilled.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CachedPrefix {
    /// Number of prompt tokens that need not be prefilled.
    pub tokens: u64,
    /// Upstream from which the prefix is fetched; none when the chosen upstream has all of it.
    pub source: Option<SocketAddr>,
    /// Time that the fetch takes, in milliseconds.
    pub fetch_ms: f64,
}

/// Upstreams that have cached a prefix of one prompt, with the tokens of that prefix.
#[derive(Debug, Default)]
pub(super) struct PrefixSources<'a> {
    sources: Vec<(&'a Upstream, u64)>,
    /// Upstream on which other routers place the prompt's shared segments; none when it is unhealthy.
    owner: Option<&'a Upstream>,
    engine: Option<EngineSpec>,
}

impl<'a> PrefixSources<'a> {
    /// Finds the healthy upstreams of a service that have cached a prefix of a prompt and support
    /// fetches. `owner` is the key of the upstream that owns the last shared segment if other routers
    /// send requests there.
    pub fn new(
        now: Time,
        prompt: Option<&Prompt>,
        service: &'a Name,
        upstreams: &'a Upstreams,
        owner: Option<u32>,
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

        let owner = owner
            .and_then(|key| upstreams.get_by_key(key))
            .filter(|owner| upstreams.accepts_requests(now, owner))
            .filter(is_healthy)
            // What this router has placed there itself and is not ready yet cannot be fetched.
            .filter(|owner| owner.cache.cached_prefix_tokens(prompt) == 0);
        Self { sources, owner, engine }
    }

    /// Returns the prefix that `upstream` need not prefill: the longest one that another upstream
    /// holds if fetching it is faster than prefilling at `speed` tokens per millisecond, otherwise
    /// its own.
    ///
    /// Where no upstream is known to hold more, the owner is named as a source without counting on
    /// it: other routers may have placed the segments there that this one has not heard of.
    pub fn best_prefix(&self, upstream: &Upstream, prompt: &Prompt, speed: f64) -> CachedPrefix {
        let local = upstream.cache.cached_prefix_tokens(prompt);
        let local_only = CachedPrefix {
            tokens: local,
            source: self.owner_for(upstream, prompt, local, speed),
            fetch_ms: 0.0,
        };
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
        CachedPrefix { tokens: *cached, source: Some(source.entry.address), fetch_ms }
    }

    /// Returns the owner as a source for the shared segments of which `upstream` has only `local`
    /// tokens, if fetching the rest is faster than prefilling it.
    fn owner_for(
        &self,
        upstream: &Upstream,
        prompt: &Prompt,
        local: u64,
        speed: f64,
    ) -> Option<SocketAddr> {
        let owner = self.owner.filter(|owner| owner.key != upstream.key)?;
        let missing = u64::from(prompt.shared_tokens()).saturating_sub(local);
        let fetch_ms = self.engine?.fetch_ms(missing)?;

        (fetch_ms < missing as f64 / speed).then_some(owner.entry.address)
    }
}
