//! Recent changes of the registry, for routers that hear of them from this one.

use std::collections::VecDeque;
use std::time::Duration;

use crate::edge::{RegistryChange, RegistryChanges, RegistryEntry, RegistryVersion, RevisedChange};
use crate::time::Time;

/// Changes that a router has applied, so that those that it tells of changes need not ask the registry.
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// Version since which no change is missing.
    since: RegistryVersion,
    /// Version up to which all changes are known; none before the registry was listed.
    until: Option<RegistryVersion>,
    /// Changes with the times at which they were added, in the order in which they were applied.
    changes: VecDeque<(Time, RevisedChange)>,
}

impl ChangeLog {
    /// Time for which changes are kept. A router that missed some for so long has asked the registry.
    const KEEP_TIME: Duration = Duration::from_secs(10);

    /// Largest number of changes that are kept.
    const MAX_CHANGES: usize = 4_096;

    /// Starts anew at a version, as after a listing of the registry.
    pub fn restart(&mut self, version: RegistryVersion) {
        self.since = version;
        self.until = Some(version);
        self.changes.clear();
    }

    /// Adds changes that were applied; they follow those before.
    pub fn append(&mut self, now: Time, changes: &RegistryChanges) {
        if self.until.is_none_or(|until| until.era != changes.version.era) {
            return;
        }
        for change in changes.changes.iter().filter(|change| !change.change.is_ignored()) {
            self.push(now, change.clone());
        }
        self.until = Some(changes.version);
        let is_old = |at: Time| now.since(at) >= Self::KEEP_TIME;
        while self.changes.front().is_some_and(|(at, _)| is_old(*at))
            || self.changes.len() > Self::MAX_CHANGES
        {
            self.drop_oldest();
        }
    }

    /// Returns the changes after a version; none when some of them are not known here.
    pub fn after(&self, version: RegistryVersion) -> Option<RegistryChanges> {
        let until = self.until?;
        if version < self.since || version.era != until.era {
            return None;
        }
        let newer = |(_, change): &&(Time, RevisedChange)| change.revision > version.revision;
        let changes: Vec<_> =
            self.changes.iter().filter(newer).map(|(_, change)| change.clone()).collect();
        let revisions = changes.iter().map(|change| change.revision);
        let revision = revisions.max().unwrap_or(version.revision);
        let changed = RegistryVersion { revision, ..version };
        Some(RegistryChanges { version: until.max(version), changed, changes })
    }

    /// Adds a change. A configuration replaces the one before, which nobody needs any more.
    fn push(&mut self, now: Time, change: RevisedChange) {
        if is_config(&change) {
            self.changes.retain(|(_, known)| !is_config(known));
        }
        self.changes.push_back((now, change));
    }

    fn drop_oldest(&mut self) {
        if let Some((_, change)) = self.changes.pop_front() {
            self.since.revision = self.since.revision.max(change.revision);
        }
    }
}

/// Returns whether a change is a new configuration.
fn is_config(change: &RevisedChange) -> bool {
    matches!(change.change, RegistryChange::Written(RegistryEntry::Config(_)))
}
