//! When refused clients should come back.

use std::time::Duration;

use crate::edge::{CallInfo, Decline, DeclineReason};

/// Refusals so far, which spread the clients' returns.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    count: u64,
}

impl Backoff {
    /// Shortest and longest time that a refused client is told to stay away.
    const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(4));

    /// Golden ratio: multiples of it spread refused clients, so that they do not return together.
    const GOLDEN: f64 = 0.618_033_988_749_895;

    /// Refuses a call that would have waited for `expected`.
    pub fn decline(
        &mut self,
        call: &CallInfo,
        reason: DeclineReason,
        expected: Option<Duration>,
    ) -> Decline {
        self.count += 1;
        let spread = 0.5 + (self.count as f64 * Self::GOLDEN).fract();

        let (least, most) = Self::RETRY_AFTER;
        let excess = expected.unwrap_or(call.target).max(least * 2);
        let retry_after = excess.mul_f64(spread).clamp(least, most).min(call.remaining / 3);
        Decline {
            reason,
            retry_after,
            expected,
            share_usage: 0.0,
            pressure: 0.0,
            over_share_factor: 1.0,
        }
    }
}
