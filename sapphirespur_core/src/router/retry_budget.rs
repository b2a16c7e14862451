//! Budget that keeps retries a small part of the work.

/// Part of a retry that each fresh request earns, in thousandths.
const DEPOSIT_MILLI: u32 = 100;

/// Most retries that can be saved up, in thousandths.
const MAX_BALANCE_MILLI: u32 = 10_000;

/// Budget of one workspace.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryBudget {
    balance_milli: u32,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new() -> Self {
        Self { balance_milli: MAX_BALANCE_MILLI }
    }

    /// Earns for a fresh request.
    pub fn deposit(&mut self) {
        self.balance_milli = (self.balance_milli + DEPOSIT_MILLI).min(MAX_BALANCE_MILLI);
    }

    /// Spends one retry, and tells whether the budget allowed it.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(remaining) = self.balance_milli.checked_sub(1_000) else { return false };

        self.balance_milli = remaining;
        true
    }
}
