//! Service as the configuration describes it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Model engine of a service.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineSpec {
    /// Requests in one batch.
    pub slots: u32,
    /// Memory for running requests and kept prompt parts, in tokens.
    pub cache_tokens: u64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Memory of one token, in bytes.
    pub token_bytes: u64,
    /// Bandwidth between engines in megabits a second; zero when they hand nothing over.
    pub link_mbps: f64,
}

impl EngineSpec {
    /// Returns the time in which one engine hands the memory of `tokens` to another one, in
    /// milliseconds, if engines do that.
    pub fn fetch_ms(&self, tokens: u64) -> Option<f64> {
        const BITS_PER_BYTE: f64 = 8.0;
        const BITS_PER_MS: f64 = 1_000.0;

        let bits = (tokens * self.token_bytes) as f64 * BITS_PER_BYTE;
        (bits > 0.0 && self.link_mbps > 0.0).then(|| bits / (self.link_mbps * BITS_PER_MS))
    }
}

/// Service.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceSpec {
    /// Connections that one upstream takes from all callers.
    pub connection_limit: u32,
    /// Time for which a started upstream stays cold.
    pub cold_start: Duration,
    /// Requests a second that a cold upstream bears; none means that cold starts do not matter.
    pub cold_per_s: Option<f64>,
    /// Model engine; none for plain services.
    pub engine: Option<EngineSpec>,
}
