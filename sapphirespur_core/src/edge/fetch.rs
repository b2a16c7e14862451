//! Kept prompt parts that an upstream can take over from another one.

use std::net::SocketAddr;
use std::time::Duration;

use crate::edge::{Condition, EngineSpec, Prompt, Upstream, Upstreams};
use crate::name::Name;
use crate::time::Time;

/// Silence from which on parts are not fetched from an upstream: it may be gone.
const MAX_SILENCE: Duration = Duration::from_millis(500);

/// Part of failed requests from which on parts are not fetched from an upstream.
const MAX_FAILURE_RATE: f64 = 0.3;

/// Parts of a prompt that need not be read.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Kept {
    /// Tokens of the parts.
    pub tokens: u64,
    /// Upstream that hands them over, if they are not all kept where the request goes.
    pub from: Option<SocketAddr>,
    /// Time that the hand-over takes, in milliseconds.
    pub fetch_ms: f64,
}

/// Upstreams that keep parts of one prompt.
#[derive(Debug, Default)]
pub(super) struct Sources<'a> {
    sources: Vec<(&'a Upstream, u64)>,
    engine: Option<EngineSpec>,
}

impl<'a> Sources<'a> {
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
        let sound = |upstream: &&Upstream| {
            upstream.condition(now) == Condition::Warm
                && upstream.load.unresponsive_for(now) < MAX_SILENCE
                && upstream.load.failure_rate < MAX_FAILURE_RATE
        };
        let sources = upstreams
            .open(now, service)
            .filter(sound)
            .map(|upstream| (upstream, upstream.cache.read_tokens(now, prompt)))
            .filter(|(_, kept)| *kept > 0)
            .collect();

        Self { sources, engine }
    }

    /// Returns what `upstream` need not read, at a reading speed in tokens in a millisecond.
    pub fn kept(&self, upstream: &Upstream, prompt: &Prompt, speed: f64) -> Kept {
        let own = upstream.cache.cached_prefix_tokens(prompt);
        let alone = Kept { tokens: own, ..Kept::default() };
        let worth = |(source, kept): &(&Upstream, u64)| {
            (*kept, source.entry.data_centre == upstream.entry.data_centre)
        };
        let best = self.sources.iter().max_by_key(|source| worth(source));
        let Some((source, kept)) = best.filter(|(_, kept)| *kept > own) else { return alone };

        let more = kept - own;
        let Some(fetch_ms) = self.engine.and_then(|engine| engine.fetch_ms(more)) else {
            return alone;
        };
        if fetch_ms >= more as f64 / speed {
            return alone;
        }
        Kept { tokens: *kept, from: Some(source.entry.address), fetch_ms }
    }
}
