//! Expected work of a request, and how much delays of it and of others count.

use std::time::Duration;

use crate::edge::{CallInfo, EngineSpec, LengthOutlook, ServiceRoutes};

/// Expected work of a request, the same for all candidates, with the weights of delays.
///
/// A delay counts by what it uses up of the time that is allowed: one millisecond of the time to the
/// first event counts as one, one of the whole response as the target latency relative to the
/// timeout, and a stream whose pause is too long as a first event that is late by the target.
#[derive(Clone, Copy, Debug)]
pub(in crate::edge) struct WorkContext {
    /// Expected output tokens of the request.
    pub decode_tokens: f64,
    /// Tokens in an event of a stream.
    pub tokens_per_event: f64,
    /// Memory for running requests, in tokens.
    pub cache_tokens: f64,
    /// Time that one more request adds between two events of each other stream, in milliseconds.
    pub batch_ms: f64,
    /// Weight of the time that the response takes after its first event.
    pub own_weight: f64,
    /// Weight of the time by which the ends of other responses are delayed.
    pub others_weight: f64,
    /// Cost of a stream whose pause is too long, in milliseconds.
    pub late_ms: f64,
    /// Longest pause of a stream in milliseconds; none when it does not matter.
    pub max_pause_ms: Option<f64>,
}

impl WorkContext {
    /// Creates the context of a call with the expected `outlook`; `batch_ms` is the time that one more
    /// request adds between two events of another stream, in milliseconds.
    pub fn new(
        call: &CallInfo,
        outlook: &LengthOutlook,
        engine: EngineSpec,
        routes: Option<&ServiceRoutes>,
        batch_ms: f64,
    ) -> Self {
        let own_weight = weight(call.target, call.remaining);
        let others_weight =
            routes.map_or(own_weight, |routes| weight(routes.mean_target, routes.mean_timeout));
        let max_pause = routes.and_then(|routes| routes.gap_limit);

        Self {
            decode_tokens: outlook.mean(),
            tokens_per_event: f64::from(engine.tokens_per_event),
            cache_tokens: engine.cache_tokens as f64,
            batch_ms,
            own_weight,
            others_weight,
            late_ms: millis(routes.map_or(call.target, |routes| routes.mean_target)),
            max_pause_ms: max_pause.map(millis).filter(|max_ms| *max_ms > 0.0),
        }
    }
}

/// Returns the weight of a delay of the whole response, relative to one of the first event.
fn weight(target: Duration, timeout: Duration) -> f64 {
    (millis(target) / millis(timeout).max(1.0)).min(1.0)
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
