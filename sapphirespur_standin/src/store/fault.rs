//! Faults of the service, set from outside.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Fault of the service.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Refuses every call.
    pub down: bool,
    /// Answers later by so many milliseconds.
    pub slow_ms: u64,
    /// Writes whose answer is lost after they took effect.
    pub lose_answers: u32,
    /// Keeps watches open without telling changes.
    pub silent_watches: bool,
}

/// Fault in force with the counts of calls.
#[derive(Clone, Debug, Default)]
pub struct FaultState {
    /// Fault in force.
    pub fault: Fault,
    /// Calls by kind.
    pub call_counts: BTreeMap<String, u64>,
}

impl FaultState {
    /// Counts a call and returns how it fares.
    pub fn on_call(&mut self, kind: &str) -> CallOutcome {
        *self.call_counts.entry(kind.to_owned()).or_default() += 1;
        if self.fault.down {
            return CallOutcome::Refused;
        }

        let is_write = !matches!(kind, "kv/range" | "watch");
        let is_response_lost = is_write && self.fault.lose_answers > 0;
        if is_response_lost {
            self.fault.lose_answers -= 1;
        }
        CallOutcome::Accepted { delay: Duration::from_millis(self.fault.slow_ms), is_response_lost }
    }
}

/// How a call fares.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// Takes no effect.
    Refused,
    /// Takes effect.
    Accepted {
        /// Time until the answer.
        delay: Duration,
        /// Whether the answer is lost.
        is_response_lost: bool,
    },
}
