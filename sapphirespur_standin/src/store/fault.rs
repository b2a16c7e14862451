//! Faults of the key-value store, set through its control interface.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Fault of the key-value store; the default is none.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Refuses every call with status 503.
    pub down: bool,
    /// Delay before each call is processed, in milliseconds.
    pub slow_ms: u64,
    /// Number of further writes that take effect but whose response is withheld.
    pub lose_answers: u32,
    /// Keeps watches open without reporting changes.
    pub silent_watches: bool,
}

/// Current fault and call counters of the store.
#[derive(Clone, Debug, Default)]
pub struct FaultState {
    /// Fault that applies to calls from now on.
    pub fault: Fault,
    /// Number of calls by method, for example `kv/range`.
    pub call_counts: BTreeMap<String, u64>,
}

impl FaultState {
    /// Counts a call and returns its outcome under the current fault.
    pub fn on_call(&mut self, method: &str) -> CallOutcome {
        *self.call_counts.entry(method.to_owned()).or_default() += 1;
        if self.fault.down {
            return CallOutcome::Refused;
        }

        let is_write = !matches!(method, "kv/range" | "watch");
        let is_response_lost = is_write && self.fault.lose_answers > 0;
        if is_response_lost {
            self.fault.lose_answers -= 1;
        }
        CallOutcome::Accepted { delay: Duration::from_millis(self.fault.slow_ms), is_response_lost }
    }
}

/// Outcome of a call under the current fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The call is refused and takes no effect.
    Refused,
    /// The call takes effect.
    Accepted {
        /// Delay before the call is processed.
        delay: Duration,
        /// Whether the response is withheld.
        is_response_lost: bool,
    },
}
