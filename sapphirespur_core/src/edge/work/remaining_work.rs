//! Remaining work of this router's requests at one upstream.

use crate::edge::work::RequestWork;

/// Sums over this router's running requests at one upstream. The tokens to prefill are part of
/// [`Load`](crate::edge::Load).
#[derive(Clone, Copy, Debug, Default)]
pub struct RemainingWork {
    requests: u32,
    decode_tokens: f64,
    memory_tokens: f64,
}

impl RemainingWork {
    /// Returns the output tokens that are expected to be generated yet.
    pub fn decode_tokens(&self) -> f64 {
        self.decode_tokens
    }

    /// Returns the memory that the requests are expected to need at their ends, in tokens.
    pub fn memory_tokens(&self) -> f64 {
        self.memory_tokens
    }

    /// Records a request that has been placed.
    pub(in crate::edge) fn on_sent(&mut self, work: &RequestWork) {
        self.requests += 1;
        self.add(work, 1.0);
    }

    /// Records that the response to a request has `events` events now.
    pub(in crate::edge) fn on_events(&mut self, work: &mut RequestWork, events: u32) {
        self.add(work, -1.0);
        work.left = work.left_after(events);
        work.done = work.tokens(events);
        self.add(work, 1.0);
    }

    /// Records the end of a request.
    pub(in crate::edge) fn on_end(&mut self, work: &RequestWork) {
        self.requests = self.requests.saturating_sub(1);
        if self.requests == 0 {
            *self = Self::default();
            return;
        }
        self.add(work, -1.0);
    }

    fn add(&mut self, work: &RequestWork, sign: f64) {
        let memory = work.estimate.prefill_tokens as f64 + work.done + work.left;
        self.decode_tokens = (self.decode_tokens + sign * work.left).max(0.0);
        self.memory_tokens = (self.memory_tokens + sign * memory).max(0.0);
    }
}
