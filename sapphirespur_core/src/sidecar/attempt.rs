//! Attempt that a sidecar serves.

use std::time::Duration;

use crate::fair_scheduler::ClassQueue;
use crate::limiter::{COLD_FIRST_TOKEN_THRESHOLD, Epoch, Sample};
use crate::request::Repeatability;
use crate::time::Time;

/// How far an attempt is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// Its intent is being recorded.
    RecordingIntent,
    /// It was sent to the upstream.
    Called {
        /// Time of the call.
        since: Time,
    },
}

/// Attempt under way.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    /// Queue from which it came.
    pub choice: ClassQueue,
    /// Cost that the caller expected.
    pub cost_hint: u64,
    /// Cost charged so far.
    pub charged: u64,
    /// Whether and how the call may be repeated.
    pub repeatability: Repeatability,
    /// How far it is.
    pub stage: Stage,
    /// Epoch of the limit in which it was called.
    pub epoch: Epoch,
    /// Tokens that came.
    pub tokens: u64,
    /// Whether the wait for the first token has been counted as a failure.
    pub is_overdue: bool,
    first_token: Option<Time>,
    last_token: Option<Time>,
}

impl Attempt {
    /// Creates an attempt that has not been called.
    pub fn new(
        choice: ClassQueue,
        cost_hint: u64,
        charged: u64,
        repeatability: Repeatability,
        epoch: Epoch,
    ) -> Self {
        Self {
            choice,
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

    /// Notes tokens, and tells whether they are the first ones.
    pub fn on_tokens(&mut self, now: Time, count: u32) -> bool {
        self.tokens += u64::from(count);
        self.last_token = Some(now);
        let is_first = self.first_token.is_none();
        if is_first {
            self.first_token = Some(now);
        }

        is_first
    }

    /// Returns the time from the call to the first token.
    pub fn time_to_first_token(&self) -> Option<Duration> {
        let Stage::Called { since } = self.stage else { return None };

        self.first_token.map(|first| first.since(since))
    }

    /// Returns what was measured.
    pub fn sample(&self) -> Sample {
        let token_gap = match (self.first_token, self.last_token) {
            (Some(first), Some(last)) if self.tokens > 1 => {
                Some(last.since(first) / (self.tokens - 1).min(u64::from(u32::MAX)) as u32)
            }
            _ => None,
        };

        Sample { first_token: self.time_to_first_token(), token_gap }
    }

    /// Returns the time at which a missing first token becomes evidence of a cold upstream.
    pub fn first_token_deadline(&self) -> Option<Time> {
        match self.stage {
            Stage::Called { since } if self.first_token.is_none() && !self.is_overdue => {
                Some(since + COLD_FIRST_TOKEN_THRESHOLD)
            }
            Stage::Called { .. } | Stage::RecordingIntent => None,
        }
    }
}
