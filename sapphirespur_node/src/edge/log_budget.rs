//! Bound on the volume of log lines about single requests.

use std::cell::Cell;

/// Class of log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogClass {
    /// Request that did not go well.
    Failure,
    /// Request that went well.
    Success,
}

/// Lines that may still be written in this second, and those that were left out.
#[derive(Debug)]
pub struct LogBudget {
    failures: Cell<u32>,
    successes: Cell<u32>,
    suppressed: Cell<u64>,
}

impl LogBudget {
    /// Lines about failures in a second; a flood of refusals is counted beyond it.
    const FAILURES_PER_S: u32 = 100;

    /// Lines about requests that went well in a second: a sample.
    const SUCCESSES_PER_S: u32 = 10;

    /// Takes the right to log one line, or counts it as left out.
    pub fn try_acquire(&self, class: LogClass) -> bool {
        let left = match class {
            LogClass::Failure => &self.failures,
            LogClass::Success => &self.successes,
        };
        let Some(rest) = left.get().checked_sub(1) else {
            self.suppressed.set(self.suppressed.get() + 1);
            return false;
        };

        left.set(rest);
        true
    }

    /// Starts the next second and returns the lines that were left out in the last one.
    pub fn refill(&self) -> u64 {
        self.failures.set(Self::FAILURES_PER_S);
        self.successes.set(Self::SUCCESSES_PER_S);
        self.suppressed.replace(0)
    }
}

impl Default for LogBudget {
    fn default() -> Self {
        Self {
            failures: Cell::new(Self::FAILURES_PER_S),
            successes: Cell::new(Self::SUCCESSES_PER_S),
            suppressed: Cell::new(0),
        }
    }
}
