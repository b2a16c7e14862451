//! Mean ratio of actual to expected cost, by queue.

use crate::collections::HashMap;
use crate::fair_scheduler::ClassQueue;
use crate::name::Name;

/// Ratio of 1, in thousandths.
const ONE_MILLI: u64 = 1_000;

/// Maximum ratio of a single request, in thousandths.
const MAX_MILLI: u64 = 8_000;

/// Reciprocal of the weight of the newest ratio in the moving mean.
const MEAN_DIVISOR: u64 = 8;

/// Exponential moving means of the cost ratios by workspace and class, in thousandths.
#[derive(Clone, Debug, Default)]
pub(super) struct CostRatios {
    by_workspace: HashMap<Name, HashMap<Name, u64>>,
}

impl CostRatios {
    /// Returns the expected cost of a request, corrected by the mean ratio of its queue.
    pub fn estimate(&self, queue: &ClassQueue, cost_hint: u64) -> u64 {
        let classes = self.by_workspace.get(&queue.workspace);
        let milli = classes.and_then(|c| c.get(&queue.class)).copied().unwrap_or(ONE_MILLI);

        (cost_hint * milli / ONE_MILLI).max(1)
    }

    /// Updates the mean ratio of a queue with a finished request.
    pub fn record(&mut self, queue: &ClassQueue, cost_hint: u64, cost: u64) {
        let newest = (cost * ONE_MILLI / cost_hint.max(1)).min(MAX_MILLI);
        let classes = self.by_workspace.entry(queue.workspace.clone()).or_default();
        let mean = classes.entry(queue.class.clone()).or_insert(ONE_MILLI);

        *mean = (*mean * (MEAN_DIVISOR - 1) + newest) / MEAN_DIVISOR;
    }

    /// Removes the workspaces for which `is_configured` returns `false`.
    pub fn retain(&mut self, is_configured: impl Fn(&Name) -> bool) {
        self.by_workspace.retain(|workspace, _| is_configured(workspace));
    }
}
