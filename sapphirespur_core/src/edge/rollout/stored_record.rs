//! Record of a roll-out in the store, as far as this router knows it.

use std::time::Duration;

use crate::edge::RolloutRecord;
use crate::time::Time;

/// What the store holds of a roll-out, and the call that is under way.
#[derive(Clone, Debug, Default)]
pub(super) struct StoredRecord {
    /// Record in the store; none without one.
    pub record: Option<RolloutRecord>,
    /// Revision of its item; zero without one.
    pub revision: u64,
    /// Whether the item is to be read before the next write.
    pub is_doubtful: bool,
    /// Whether a call is under way.
    pub is_pending: bool,
    /// Record that was written last, or is being written.
    pub sent: Option<RolloutRecord>,
    /// When this router last wrote the record.
    pub written_at: Option<Time>,
}

impl StoredRecord {
    /// Time within which this router hears of its own writes.
    const WATCH_LAG: Duration = Duration::from_secs(2);

    /// Applies what the store holds.
    pub fn set(&mut self, item: Option<(RolloutRecord, u64)>) {
        let (record, revision) = item.map_or((None, 0), |(record, at)| (Some(record), at));
        self.record = record;
        self.revision = revision;
    }

    /// Returns whether a change that is read late is older than what this router has just written.
    pub fn is_outdated(&self, now: Time, record: &RolloutRecord, revision: u64) -> bool {
        let is_older = |own: &RolloutRecord| own.era == record.era && own.supersedes(record);
        let is_recent = self.written_at.is_some_and(|at| now.since(at) < Self::WATCH_LAG);
        is_recent && revision < self.revision && self.record.as_ref().is_some_and(is_older)
    }

    /// Returns whether the store may have lost what this router has written.
    pub fn is_unverified(&self) -> bool {
        self.is_pending || self.is_doubtful && self.written_at.is_some()
    }
}
