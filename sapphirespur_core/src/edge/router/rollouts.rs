//! Roll-outs of versions at a router.

use std::time::Duration;

use crate::edge::exchange::Contact;
use crate::edge::placement::PlacementRequest;
use crate::edge::{
    Admission, DeclineReason, DutyView, Fallback, InFlightRequest, RolloutDuty, RolloutEvidence,
    Rollouts, Router, VersionPlan,
};
use crate::time::Time;

/// Key of the rendezvous order in which routers try to lead the roll-outs.
const LEADER_KEY: u32 = 0x726f_6c6c;

/// Time after which a router that was not heard may have ended; several reports must have been lost by
/// then.
const SILENCE_TIME: Duration = Duration::from_secs(1);

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
        if self.rollouts.is_idle() {
            return Vec::new();
        }
        let own = self.name_hash();
        let members = self.exchange.peers().members();
        let view = DutyView {
            router: &self.settings.name,
            registry: &self.registry,
            rank: members.rank(now, own, LEADER_KEY),
            routers: members.count_running(now),
            lag: self.exchange.report_lag(),
            is_settled: self.settled_at <= now,
            is_store_usable,
        };
        self.rollouts.duties(now, view)
    }

    /// Returns the routers to which to connect, because a roll-out that this router leads does not end
    /// without their reports and they are silent; `round` is the number of the call.
    pub fn silent_routers(&self, now: Time, round: u32) -> Vec<Contact> {
        if !self.rollouts.awaits_reports(now) {
            return Vec::new();
        }
        self.exchange.peers().members().silent_in_turn(now, SILENCE_TIME, round)
    }

    /// Records that nothing listens at the address of a router.
    pub fn on_router_refused(&mut self, now: Time, router: u64) {
        self.exchange.peers_mut().members_mut().on_refused(now, router);
    }

    /// Returns whether a request that was placed before may still be sent: its upstream is the same
    /// instance and accepts requests, and its version was not withdrawn since.
    pub fn may_send(&self, now: Time, request: &InFlightRequest) -> bool {
        self.registry.may_send(now, request) && self.rollouts.allows(now, request, &self.registry)
    }

    /// Records a request that is placed on an upstream, with the time that its prompt and those before
    /// it are expected to take.
    pub(super) fn record_version(&mut self, now: Time, request: &mut InFlightRequest) {
        let mut prefill_ms = 0.0;
        if request.queued_tokens > 0 && self.rollouts.is_running(&request.service) {
            let speed = self.registry.expected_prefill_speed(&request.service);
            prefill_ms = request.queued_tokens as f64 / speed.max(f64::MIN_POSITIVE);
        }
        self.rollouts.on_sent(now, request, prefill_ms);
    }

    /// Takes the evidence of all routers into account.
    pub(super) fn observe_rollouts(&mut self, now: Time) {
        if !self.rollouts.is_on() {
            return;
        }
        self.exchange.peers_mut().expire(now);
        let others: Vec<RolloutEvidence> = self.exchange.peers().rollouts().collect();
        self.rollouts.observe(now, &others, &self.registry);
    }

    /// Places the request on an upstream of a version that may have it.
    pub(super) fn place_by_version(
        &mut self,
        now: Time,
        request: PlacementRequest<'_>,
    ) -> Admission {
        let call = request.call;
        if self.rollouts.is_gone(call) {
            return Err(self.backoff.decline(call, DeclineReason::VersionGone, None));
        }

        let VersionPlan { first, fallback } = self.rollouts.plan(now, call, &self.registry);
        let admission = self.choose_upstream(now, PlacementRequest { versions: &first, ..request });
        let Err(decline) = &admission else { return admission };
        match fallback {
            Fallback::IfDeclined(others) => {
                self.choose_upstream(now, PlacementRequest { versions: &others, ..request })
            }
            Fallback::IfNoneAvailable(others) if is_unavailable(decline.reason) => {
                self.choose_upstream(now, PlacementRequest { versions: &others, ..request })
            }
            Fallback::IfNoneAvailable(_) | Fallback::Never => admission,
        }
    }
}

/// Returns whether a reason means that no upstream could be tried.
fn is_unavailable(reason: DeclineReason) -> bool {
    match reason {
        DeclineReason::NoUpstream
        | DeclineReason::Paused
        | DeclineReason::Full
        | DeclineReason::Cold
        | DeclineReason::Limited => true,
        DeclineReason::VersionGone
        | DeclineReason::Overloaded
        | DeclineReason::OverShare
        | DeclineReason::Quarantined
        | DeclineReason::RetryBudget => false,
    }
}
