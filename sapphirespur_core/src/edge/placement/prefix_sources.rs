//! Upstreams from which cached prompt segments can be fetched.

use std::net::SocketAddr;

use crate::edge::placement::Selection;
use crate::edge::{EngineSpec, Prompt, Upstream, Upstreams};
use crate::time::Time;

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

/// Upstreams that have cached the longest prefix of one prompt.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::edge) struct PrefixSources<'a> {
    upstreams: Option<&'a Upstreams>,
    /// Positions of one upstream of each data centre; the first one is also for the data centres
    /// without one.
    holders: &'a [usize],
    /// Tokens of the prefix that they have cached.
    held_tokens: u64,
    /// Upstream on which other routers place the prompt's shared segments; none when it is unhealthy.
    owner: Option<&'a Upstream>,
    /// Engine of the service; none when it does not fetch segments.
    engine: Option<EngineSpec>,
}

impl<'a> PrefixSources<'a> {
    /// Creates the sources of a prompt's segments from the holders in `selection`. `owner` is the key of
    /// the upstream that owns the last shared segment if other routers send requests there. An engine
    /// that fetches no segments has no sources.
    pub fn new(
        now: Time,
        prompt: Option<&Prompt>,
        selection: &'a Selection,
        upstreams: &'a Upstreams,
        owner: Option<u32>,
        engine: Option<EngineSpec>,
    ) -> Self {
        let engine = engine.filter(|engine| engine.fetch_ms(1).is_some());
        let (Some(prompt), Some(engine)) = (prompt, engine) else { return Self::default() };
        let owner = owner
            .and_then(|key| upstreams.get_by_key(key))
            .filter(|owner| {
                Selection::is_healthy(now, upstreams.condition(now, owner), &owner.load)
            })
            // What this router has placed there itself and is not ready yet cannot be fetched.
            .filter(|owner| owner.cache.cached_prefix_tokens(prompt) == 0);
        Self {
            upstreams: Some(upstreams),
            holders: &selection.holders,
            held_tokens: selection.held_tokens,
            owner,
            engine: Some(engine),
        }
    }

    /// Returns the prefix that `upstream`, which has cached `local` tokens of it, need not prefill: the
    /// longest one that another upstream holds if fetching it is faster than prefilling at `speed`
    /// tokens per millisecond, otherwise its own.
    ///
    /// Where no upstream is known to hold more, the owner is named as a source without counting on
    /// it: other routers may have placed the segments there that this one has not heard of.
    pub(super) fn best_prefix(
        &self,
        upstream: &Upstream,
        prompt: &Prompt,
        local: u64,
        speed: f64,
    ) -> CachedPrefix {
        self.fetched_prefix(upstream, local, speed).unwrap_or_else(|| CachedPrefix {
            tokens: local,
            source: self.owner_for(upstream, prompt, local, speed),
            fetch_ms: 0.0,
        })
    }

    /// Returns the longest prefix that another upstream holds, if fetching what `upstream` lacks of it is
    /// faster than prefilling that.
    fn fetched_prefix(&self, upstream: &Upstream, local: u64, speed: f64) -> Option<CachedPrefix> {
        let missing = self.held_tokens.checked_sub(local).filter(|missing| *missing > 0)?;
        let fetch_ms = self.engine?.fetch_ms(missing)?;
        if fetch_ms >= missing as f64 / speed {
            return None;
        }
        let upstreams = self.upstreams?;
        let mut holders = self.holders.iter().map(|position| &upstreams.at(*position).entry);
        let first = holders.clone().next()?;
        let near = holders.find(|holder| holder.data_centre == upstream.entry.data_centre);
        let source = Some(near.unwrap_or(first).address);
        Some(CachedPrefix { tokens: self.held_tokens, source, fetch_ms })
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
