//! Learned ratio of real cost to the caller's hint.

use crate::collections::HashMap;
use crate::fair_scheduler::ClassQueue;
use crate::name::Name;

/// Ratio of one, in thousandths.
const ONE_MILLI: u64 = 1_000;

/// Highest ratio, in thousandths.
const MAX_MILLI: u64 = 8_000;

/// Weight of the newest ratio in the mean, as a divisor.
const MEAN_DIVISOR: u64 = 8;

/// Ratios by queue.
#[derive(Clone, Debug, Default)]
pub(super) struct CostRatios {
    by_workspace: HashMap<Name, HashMap<Name, u64>>,
}

impl CostRatios {
    /// Returns the cost to charge for a hint.
    pub fn estimate(&self, choice: &ClassQueue, cost_hint: u64) -> u64 {
        let classes = self.by_workspace.get(&choice.workspace);
        let milli = classes.and_then(|c| c.get(&choice.class)).copied().unwrap_or(ONE_MILLI);

        (cost_hint * milli / ONE_MILLI).max(1)
    }

    /// Learns from a finished request.
    pub fn record(&mut self, choice: &ClassQueue, cost_hint: u64, cost: u64) {
        let newest = (cost * ONE_MILLI / cost_hint.max(1)).min(MAX_MILLI);
        let classes = self.by_workspace.entry(choice.workspace.clone()).or_default();
        let mean = classes.entry(choice.class.clone()).or_insert(ONE_MILLI);

        *mean = (*mean * (MEAN_DIVISOR - 1) + newest) / MEAN_DIVISOR;
    }

    /// Forgets the workspaces that `is_configured` does not know.
    pub fn retain(&mut self, is_configured: impl Fn(&Name) -> bool) {
        self.by_workspace.retain(|workspace, _| is_configured(workspace));
    }
}
