//! Roll-outs of versions at a router.

use crate::edge::{InFlightRequest, RolloutDuty, Rollouts, Router};
use crate::time::Time;

impl Router {
    /// Returns the roll-outs.
    pub fn rollouts(&self) -> &Rollouts {
        &self.rollouts
    }

    /// Returns the roll-outs for modification.
    pub fn rollouts_mut(&mut self) -> &mut Rollouts {
        &mut self.rollouts
    }

    /// Returns the calls to the store that roll-outs need now; to be called about ten times a second.
    pub fn rollout_duties(&mut self, now: Time, is_store_usable: bool) -> Vec<RolloutDuty> {
        let _ = (now, is_store_usable);
        Vec::new()
    }

    /// Returns whether a request that was placed before may still be sent: its upstream is the same
    /// instance and accepts requests, and its version was not withdrawn since.
    pub fn may_send(&self, now: Time, request: &InFlightRequest) -> bool {
        self.registry.may_send(now, request)
    }
}
