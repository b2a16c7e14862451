//! Properties of the configured services and their model engines.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Properties of the model engine that the upstreams of a service run.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineSpec {
    /// Maximum number of requests in one batch.
    pub slots: u32,
    /// Memory for running requests and cached prompt segments, in tokens.
    pub cache_tokens: u64,
    /// Tokens per event of a stream.
    pub tokens_per_event: u32,
    /// Memory per token, in bytes.
    pub token_bytes: u64,
    /// Bandwidth between engines in megabits per second; zero when engines do not support fetches.
    pub link_mbps: f64,
}

impl EngineSpec {
    /// Returns the time to transfer the memory of `tokens` from one engine to another, in
    /// milliseconds; none when engines do not support that.
    pub fn fetch_ms(&self, tokens: u64) -> Option<f64> {
        const BITS_PER_BYTE: f64 = 8.0;
        const BITS_PER_MS: f64 = 1_000.0;

        let bits = (tokens * self.token_bytes) as f64 * BITS_PER_BYTE;
        (bits > 0.0 && self.link_mbps > 0.0).then(|| bits / (self.link_mbps * BITS_PER_MS))
    }
}

/// Properties of a service and its upstreams.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceSpec {
    /// Maximum number of connections to one upstream, from all callers together.
    pub connection_limit: u32,
    /// Time after its start during which an upstream is cold.
    pub cold_start: Duration,
    /// Requests per second that a cold upstream sustains; none when cold starts do not matter.
    pub cold_per_s: Option<f64>,
    /// Model engine; none for services of plain calls.
    pub engine: Option<EngineSpec>,
}
