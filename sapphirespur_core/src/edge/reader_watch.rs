//! Detection of clients that do not read their responses.

use std::time::Duration;

use crate::time::Time;

/// Watches whether a client takes what waits to be written to it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReaderWatch {
    /// Time of the first write that the client's connection did not take; none while it takes them.
    blocked_since: Option<Time>,
}

impl ReaderWatch {
    /// Time without a written byte, although bytes wait, after which a response is ended whose deadline has
    /// passed: a client that still reads gets a late response to its end.
    pub const STALL_TIMEOUT: Duration = Duration::from_millis(2_500);

    /// Interval at which a blocked connection is tried again.
    pub const CHECK_INTERVAL: Duration = Duration::from_millis(500);

    /// Records that bytes wait and none could be written.
    pub fn on_blocked(&mut self, now: Time) {
        self.blocked_since.get_or_insert(now);
    }

    /// Records that bytes were written. Returns whether this ends a wait.
    pub fn on_written(&mut self) -> bool {
        self.blocked_since.take().is_some()
    }

    /// Returns for how long nothing could be written; zero when nothing waits.
    pub fn blocked_for(&self, now: Time) -> Duration {
        self.blocked_since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Returns whether the response, due by `deadline`, is to be ended. A client may pause until then: what the
    /// router holds for it is limited by its size, not by time.
    pub fn has_stalled(&self, now: Time, deadline: Time) -> bool {
        now >= deadline && self.blocked_for(now) >= Self::STALL_TIMEOUT
    }

    /// Chooses the response to end when those that wait for their clients hold too many bytes: the one
    /// with most bytes, of clients that have taken nothing for [`Self::CHECK_INTERVAL`]. `readers` have a
    /// key, the watch and the bytes that wait. Returns none when no client is that slow.
    pub fn costliest<K>(
        now: Time,
        readers: impl IntoIterator<Item = (K, Self, usize)>,
    ) -> Option<K> {
        readers
            .into_iter()
            .filter(|(_, watch, _)| watch.blocked_for(now) >= Self::CHECK_INTERVAL)
            .max_by_key(|(_, _, bytes)| *bytes)
            .map(|(key, _, _)| key)
    }
}
