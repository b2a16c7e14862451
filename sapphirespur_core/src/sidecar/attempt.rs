//! State of one attempt at a sidecar.

use std::time::Duration;

use crate::fair_scheduler::ClassQueue;
use crate::limiter::{COLD_FIRST_TOKEN_THRESHOLD, Epoch, LatencySample};
use crate::request::Repeatability;
use crate::time::Time;

/// Whether the call of an attempt has been sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// Its intent is being recorded in the ledger; the call has not been sent.
    RecordingIntent,
    /// The call was sent to the upstream.
    Called {
        /// Time at which it was sent.
        since: Time,
    },
}

/// Attempt that has started and not ended.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    /// Queue that its request waited in.
    pub queue: ClassQueue,
    /// Cost expected by the caller, in cost units.
    pub cost_hint: u64,
    /// Cost charged to its queue so far, in cost units.
    pub charged: u64,
    /// Whether and how the call may be repeated.
    pub repeatability: Repeatability,
    /// Whether its call has been sent to the upstream.
    pub stage: Stage,
    /// Epoch of the limiter in which the call was sent; before that, in which the attempt started.
    pub epoch: Epoch,
    /// Number of tokens received from the upstream.
    pub tokens: u64,
    /// Whether its missing first token has been reported to the limiter as a failure.
    pub is_overdue: bool,
    first_token: Option<Time>,
    last_token: Option<Time>,
}

impl Attempt {
    /// Creates an attempt whose call has not been sent.
    pub fn new(
        queue: ClassQueue,
        cost_hint: u64,
        charged: u64,
        repeatability: Repeatability,
        epoch: Epoch,
    ) -> Self {
        Self {
            queue,
            cost_hint,
            charged,
            repeatability,
            stage: Stage::RecordingIntent,
            epoch,
            tokens: 0,
            is_overdue: false,
            first_token: None,
            last_token: None,
        }
    }

    /// Records received tokens and returns whether they are the first ones.
    pub fn on_tokens(&mut self, now: Time, count: u32) -> bool {
        self.tokens += u64::from(count);
        self.last_token = Some(now);
        let is_first = self.first_token.is_none();
        if is_first {
            self.first_token = Some(now);
        }

        is_first
    }

    /// Returns the time from the call to the first token, or `None` before the first token.
    pub fn time_to_first_token(&self) -> Option<Duration> {
        let Stage::Called { since } = self.stage else { return None };

        self.first_token.map(|first| first.since(since))
    }

    /// Returns the latency measurements: time to first token and mean gap between tokens.
    pub fn sample(&self) -> LatencySample {
        let token_gap = match (self.first_token, self.last_token) {
            (Some(first), Some(last)) if self.tokens > 1 => {
                Some(last.since(first) / (self.tokens - 1).min(u64::from(u32::MAX)) as u32)
            }
            _ => None,
        };

        LatencySample { first_token: self.time_to_first_token(), token_gap }
    }

    /// Returns the time from which a missing first token counts as evidence of a cold upstream.
    ///
    /// `None` before the call, after the first token and once it has been counted.
    pub fn first_token_deadline(&self) -> Option<Time> {
        match self.stage {
            Stage::Called { since } if self.first_token.is_none() && !self.is_overdue => {
                Some(since + COLD_FIRST_TOKEN_THRESHOLD)
            }
            Stage::Called { .. } | Stage::RecordingIntent => None,
        }
    }
}
