//! Rate limit on log lines about single requests and entries.

use std::cell::Cell;

/// Class of log lines; each has its own rate limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogClass {
    /// Entry of the registry that is ignored.
    Entry,
    /// Request that was refused or failed.
    Failure,
    /// Request that succeeded.
    Success,
}

/// Log lines that may still be written in this second, and the number suppressed so far.
#[derive(Debug)]
pub struct LogBudget {
    entries: Cell<u32>,
    failures: Cell<u32>,
    successes: Cell<u32>,
    suppressed: Cell<u64>,
}

impl LogBudget {
    /// Lines about ignored entries per second: another writer may write the same ones again and again.
    const ENTRIES_PER_S: u32 = 10;

    /// Lines about failures per second; more, as in a flood of refusals, are only counted.
    const FAILURES_PER_S: u32 = 100;

    /// Lines about successful requests per second, as a sample.
    const SUCCESSES_PER_S: u32 = 10;

    /// Returns whether one line may be logged; otherwise counts it as suppressed.
    pub fn try_acquire(&self, class: LogClass) -> bool {
        let left = match class {
            LogClass::Entry => &self.entries,
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

    /// Starts the next second and returns the number of lines suppressed in the last one.
    pub fn refill(&self) -> u64 {
        self.entries.set(Self::ENTRIES_PER_S);
        self.failures.set(Self::FAILURES_PER_S);
        self.successes.set(Self::SUCCESSES_PER_S);
        self.suppressed.replace(0)
    }
}

impl Default for LogBudget {
    fn default() -> Self {
        Self {
            entries: Cell::new(Self::ENTRIES_PER_S),
            failures: Cell::new(Self::FAILURES_PER_S),
            successes: Cell::new(Self::SUCCESSES_PER_S),
            suppressed: Cell::new(0),
        }
    }
}
