//! Counts of responses.

use crate::edge::RolloutEvidence;

/// Judged responses, and the bad ones among them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Counts {
    /// Responses.
    pub answered: u32,
    /// Responses with an error.
    pub failed: u32,
    /// Responses that were lost with their connection.
    pub lost: u32,
    /// Slow responses.
    pub slow: u32,
}

impl Counts {
    /// Returns the bad responses.
    pub fn bad(&self) -> u32 {
        self.failed + self.lost + self.slow
    }

    /// Returns what has been added since `earlier`; a value that fell counts as unchanged.
    pub fn since(self, earlier: Self) -> Self {
        self.zip(earlier, u32::saturating_sub)
    }

    /// Returns the larger of each value.
    pub fn max(self, other: Self) -> Self {
        self.zip(other, u32::max)
    }

    /// Returns the sums.
    pub fn plus(self, other: Self) -> Self {
        self.zip(other, u32::saturating_add)
    }

    fn zip(self, other: Self, f: impl Fn(u32, u32) -> u32) -> Self {
        Self {
            answered: f(self.answered, other.answered),
            failed: f(self.failed, other.failed),
            lost: f(self.lost, other.lost),
            slow: f(self.slow, other.slow),
        }
    }
}

impl From<&RolloutEvidence> for Counts {
    fn from(row: &RolloutEvidence) -> Self {
        let RolloutEvidence { answered, failed, lost, slow, .. } = *row;
        Self { answered, failed, lost, slow }
    }
}
