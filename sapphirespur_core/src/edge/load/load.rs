//! Work of this router at one upstream, and estimates of the upstream's speed.

use std::time::Duration;

use crate::time::Time;

/// Smoothing factor of the exponentially weighted moving averages over requests.
const SMOOTHING_FACTOR: f64 = 0.2;

/// Smoothing factor of the moving average of event intervals; smaller, because many events arrive
/// per second.
const EVENT_SMOOTHING_FACTOR: f64 = 0.05;

/// Requests at an upstream, and moving averages of its speed and failures.
#[derive(Clone, Debug)]
pub struct Load {
    /// Requests that have not ended.
    pub in_flight: u32,
    /// Prompt tokens of requests that have not received their first event.
    pub pending_tokens: u64,
    /// Prefill speed in tokens per millisecond; none before the first sample.
    pub prefill_tokens_per_ms: Option<f64>,
    /// Time from the first event of a request to its end, or of a plain call as a whole, in
    /// milliseconds.
    pub service_ms: f64,
    /// Interval between events of a stream, in milliseconds; zero before the first sample.
    pub event_interval_ms: f64,
    /// Moving average of request failures, from zero to one.
    pub failure_rate: f64,
    /// Tokens of unshared prompt segments sent since the last report to other routers.
    pub unshared_tokens: u32,
    /// Send time of the oldest request after which nothing has been received from the upstream;
    /// none once data arrives.
    unanswered_since: Option<Time>,
}

impl Load {
    /// Fewest queued tokens for a sample of the prefill speed: with fewer, the time to the first
    /// event is mostly due to other work.
    const MIN_SPEED_SAMPLE_TOKENS: u64 = 2_000;

    /// Range to which samples of the prefill speed are clamped, relative to the expected speed.
    const SPEED_RANGE: (f64, f64) = (0.1, 4.0);

    /// Half-life of the failure rate, and of the event interval of an idle upstream.
    const HALF_LIFE: Duration = Duration::from_secs(3);

    /// Initial estimate of the service time, in milliseconds.
    const INITIAL_SERVICE_MS: f64 = 1_000.0;

    /// Creates a load without requests.
    pub fn new() -> Self {
        Self {
            in_flight: 0,
            pending_tokens: 0,
            prefill_tokens_per_ms: None,
            service_ms: Self::INITIAL_SERVICE_MS,
            event_interval_ms: 0.0,
            failure_rate: 0.0,
            unshared_tokens: 0,
            unanswered_since: None,
        }
    }

    /// Records a request with `tokens` to prefill that is sent now.
    pub fn on_sent(&mut self, now: Time, tokens: u64) {
        self.in_flight += 1;
        self.pending_tokens += tokens;
        self.unanswered_since.get_or_insert(now);
    }

    /// Records that data was received from the upstream.
    pub fn on_received(&mut self) {
        self.unanswered_since = None;
    }

    /// Returns how long nothing has been received since the oldest unanswered request; zero when
    /// there is no such request.
    pub fn unresponsive_for(&self, now: Time) -> Duration {
        self.unanswered_since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Records the first event of a request, received `delay` after its placement. Its prefill
    /// queue held `queued_tokens`, and `expected_speed` is the expected prefill speed in tokens per
    /// millisecond; none when the delay says nothing of the upstream's speed.
    pub fn on_first_event(
        &mut self,
        tokens: u64,
        queued_tokens: u64,
        delay: Duration,
        expected_speed: Option<f64>,
    ) {
        self.on_received();
        self.pending_tokens = self.pending_tokens.saturating_sub(tokens);
        let Some(expected_speed) = expected_speed else { return };
        if queued_tokens < Self::MIN_SPEED_SAMPLE_TOKENS {
            return;
        }

        let speed = queued_tokens as f64 / (delay.as_secs_f64() * 1_000.0).max(1.0);
        let (low, high) = Self::SPEED_RANGE;
        let speed = speed.clamp(expected_speed * low, expected_speed * high);
        let current = self.prefill_tokens_per_ms.unwrap_or(speed);
        self.prefill_tokens_per_ms = Some(current + SMOOTHING_FACTOR * (speed - current));
    }

    /// Records the end of a request with `pending` tokens not yet prefilled; `service_time` is its
    /// service time if it was answered.
    pub fn on_end(&mut self, pending: u64, service_time: Option<Duration>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.pending_tokens = self.pending_tokens.saturating_sub(pending);
        if let Some(service_time) = service_time {
            self.service_ms +=
                SMOOTHING_FACTOR * (service_time.as_secs_f64() * 1_000.0 - self.service_ms);
        }
        if self.in_flight == 0 {
            self.unanswered_since = None;
        }
    }

    /// Records `count` events of a stream that arrived `gap` after the previous ones.
    pub fn on_events(&mut self, count: u32, gap: Duration) {
        self.on_received();
        let event_ms = gap.as_secs_f64() * 1_000.0 / f64::from(count.max(1));
        self.event_interval_ms += EVENT_SMOOTHING_FACTOR * (event_ms - self.event_interval_ms);
    }

    /// Records whether a request failed because of the upstream.
    pub fn record_outcome(&mut self, has_failed: bool) {
        let sample = if has_failed { 1.0 } else { 0.0 };
        self.failure_rate += SMOOTHING_FACTOR * (sample - self.failure_rate);
    }

    /// Decays the failure rate over `elapsed`, so that an upstream avoided for its failures is
    /// tried again, and the event interval of an idle upstream.
    pub fn decay(&mut self, elapsed: Duration) {
        let half_lives = elapsed.as_secs_f64() / Self::HALF_LIFE.as_secs_f64();
        self.failure_rate *= 0.5_f64.powf(half_lives);
        if self.in_flight == 0 {
            self.event_interval_ms *= 0.5_f64.powf(half_lives);
        }
    }
}

impl Default for Load {
    fn default() -> Self {
        Self::new()
    }
}
