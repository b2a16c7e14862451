//! Budget that keeps retries a small part of the work.

/// Part of a retry that each fresh request earns, in thousandths.
const EARNED_MILLI: u32 = 100;

/// Most retries that can be saved up, in thousandths.
const MAX_MILLI: u32 = 10_000;

/// Budget of one workspace.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryBudget {
    milli: u32,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new() -> Self {
        Self { milli: MAX_MILLI }
    }

    /// Earns for a fresh request.
    pub fn earn(&mut self) {
        self.milli = (self.milli + EARNED_MILLI).min(MAX_MILLI);
    }

    /// Spends one retry, and tells whether the budget allowed it.
    pub fn spend(&mut self) -> bool {
        let Some(left) = self.milli.checked_sub(1_000) else { return false };

        self.milli = left;
        true
    }
}
