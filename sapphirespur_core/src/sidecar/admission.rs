//! Admission control: issues, charges and releases permits.

use crate::fair_scheduler::ClassQueue;
use crate::message::{Message, Permit, PermitReturn};
use crate::name::Name;
use crate::sidecar::demand_table::DemandChange;
use crate::sidecar::{Sidecar, SidecarOutput};
use crate::time::Time;

impl Sidecar {
    /// Applies a demand change to the fair order and requests a resync if a message was lost.
    pub(super) fn on_demand_change(
        &mut self,
        now: Time,
        from: &Name,
        change: &DemandChange,
        out: &mut Vec<SidecarOutput>,
    ) {
        if change.needs_resync {
            self.request_resync(from, out);
        }
        for choice in &change.empty {
            self.fair.set_empty(choice);
        }
        for choice in &change.waiting {
            self.mark_waiting(now, choice);
        }
    }

    /// Marks a queue as waiting, with its configured share and weight (each 1 by default).
    pub(super) fn mark_waiting(&mut self, now: Time, choice: &ClassQueue) {
        let config = self.config.config();
        let share = config.workspaces.get(&choice.workspace).map_or(1, |w| w.share);
        let weight = config.classes.get(&choice.class).map_or(1, |class| class.weight);

        self.fair.set_waiting(now, choice, share, weight);
    }

    /// Refunds a permit that its router did not need.
    pub(super) fn on_permit_return(
        &mut self,
        now: Time,
        from: &Name,
        returned: &PermitReturn,
        out: &mut Vec<SidecarOutput>,
    ) {
        let Some(permit) = self.permits.remove(returned.id) else { return };

        self.fair.charge(now, &permit.choice, -(permit.charged as i64));
        let change = self.demand.on_remaining(from, &permit.choice, returned.remaining);
        self.on_demand_change(now, from, &change, out);
    }

    /// Issues permits in fair order, one per free slot, while requests wait.
    pub(super) fn issue_permits(&mut self, now: Time, out: &mut Vec<SidecarOutput>) {
        if !self.is_serving() {
            return;
        }

        for _ in 0..self.free_slots(now) {
            let Some(choice) = self.fair.choose(|w, c| self.demand.has_work(w, c)) else { return };
            let Some(request) = self.demand.take_longest_waiting(&choice) else { return };
            if !self.demand.has_work(&choice.workspace, &choice.class) {
                self.fair.set_empty(&choice);
            }

            let cost = self.cost_ratios.estimate(&choice, request.cost);
            self.fair.charge_request(now, &choice, cost as i64);
            let router = request.router.clone();
            let id = self.permits.issue(now, request.router, choice.clone(), cost);
            let message =
                Message::Permit(Permit { id, workspace: choice.workspace, class: choice.class });
            out.push(SidecarOutput::Send { to: router, message });
        }
    }

    /// Refunds the permits that have expired or that `router` holds.
    pub(super) fn release_permits(&mut self, now: Time, router: Option<&Name>) {
        for permit in self.permits.release(now, router) {
            self.fair.charge(now, &permit.choice, -(permit.charged as i64));
        }
    }
}
