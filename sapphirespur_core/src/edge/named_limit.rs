//! Limit of requests per second that an upstream has named, at one router.

use std::time::Duration;

use crate::time::Time;

/// Token bucket for this router's part of the requests that an upstream takes from all routers.
#[derive(Clone, Debug)]
pub struct NamedLimit {
    /// Requests per second from all routers together.
    pub per_s: f64,
    tokens: f64,
    refilled_at: Time,
}

impl NamedLimit {
    /// Lowest limit that is applied, in requests per second. Without any request, a router would not
    /// learn that the limit has ended.
    const MIN_PER_S: f64 = 0.25;

    /// Time of unused requests that are kept for later.
    const BURST_TIME: Duration = Duration::from_millis(250);

    /// Smallest capacity of the bucket; less would allow no request at all.
    const MIN_CAPACITY: f64 = 1.0;

    /// Creates a limit with an empty bucket.
    pub fn new(now: Time, per_s: f64) -> Self {
        Self { per_s, tokens: 0.0, refilled_at: now }
    }

    /// Returns the number of routers that may keep a token each: their tokens and the limit itself
    /// stay well below one and a half times the limit in four seconds.
    pub(super) fn max_routers(&self) -> usize {
        (self.per_s + 2.5) as usize
    }

    /// Returns the requests per second of a router with this `part` of the whole.
    pub(super) fn own_rate(&self, part: f64) -> f64 {
        self.per_s.max(Self::MIN_PER_S) * part
    }

    /// Returns the time until the next request is allowed at `rate` requests per second; none when
    /// the rate is zero.
    pub(super) fn wait(&mut self, now: Time, rate: f64) -> Option<Duration> {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        let capacity = (rate * Self::BURST_TIME.as_secs_f64()).max(Self::MIN_CAPACITY);
        self.tokens = (self.tokens + elapsed * rate).min(capacity);
        self.refilled_at = now;

        let missing = (1.0 - self.tokens).max(0.0);
        if missing == 0.0 {
            return Some(Duration::ZERO);
        }
        Duration::try_from_secs_f64(missing / rate).ok()
    }

    /// Records a request.
    pub(super) fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}
