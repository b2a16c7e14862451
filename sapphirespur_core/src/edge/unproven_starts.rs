//! Entries of upstreams whose start looks earlier than that of the known instance.

use std::time::Duration;

use crate::collections::{HashMap, HashSet};
use crate::edge::UpstreamEntry;
use crate::name::Name;
use crate::time::Time;

/// Entry that was not applied, with what it needs to be applied later.
#[derive(Clone, Debug)]
struct UnprovenStart {
    entry: UpstreamEntry,
    cold_until: Time,
    since: Time,
}

/// Entries whose start is earlier than that of the instance that is known.
///
/// Such an entry is a heartbeat from before a restart that was written late, or of a new instance on a VM whose
/// clock was set back. A late heartbeat is overwritten by the next one of the known instance, or removed after three
/// intervals of silence; an instance that runs stays, or writes further entries.
#[derive(Clone, Debug, Default)]
pub(super) struct UnprovenStarts {
    by_id: HashMap<Name, UnprovenStart>,
}

impl UnprovenStarts {
    /// Time after which an entry that stays is of a running instance: longer than three heartbeat intervals of
    /// 1.2 s, after which the registry removes one that falls silent.
    const PROOF_TIME: Duration = Duration::from_secs(4);

    /// Records an entry. Returns whether it is proven by one before: it follows that of the same instance.
    pub fn record(&mut self, now: Time, entry: &UpstreamEntry, cold_until: Time) -> bool {
        let seen = self.by_id.get(&entry.id).filter(|seen| seen.entry.is_same_instance(entry));
        if seen.is_some_and(|seen| seen.entry.precedes(entry)) {
            self.by_id.remove(&entry.id);
            return true;
        }
        let since = seen.map_or(now, |seen| seen.since);
        let start = UnprovenStart { entry: entry.clone(), cold_until, since };
        self.by_id.insert(entry.id.clone(), start);
        false
    }

    /// Forgets the entry of an upstream, which another one has replaced, or which is removed.
    pub fn forget(&mut self, id: &str) {
        if !self.by_id.is_empty() {
            self.by_id.remove(id);
        }
    }

    /// Forgets the entries of the upstreams that are not listed.
    pub fn retain_listed(&mut self, listed: &HashSet<Name>) {
        self.by_id.retain(|id, _| listed.contains(id));
    }

    /// Takes the entries that have stayed for long enough, with the times until which they are cold.
    pub fn take_proven(&mut self, now: Time) -> Vec<(UpstreamEntry, Time)> {
        if self.by_id.is_empty() {
            return Vec::new();
        }
        let is_proven =
            |_: &Name, start: &mut UnprovenStart| now.since(start.since) >= Self::PROOF_TIME;
        self.by_id.extract_if(is_proven).map(|(_, start)| (start.entry, start.cold_until)).collect()
    }
}
