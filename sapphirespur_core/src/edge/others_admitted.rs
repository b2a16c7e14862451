//! What other routers have admitted of one workspace, as a part of its share at that time.

use std::time::Duration;

use crate::time::Time;

/// Decaying sum of the tokens that other routers admitted, and of the same as parts of the share.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OthersAdmitted {
    /// Tokens, as last reported.
    tokens: f64,
    /// The same tokens, each divided by the share when it was reported.
    shares: f64,
    pub sampled_at: Time,
}

impl OthersAdmitted {
    /// Takes what the reports say now. What they say beyond the last sample was admitted at `share`.
    pub fn sample(&mut self, now: Time, tokens: f64, share: f64, window: Duration) {
        // Reports arrive less often than samples are taken, and are as of when they were sent.
        if tokens == self.tokens {
            return;
        }

        let elapsed = now.since(self.sampled_at).as_secs_f64();
        let kept = self.tokens * (-elapsed / window.as_secs_f64()).exp();
        let added = (tokens - kept).max(0.0);
        self.shares = (tokens - added) * self.shares_per_token(share) + added / share;
        self.tokens = tokens;
        self.sampled_at = now;
    }

    /// Returns the part of the share that one admitted token used, on average; that of `share` without
    /// a sample.
    pub fn shares_per_token(&self, share: f64) -> f64 {
        if self.tokens > 0.0 { self.shares / self.tokens } else { 1.0 / share }
    }
}
