//! Admission control: issues, charges and releases permits.

use crate::fair_scheduler::ClassQueue;
use crate::message::{Message, Permit, PermitReturn};
use crate::name::Name;
use crate::sidecar::demand_table::DemandChange;
use crate::sidecar::{Sidecar, SidecarOutput};
use crate::time::Time;

impl Sidecar {
    /// Applies a demand change to the scheduler and requests a resync if a message was lost.
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
        for queue in &change.empty {
            self.scheduler.set_empty(queue);
        }
        for queue in &change.waiting {
            self.mark_waiting(now, queue);
        }
    }

    /// Marks a queue as waiting, with its configured share and weight (each 1 by default).
    pub(super) fn mark_waiting(&mut self, now: Time, queue: &ClassQueue) {
        let config = self.config.config();
        let share = config.workspaces.get(&queue.workspace).map_or(1, |w| w.share);
        let weight = config.classes.get(&queue.class).map_or(1, |class| class.weight);

        self.scheduler.set_waiting(now, queue, share, weight);
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

        self.scheduler.charge(now, &permit.queue, -(permit.charged as i64));
        let change = self.demand.on_remaining(from, &permit.queue, returned.remaining);
        self.on_demand_change(now, from, &change, out);
    }

    /// Issues permits in fair order, one per free slot, while requests wait.
    pub(super) fn issue_permits(&mut self, now: Time, out: &mut Vec<SidecarOutput>) {
        if !self.is_serving() {
            return;
        }

        for _ in 0..self.free_slots(now) {
            let Some(queue) = self.scheduler.choose(|w, c| self.demand.has_work(w, c)) else {
                return;
            };
            let Some(request) = self.demand.take_longest_waiting(&queue) else { return };
            if !self.demand.has_work(&queue.workspace, &queue.class) {
                self.scheduler.set_empty(&queue);
            }

            let cost = self.cost_ratios.estimate(&queue, request.cost);
            self.scheduler.charge_request(now, &queue, cost as i64);
            let router = request.router.clone();
            let id = self.permits.issue(now, request.router, queue.clone(), cost);
            let message =
                Message::Permit(Permit { id, workspace: queue.workspace, class: queue.class });
            out.push(SidecarOutput::Send { to: router, message });
        }
    }

    /// Refunds the permits that have expired or that `router` holds.
    pub(super) fn release_permits(&mut self, now: Time, router: Option<&Name>) {
        for permit in self.permits.release(now, router) {
            self.scheduler.charge(now, &permit.queue, -(permit.charged as i64));
        }
    }
}
