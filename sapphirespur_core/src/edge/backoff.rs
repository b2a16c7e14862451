//! Retry-after times of declined requests.

use std::time::Duration;

use crate::edge::{CallInfo, Decline, DeclineReason};

/// Number of declined requests, which spreads their retry-after times.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    count: u64,
}

impl Backoff {
    /// Shortest and longest retry-after time.
    const RETRY_AFTER_RANGE: (Duration, Duration) =
        (Duration::from_millis(200), Duration::from_secs(4));

    /// Shortest retry-after time of a request under which upstreams have ended.
    const MIN_QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(5);

    /// Golden ratio. The fractional parts of its multiples are evenly spread, so that declined
    /// clients do not all retry at the same time.
    const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

    /// Declines a call because all upstreams are paused; the client should not retry before the end
    /// of the shortest pause.
    pub fn decline_for_pause(&mut self, call: &CallInfo, pause: Duration) -> Decline {
        let decline = self.decline(call, DeclineReason::Paused, Some(pause));
        let retry_after = decline.retry_after.max(pause).min(call.remaining / 3);

        Decline { retry_after, ..decline }
    }

    /// Declines a call because upstreams have ended under it or its like; the client should not retry
    /// before `retry_after`.
    pub fn decline_quarantined(&mut self, call: &CallInfo, retry_after: Duration) -> Decline {
        let decline = self.decline(call, DeclineReason::Quarantined, None);
        let retry_after = retry_after.max(Self::MIN_QUARANTINE_RETRY_AFTER);

        Decline { retry_after, ..decline }
    }

    /// Declines a call. `expected_delay` is the time it would have waited, from which the
    /// retry-after time is derived; the target latency is used when it is absent.
    pub fn decline(
        &mut self,
        call: &CallInfo,
        reason: DeclineReason,
        expected_delay: Option<Duration>,
    ) -> Decline {
        self.count += 1;
        let jitter = 0.5 + (self.count as f64 * Self::GOLDEN_RATIO).fract();

        let (min, max) = Self::RETRY_AFTER_RANGE;
        let delay = expected_delay.unwrap_or(call.target).max(min * 2);
        let retry_after = delay.mul_f64(jitter).clamp(min, max).min(call.remaining / 3);
        Decline {
            reason,
            retry_after,
            expected_delay,
            share_usage: 0.0,
            pressure: 0.0,
            over_share_factor: 1.0,
        }
    }
}
