//! Retry budget that limits retries to a small fraction of the requests.

/// Amount that each new request adds, in thousandths of a retry.
const DEPOSIT_MILLI: u32 = 100;

/// Maximum balance, in thousandths of a retry.
const MAX_BALANCE_MILLI: u32 = 10_000;

/// Retry budget of one workspace.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryBudget {
    /// Available retries, in thousandths.
    balance_milli: u32,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new() -> Self {
        Self { balance_milli: MAX_BALANCE_MILLI }
    }

    /// Adds the amount of one new request, up to the maximum balance.
    pub fn deposit(&mut self) {
        self.balance_milli = (self.balance_milli + DEPOSIT_MILLI).min(MAX_BALANCE_MILLI);
    }

    /// Withdraws one retry; returns `false` and leaves the balance unchanged if it is too low.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(remaining) = self.balance_milli.checked_sub(1_000) else { return false };

        self.balance_milli = remaining;
        true
    }
}
