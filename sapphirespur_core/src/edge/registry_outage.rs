//! Outages of the registry, as one router and its relay see them.

use std::time::Duration;

use crate::edge::RelayView;
use crate::time::Time;

/// Decides when the removal of an entry means that its upstream has left: after an outage of the
/// registry, entries that expired meanwhile are written again.
#[derive(Clone, Debug, Default)]
pub struct RegistryOutage {
    /// Whether the last call failed.
    is_failing: bool,
    /// Whether the registry has answered the relay ever since the calls fail here: then only this router
    /// does not reach it, or is too late to read its answers, and no entry has expired for that.
    relay_had_registry: bool,
    /// Whether the relay has lost the registry, as last seen.
    has_relay_lost: bool,
    /// Whether the relay has lost the registry since it last answered here.
    is_suspected: bool,
    /// End of the last outage; none when there was none.
    ended_at: Option<Time>,
}

impl RegistryOutage {
    /// Time after the end of an outage within which upstreams write again entries that expired during
    /// it; an upstream whose entry is still missing after that is removed.
    pub const GRACE: Duration = Duration::from_millis(1_900);

    /// Records what the relay says of the registry.
    pub fn on_relay(&mut self, view: RelayView) {
        let has_lost = view == RelayView::Lost;
        // An outage of the relay alone goes on while the registry answers here.
        if has_lost && !self.has_relay_lost {
            self.is_suspected = true;
        }
        self.has_relay_lost = has_lost;
        self.relay_had_registry &= view == RelayView::Answers;
    }

    /// Records that a call failed.
    pub fn on_failure(&mut self, view: RelayView) {
        if !self.is_failing {
            self.is_failing = true;
            self.relay_had_registry = true;
        }
        self.on_relay(view);
    }

    /// Records that the registry answered.
    pub fn on_contact(&mut self, now: Time, view: RelayView) {
        self.on_relay(view);
        if self.is_suspected || self.is_failing && !self.relay_had_registry {
            self.ended_at = Some(now);
        }
        self.is_failing = false;
        self.is_suspected = false;
    }

    /// Records that the registry was restored from an older copy: what the copy lacks is written again
    /// soon, like after an outage.
    pub fn on_restored(&mut self, now: Time) {
        self.ended_at = Some(now);
    }

    /// Returns whether the relay has lost the registry since it last answered here.
    pub fn is_suspected(&self) -> bool {
        self.is_suspected
    }

    /// Returns when to remove an upstream whose entry is missing now.
    pub fn removal_time(&self, now: Time) -> Time {
        self.ended_at.map_or(now, |at| now.max(at + Self::GRACE))
    }
}
