//! Upstreams that have left, by instance.

use std::time::Duration;

use crate::collections::HashMap;
use crate::edge::UpstreamEntry;
use crate::name::Name;
use crate::time::Time;

/// Last entry of an upstream that has left.
#[derive(Clone, Debug)]
struct Departure {
    entry: UpstreamEntry,
    at: Time,
}

/// Last entries of upstreams that have left, so that an old copy of an entry does not bring an
/// instance back into use.
#[derive(Clone, Debug, Default)]
pub(super) struct Departed {
    by_id: HashMap<Name, Departure>,
}

impl Departed {
    /// Time for which an instance is remembered; a restored registry is only seconds old.
    const TTL: Duration = Duration::from_secs(60);

    /// Records that an upstream has left.
    pub fn record(&mut self, now: Time, entry: UpstreamEntry) {
        self.by_id.insert(entry.id.clone(), Departure { entry, at: now });
    }

    /// Returns whether `entry` is no newer than the last one of an instance that has left.
    pub fn contains(&self, entry: &UpstreamEntry) -> bool {
        self.by_id.get(&entry.id).is_some_and(|departure| {
            let last = &departure.entry;
            entry.is_same_instance(last) && !last.precedes(entry)
        })
    }

    /// Forgets instances that left long ago.
    pub fn expire(&mut self, now: Time) {
        self.by_id.retain(|_, departure| now.since(departure.at) < Self::TTL);
    }
}
