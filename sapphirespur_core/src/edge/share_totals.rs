//! Usage of all workspaces at all routers, as of the last tick.

use std::time::Duration;

use crate::collections::HashMap;
use crate::edge::WorkspaceUsage;
use crate::time::Time;

/// Usage of one workspace.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WorkspaceTotal {
    /// Hash of the workspace's name.
    pub workspace: u32,
    /// Tokens asked for and admitted at all routers.
    pub asked: u64,
    pub admitted: u64,
    /// Tokens asked for and admitted at the other routers.
    pub others_asked: u64,
    pub others_admitted: u64,
    /// Whether other routers report the workspace.
    pub is_known_by_others: bool,
}

/// Usage of all workspaces, from which the max-min fair level follows. The usage of this router's own
/// requests is added to it as they come; all else is renewed a few times a second.
#[derive(Clone, Debug, Default)]
pub(super) struct ShareTotals {
    /// Ordered by the tokens asked for.
    by_demand: Vec<WorkspaceTotal>,
    renewed_at: Option<Time>,
}

impl ShareTotals {
    /// Age at which the totals are renewed: one tick.
    const MAX_AGE: Duration = Duration::from_millis(100);

    /// Returns whether the totals have to be renewed.
    pub fn is_outdated(&self, now: Time) -> bool {
        self.renewed_at.is_none_or(|at| now.since(at) >= Self::MAX_AGE)
    }

    /// Replaces the totals by the usage of this router and of the others.
    pub fn renew(
        &mut self,
        now: Time,
        own: impl Iterator<Item = WorkspaceUsage>,
        others: impl Iterator<Item = WorkspaceUsage>,
    ) {
        let mut totals: HashMap<u32, WorkspaceTotal> = HashMap::default();
        for usage in others {
            let total = totals.entry(usage.workspace).or_default();
            total.is_known_by_others = true;
            total.others_asked += usage.asked;
            total.others_admitted += usage.admitted;
            total.asked += usage.asked;
            total.admitted += usage.admitted;
        }
        for usage in own {
            let total = totals.entry(usage.workspace).or_default();
            total.asked += usage.asked;
            total.admitted += usage.admitted;
        }
        self.by_demand.clear();
        self.by_demand.extend(
            totals.into_iter().map(|(workspace, total)| WorkspaceTotal { workspace, ..total }),
        );
        self.by_demand.sort_unstable_by_key(|total| total.asked);
        self.renewed_at = Some(now);
    }

    /// Returns the totals of all workspaces.
    pub fn iter(&self) -> impl Iterator<Item = &WorkspaceTotal> {
        self.by_demand.iter()
    }

    /// Returns the totals of one workspace; zeros when it is unknown.
    pub fn get(&self, workspace: u32) -> WorkspaceTotal {
        let found = self.by_demand.iter().find(|total| total.workspace == workspace);
        found.copied().unwrap_or_default()
    }

    /// Adds the tokens of a request at this router.
    pub fn charge(&mut self, workspace: u32, tokens: u64, is_admitted: bool) {
        let found = self.by_demand.iter().position(|total| total.workspace == workspace);
        let mut index = found.unwrap_or_else(|| {
            self.by_demand.insert(0, WorkspaceTotal { workspace, ..WorkspaceTotal::default() });
            0
        });
        let total = &mut self.by_demand[index];
        total.asked += tokens;
        total.admitted += if is_admitted { tokens } else { 0 };

        let asked = total.asked;
        while self.by_demand.get(index + 1).is_some_and(|next| next.asked < asked) {
            self.by_demand.swap(index, index + 1);
            index += 1;
        }
    }

    /// Returns the max-min fair level of `capacity` if one workspace asks for `asked` tokens; `u64::MAX`
    /// when the capacity covers all demands.
    pub fn level(&self, workspace: u32, asked: u64, capacity: u64) -> u64 {
        let others = || self.by_demand.iter().filter(|total| total.workspace != workspace);
        let smaller = others().map(|total| total.asked).take_while(|other| *other < asked);
        let larger = others().map(|total| total.asked).skip_while(|other| *other < asked);
        let mut left = capacity;
        let mut remaining = others().count() as u64 + 1;
        for demand in smaller.chain([asked]).chain(larger) {
            let level = left / remaining;
            if demand > level {
                return level;
            }
            left -= demand;
            remaining -= 1;
        }
        u64::MAX
    }
}
