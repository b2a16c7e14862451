//! Cumulative counts that were taken into account.

use std::time::Duration;

use crate::edge::rollout::counts::Counts;
use crate::time::Time;

/// Counts of one row that the tests have taken into account.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Seen {
    own: Counts,
    others: Counts,
    /// Since when the sums of the others have been below what was taken into account.
    below_since: Option<Time>,
}

impl Seen {
    /// Time for which lower sums are taken for a gap in the reports: a router that is heard again must
    /// not count twice. After that, its counts are taken to be gone.
    const GAP: Duration = Duration::from_secs(3);

    /// Takes over the counts of this router. Returns what is new.
    pub fn update_own(&mut self, own: Counts) -> Counts {
        let new = own.since(self.own);
        self.own = own;
        new
    }

    /// Takes over the sums of the other routers. Returns what is new; a restarted router makes them
    /// fall, which is nothing new.
    pub fn update_others(&mut self, now: Time, others: Counts) -> Counts {
        if others.answered >= self.others.answered {
            self.below_since = None;
        } else if now.since(*self.below_since.get_or_insert(now)) >= Self::GAP {
            self.others = others;
            self.below_since = None;
        }
        let new = others.since(self.others);
        self.others = self.others.max(others);
        new
    }
}
