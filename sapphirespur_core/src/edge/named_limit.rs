//! Limit of requests per second that an upstream has named, at one router.

use std::time::Duration;

use crate::time::Time;

/// Token bucket for this router's part of the requests that an upstream takes from all routers.
///
/// Where the routers are so many that a token each would exceed the slack, tokens that are not used
/// expire soon: all routers together then keep no more of them than come up in that time.
#[derive(Clone, Debug)]
pub struct NamedLimit {
    /// Requests per second from all routers together.
    pub per_s: f64,
    /// Tokens and the fraction of the next one; none before the first use.
    tokens: Option<f64>,
    refilled_at: Time,
}

impl NamedLimit {
    /// Lowest limit that is applied, in requests per second. Without any request, a router would not
    /// learn that the limit has ended.
    const MIN_PER_S: f64 = 0.25;

    /// Time of unused requests that are kept for later, and after which a token expires.
    const TOKEN_TTL: Duration = Duration::from_secs(1);

    /// Tokens that routers may keep beyond those that come up in a second, by what the platform
    /// tolerates in four seconds beyond the limit.
    const MAX_KEPT_TOKENS: f64 = 2.5;

    /// Creates a limit without tokens.
    pub fn new(now: Time, per_s: f64) -> Self {
        Self { per_s, tokens: None, refilled_at: now }
    }

    /// Returns the time until one of `routers` routers, with this `part` of the limit, may send the
    /// next request.
    ///
    /// `phase` is the fraction of the first token that it starts with, which differs between routers
    /// so that their tokens do not come up at the same time.
    pub(super) fn wait(
        &mut self,
        now: Time,
        part: f64,
        routers: usize,
        phase: impl Fn() -> f64,
    ) -> Duration {
        let rate = self.per_s.max(Self::MIN_PER_S) * part;
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let tokens = self.tokens.unwrap_or_else(phase) + elapsed * rate;
        let capacity = 1.0 + rate * Self::TOKEN_TTL.as_secs_f64();
        let tokens = if routers as f64 <= self.per_s + Self::MAX_KEPT_TOKENS {
            tokens.min(capacity)
        } else {
            // Whole tokens expire; the time at which the next one comes up stays.
            tokens - (tokens - capacity).max(0.0).ceil()
        };
        self.tokens = Some(tokens);

        let missing = (1.0 - tokens).max(0.0);
        Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::MAX)
    }

    /// Records a request.
    pub(super) fn spend(&mut self) {
        self.tokens = self.tokens.map(|tokens| tokens - 1.0);
    }
}
