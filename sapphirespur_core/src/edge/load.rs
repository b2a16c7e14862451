//! Work that one router has at one upstream, and what it has learnt of the upstream's speed.

use std::time::Duration;

use crate::time::Time;

/// Part of a new sample in a running mean.
const SMOOTHING_FACTOR: f64 = 0.2;

/// Part of a new event in the mean time between events, of which there are many a second.
const EVENT_SMOOTHING_FACTOR: f64 = 0.05;

/// Requests at an upstream and how fast it serves them.
#[derive(Clone, Debug)]
pub struct Load {
    /// Requests that have not ended.
    pub in_flight: u32,
    /// Prompt tokens of requests that have not brought their first event.
    pub pending_tokens: u64,
    /// Prompt tokens read in a millisecond, once known.
    pub prefill_tokens_per_ms: Option<f64>,
    /// Time from the first event of a request to its end, or of a whole plain call.
    pub service_ms: f64,
    /// Time between two events of a stream.
    pub event_interval_ms: f64,
    /// Part of the latest requests that failed.
    pub failure_rate: f64,
    /// Tokens of prompt parts that no other request shares, sent since the last report.
    pub unshared_tokens: u32,
    /// When a request was sent that the upstream has met with silence since.
    unanswered_since: Option<Time>,
}

impl Load {
    /// Fewest tokens of a prompt whose first event tells of the reading speed; the first event of a
    /// shorter one takes mostly other work.
    const MIN_SPEED_SAMPLE_TOKENS: u64 = 2_000;

    /// Range of reading speeds against the expected one that are taken for real.
    const SPEED_RANGE: (f64, f64) = (0.1, 4.0);

    /// Time in which the weight of what was seen halves.
    const HALF_LIFE: Duration = Duration::from_secs(3);

    /// Creates a load without requests.
    pub fn new(service_ms: f64) -> Self {
        Self {
            in_flight: 0,
            pending_tokens: 0,
            prefill_tokens_per_ms: None,
            service_ms,
            event_interval_ms: 0.0,
            failure_rate: 0.0,
            unshared_tokens: 0,
            unanswered_since: None,
        }
    }

    /// Notes a request that is sent with `tokens` to read.
    pub fn on_sent(&mut self, now: Time, tokens: u64) {
        self.in_flight += 1;
        self.pending_tokens += tokens;
        self.unanswered_since.get_or_insert(now);
    }

    /// Notes bytes from the upstream.
    pub fn on_received(&mut self) {
        self.unanswered_since = None;
    }

    /// Returns the time for which the upstream has met requests with silence.
    pub fn unresponsive_for(&self, now: Time) -> Duration {
        self.unanswered_since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Notes the first event of a request, whose reading waited for `ahead` tokens in all.
    pub fn on_first_event(
        &mut self,
        tokens: u64,
        queued_tokens: u64,
        after: Duration,
        expected: f64,
    ) {
        self.on_received();
        self.pending_tokens = self.pending_tokens.saturating_sub(tokens);
        if queued_tokens < Self::MIN_SPEED_SAMPLE_TOKENS {
            return;
        }

        let speed = queued_tokens as f64 / (after.as_secs_f64() * 1_000.0).max(1.0);
        let (low, high) = Self::SPEED_RANGE;
        let speed = speed.clamp(expected * low, expected * high);
        let current = self.prefill_tokens_per_ms.unwrap_or(speed);
        self.prefill_tokens_per_ms = Some(current + SMOOTHING_FACTOR * (speed - current));
    }

    /// Notes the end of a request; `pending` of its tokens were still to be read.
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

    /// Notes events of one stream that came `gap` after the ones before.
    pub fn on_events(&mut self, count: u32, gap: Duration) {
        self.on_received();
        let event_ms = gap.as_secs_f64() * 1_000.0 / f64::from(count.max(1));
        self.event_interval_ms += EVENT_SMOOTHING_FACTOR * (event_ms - self.event_interval_ms);
    }

    /// Notes whether a request failed by the upstream's fault.
    pub fn record_outcome(&mut self, has_failed: bool) {
        let sample = if has_failed { 1.0 } else { 0.0 };
        self.failure_rate += SMOOTHING_FACTOR * (sample - self.failure_rate);
    }

    /// Lets what was seen lose weight over `elapsed`, so that an avoided upstream is tried again.
    pub fn decay(&mut self, elapsed: Duration) {
        let half_lives = elapsed.as_secs_f64() / Self::HALF_LIFE.as_secs_f64();
        self.failure_rate *= 0.5_f64.powf(half_lives);
        if self.in_flight == 0 {
            self.event_interval_ms *= 0.5_f64.powf(half_lives);
        }
    }
}
