//! Upstream of the fleet simulator, with slots, cold starts and crashes.

use std::collections::BTreeMap;
use std::time::Duration;

use sapphirespur_core::request::AttemptId;
use sapphirespur_core::time::Time;

/// Number of tokens that a call produces in one step.
pub const TOKENS_PER_STEP: u32 = 8;

/// Fixed parameters of an upstream in the fleet simulator: its slots, cold period and latencies.
#[derive(Clone, Copy, Debug)]
pub struct EngineParams {
    /// Number of concurrent requests that it can run when warm.
    pub slots: u32,
    /// Number of concurrent requests that it can run when cold.
    pub cold_slots: u32,
    /// Time for which it is cold after a start.
    pub cold_duration: Duration,
    /// Time for which it refuses all calls after a crash.
    pub crash_recovery: Duration,
    /// Time from a call to its first tokens.
    pub first_token_latency: Duration,
    /// Time between two steps of a call.
    pub step_duration: Duration,
}

/// Call that the upstream runs.
#[derive(Clone, Copy, Debug)]
pub struct RunningCall {
    /// Number of the request that is served.
    pub request: u64,
    /// Number of tokens still to be produced.
    pub tokens_left: u32,
}

/// Result of a call to an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The call runs; its first tokens are produced after this time.
    Started(Duration),
    /// The call is refused, because the upstream recovers from a crash.
    Refused,
    /// The upstream exceeded its capacity and crashed; these calls failed.
    Crashed(Vec<AttemptId>),
}

/// Upstream in the fleet simulator: its running calls, cold period and crashes.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Fixed slots, cold period and latencies.
    pub params: EngineParams,
    /// Calls that it runs.
    pub running: BTreeMap<AttemptId, RunningCall>,
    /// Whether it accepts connections.
    pub is_up: bool,
    /// Time at which it becomes warm.
    pub cold_until: Time,
    crashed_until: Time,
    /// Number of crashes caused by exceeded capacity.
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

    /// Starts a new cold period.
    pub fn reset_to_cold(&mut self, now: Time) {
        self.cold_until = now + self.params.cold_duration;
    }

    /// Returns the number of concurrent requests that it can run now.
    pub fn capacity(&self, now: Time) -> u32 {
        if now < self.cold_until { self.params.cold_slots } else { self.params.slots }
    }

    /// Starts a call that produces `tokens`; a call beyond the capacity crashes the upstream.
    pub fn call(&mut self, now: Time, id: AttemptId, request: u64, tokens: u32) -> Admission {
        if now < self.crashed_until {
            return Admission::Refused;
        }
        if self.running.len() as u32 + 1 > self.capacity(now) {
            self.crashes += 1;
            self.crashed_until = now + self.params.crash_recovery;
            let mut failed: Vec<AttemptId> = self.running.keys().copied().collect();
            failed.push(id);
            self.running.clear();
            return Admission::Crashed(failed);
        }

        self.running.insert(id, RunningCall { request, tokens_left: tokens });
        Admission::Started(self.params.first_token_latency)
    }

    /// Produces the tokens of one step.
    ///
    /// Returns the call after the step, the number of tokens produced and whether the answer is
    /// complete; `None` if the call does not run any more.
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
