//! Upstream with slots, batches and cold starts.

use std::collections::BTreeMap;
use std::time::Duration;

use sapphirespur_core::request::AttemptId;
use sapphirespur_core::time::Time;

/// Tokens that come in one step.
pub const TOKENS_PER_STEP: u32 = 8;

/// How an upstream behaves.
#[derive(Clone, Copy, Debug)]
pub struct EngineParams {
    /// Requests that it bears at once when warm.
    pub slots: u32,
    /// Requests that it bears at once when cold.
    pub cold_slots: u32,
    /// Time for which it is cold.
    pub cold_duration: Duration,
    /// Time for which it refuses after it fell over.
    pub crash_recovery: Duration,
    /// Time to first token.
    pub first_token_latency: Duration,
    /// Time of one step.
    pub step_duration: Duration,
}

/// Call under way.
#[derive(Clone, Copy, Debug)]
pub struct RunningCall {
    /// Request that is served.
    pub request: u64,
    /// Tokens to come.
    pub tokens_left: u32,
}

/// Answer of an upstream to a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The call runs; its first step comes after the time.
    Started(Duration),
    /// The call is refused.
    Refused,
    /// The upstream fell over; these calls broke.
    Crashed(Vec<AttemptId>),
}

/// Upstream.
#[derive(Clone, Debug)]
pub struct Engine {
    /// How it behaves.
    pub params: EngineParams,
    /// Calls under way.
    pub running: BTreeMap<AttemptId, RunningCall>,
    /// Whether it can be reached at all.
    pub is_up: bool,
    /// Time until which it is cold.
    pub cold_until: Time,
    crashed_until: Time,
    /// Times that it fell over.
    pub crashes: u32,
}

impl Engine {
    /// Creates an upstream that is cold from `now` on.
    pub fn new(now: Time, params: EngineParams) -> Self {
        Self {
            params,
            running: BTreeMap::new(),
            is_up: true,
            cold_until: now + params.cold_duration,
            crashed_until: now,
            crashes: 0,
        }
    }

    /// Makes it cold again.
    pub fn reset_to_cold(&mut self, now: Time) {
        self.cold_until = now + self.params.cold_duration;
    }

    /// Returns how many requests it bears now.
    pub fn capacity(&self, now: Time) -> u32 {
        if now < self.cold_until { self.params.cold_slots } else { self.params.slots }
    }

    /// Takes a call.
    pub fn call(&mut self, now: Time, id: AttemptId, request: u64, tokens: u32) -> Admission {
        if now < self.crashed_until {
            return Admission::Refused;
        }
        if self.running.len() as u32 + 1 > self.capacity(now) {
            self.crashes += 1;
            self.crashed_until = now + self.params.crash_recovery;
            let mut broken: Vec<AttemptId> = self.running.keys().copied().collect();
            broken.push(id);
            self.running.clear();
            return Admission::Crashed(broken);
        }

        self.running.insert(id, RunningCall { request, tokens_left: tokens });
        Admission::Started(self.params.first_token_latency)
    }

    /// Produces the tokens of one step; returns how many came and whether the answer is whole.
    pub fn step(&mut self, id: AttemptId) -> Option<(RunningCall, u32, bool)> {
        let running = self.running.get_mut(&id)?;
        let tokens = running.tokens_left.min(TOKENS_PER_STEP);
        running.tokens_left -= tokens;
        let running = *running;
        if running.tokens_left == 0 {
            self.running.remove(&id);
        }

        Some((running, tokens, running.tokens_left == 0))
    }
}
