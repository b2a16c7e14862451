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
    /// Whether the instance has said in a response that it leaves.
    is_announced: bool,
    at: Time,
}

/// Last entries of upstreams that have left, so that an old copy of an entry does not bring an
/// instance back into use.
#[derive(Clone, Debug, Default)]
pub(super) struct Departed {
    by_id: HashMap<Name, Departure>,
    /// Starts of the instances that have left, in milliseconds since the Unix epoch, and when they did.
    starts: HashMap<Name, Vec<(u64, Time)>>,
}

impl Departed {
    /// Time for which an instance is remembered; a restored registry is only seconds old, and a write
    /// is executed seconds late at most.
    const TTL: Duration = Duration::from_secs(60);

    /// Largest number of starts of one upstream that are remembered.
    const MAX_STARTS: usize = 8;

    /// Records that an upstream has left; `is_announced` is whether it has said so in a
    /// response.
    pub fn record(&mut self, now: Time, entry: UpstreamEntry, is_announced: bool) {
        if let Some(started_ms) = entry.started_ms {
            let starts = self.starts.entry(entry.id.clone()).or_default();
            starts.retain(|(known, _)| *known != started_ms);
            starts.push((started_ms, now));
            if starts.len() > Self::MAX_STARTS {
                starts.remove(0);
            }
        }
        self.by_id.insert(entry.id.clone(), Departure { entry, is_announced, at: now });
    }

    /// Forgets an upstream that is back.
    pub fn forget(&mut self, id: &Name) {
        self.by_id.remove(id);
    }

    /// Returns whether an instance of an upstream that has said when it started has left.
    pub fn has_any_start(&self, id: &Name) -> bool {
        self.starts.contains_key(id)
    }

    /// Returns whether an instance with the start of `entry` has left.
    pub fn has_start(&self, entry: &UpstreamEntry) -> bool {
        let starts = self.starts.get(&entry.id);
        entry.started_ms.zip(starts).is_some_and(|(started_ms, starts)| {
            starts.iter().any(|(known, _)| *known == started_ms)
        })
    }

    /// Returns whether the start of `entry` is earlier than that of the instance of its upstream that has left.
    pub fn is_of_earlier_start(&self, entry: &UpstreamEntry) -> bool {
        self.by_id.get(&entry.id).is_some_and(|departure| departure.entry.started_after(entry))
    }

    /// Returns whether `entry` may be from before the departure of its instance: it is older than the last
    /// one, no newer if it may be from a restored copy of the registry, or of an instance that has said
    /// that it leaves, whose last heartbeat may have been written late.
    pub fn contains(&self, entry: &UpstreamEntry, is_from_copy: bool) -> bool {
        self.by_id.get(&entry.id).is_some_and(|departure| {
            let last = &departure.entry;
            let is_old = entry.precedes(last)
                || is_from_copy && !last.precedes(entry)
                || departure.is_announced && entry.started_ms.is_some();
            entry.is_same_instance(last) && is_old
        })
    }

    /// Returns the last entries of the instances that have left.
    pub fn entries(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.by_id.values().map(|departure| &departure.entry)
    }

    /// Forgets instances that left long ago.
    pub fn expire(&mut self, now: Time) {
        self.by_id.retain(|_, departure| now.since(departure.at) < Self::TTL);
        self.starts.retain(|_, starts| {
            starts.retain(|(_, at)| now.since(*at) < Self::TTL);
            !starts.is_empty()
        });
    }
}
