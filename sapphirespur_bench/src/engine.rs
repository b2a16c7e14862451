//! Upstream with slots, batches and cold starts.

use std::collections::BTreeMap;
use std::time::Duration;

use sapphirespur_core::request::AttemptId;
use sapphirespur_core::time::Time;

/// Tokens that come in one step.
pub const STEP_TOKENS: u32 = 8;

/// How an upstream behaves.
#[derive(Clone, Copy, Debug)]
pub struct EngineShape {
    /// Requests that it bears at once when warm.
    pub slots: u32,
    /// Requests that it bears at once when cold.
    pub cold_slots: u32,
    /// Time for which it is cold.
    pub cold_for: Duration,
    /// Time for which it refuses after it fell over.
    pub fallen_for: Duration,
    /// Time to first token.
    pub first_token: Duration,
    /// Time of one step.
    pub step: Duration,
}

/// Call under way.
#[derive(Clone, Copy, Debug)]
pub struct Running {
    /// Request that is served.
    pub request: u64,
    /// Tokens to come.
    pub left: u32,
}

/// Answer of an upstream to a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The call runs; its first step comes after the time.
    Runs(Duration),
    /// The call is refused.
    Refused,
    /// The upstream fell over; these calls broke.
    Fell(Vec<AttemptId>),
}

/// Upstream.
#[derive(Clone, Debug)]
pub struct Engine {
    /// How it behaves.
    pub shape: EngineShape,
    /// Calls under way.
    pub running: BTreeMap<AttemptId, Running>,
    /// Whether it can be reached at all.
    pub is_up: bool,
    /// Time until which it is cold.
    pub cold_until: Time,
    fallen_until: Time,
    /// Times that it fell over.
    pub falls: u32,
}

impl Engine {
    /// Creates an upstream that is cold from `now` on.
    pub fn new(now: Time, shape: EngineShape) -> Self {
        Self {
            shape,
            running: BTreeMap::new(),
            is_up: true,
            cold_until: now + shape.cold_for,
            fallen_until: now,
            falls: 0,
        }
    }

    /// Makes it cold again.
    pub fn chill(&mut self, now: Time) {
        self.cold_until = now + self.shape.cold_for;
    }

    /// Returns how many requests it bears now.
    pub fn bears(&self, now: Time) -> u32 {
        if now < self.cold_until { self.shape.cold_slots } else { self.shape.slots }
    }

    /// Takes a call.
    pub fn call(&mut self, now: Time, id: AttemptId, request: u64, tokens: u32) -> Admission {
        if now < self.fallen_until {
            return Admission::Refused;
        }
        if self.running.len() as u32 + 1 > self.bears(now) {
            self.falls += 1;
            self.fallen_until = now + self.shape.fallen_for;
            let mut broken: Vec<AttemptId> = self.running.keys().copied().collect();
            broken.push(id);
            self.running.clear();
            return Admission::Fell(broken);
        }

        self.running.insert(id, Running { request, left: tokens });
        Admission::Runs(self.shape.first_token)
    }

    /// Produces the tokens of one step; returns how many came and whether the answer is whole.
    pub fn step(&mut self, id: AttemptId) -> Option<(Running, u32, bool)> {
        let running = self.running.get_mut(&id)?;
        let tokens = running.left.min(STEP_TOKENS);
        running.left -= tokens;
        let running = *running;
        if running.left == 0 {
            self.running.remove(&id);
        }

        Some((running, tokens, running.left == 0))
    }
}
