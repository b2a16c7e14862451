//! Links to routers: messages, heartbeats, service reports and configuration updates.

use std::time::Duration;

use crate::account::home_router;
use crate::event::Event;
use crate::fair_scheduler::ClassQueue;
use crate::message::{
    AccountUpdate, ConfigDelta, DemandResync, Heartbeat, Message, NodeState, ServiceReport,
    SidecarState,
};
use crate::name::Name;
use crate::sidecar::sidecar::LinkedRouter;
use crate::sidecar::{Sidecar, SidecarOutput};
use crate::time::Time;

/// Time without a message after which the link to a router is closed as unresponsive.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);

impl Sidecar {
    pub(super) fn on_link_up(&mut self, now: Time, peer: &Name, out: &mut Vec<SidecarOutput>) {
        let change = self.demand.on_link_up(peer);
        self.on_demand_change(now, peer, &change, out);
        self.release_permits(now, Some(peer));

        self.routers.insert(peer.clone(), LinkedRouter { last_received: now, draining: false });
        let message = self.heartbeat(now);
        out.push(SidecarOutput::Send { to: peer.clone(), message });
    }

    pub(super) fn on_link_down(&mut self, now: Time, peer: &Name) {
        self.config.on_link_down(peer);
        self.routers.remove(peer);
        let change = self.demand.on_link_down(peer);
        for queue in &change.empty {
            self.scheduler.set_empty(queue);
        }
        self.release_permits(now, Some(peer));
    }

    pub(super) fn on_message(
        &mut self,
        now: Time,
        from: &Name,
        message: Message,
        out: &mut Vec<SidecarOutput>,
    ) {
        let Some(router) = self.routers.get_mut(from) else { return };
        router.last_received = now;

        match message {
            Message::Heartbeat(heartbeat) => self.on_heartbeat(now, from, &heartbeat, out),
            Message::Demand(demand) => {
                let change = self.demand.on_demand(now, from, &demand);
                self.on_demand_change(now, from, &change, out);
            }
            Message::PermitReturn(returned) => self.on_permit_return(now, from, &returned, out),
            Message::AccountUpdate(update) => self.on_account_update(&update),
            Message::ConfigPull(pull) => {
                if let Some(message) = self.config.answer_pull(&pull) {
                    out.push(SidecarOutput::Send { to: from.clone(), message });
                }
            }
            Message::ConfigDelta(delta) => self.on_config_delta(now, from, &delta, out),
            Message::ConfigFull(full) => {
                self.config.on_pull_answered();
                if self.config.accept(full.config) {
                    self.on_config_in_force(now, out);
                }
            }
            // Sent by sidecars only.
            Message::DemandResync(_) | Message::Permit(_) | Message::ServiceReport(_) => {}
        }
    }

    pub(super) fn on_heartbeat(
        &mut self,
        now: Time,
        from: &Name,
        heartbeat: &Heartbeat,
        out: &mut Vec<SidecarOutput>,
    ) {
        if let Some(message) = self.config.on_peer_revision(now, from, heartbeat.revision) {
            out.push(SidecarOutput::Send { to: from.clone(), message });
        }
        let NodeState::Router { demand_sequence, draining } = heartbeat.state else { return };

        if let Some(router) = self.routers.get_mut(from) {
            router.draining = draining;
        }
        if self.demand.is_behind(from, demand_sequence) {
            self.request_resync(from, out);
        }
    }

    pub(super) fn request_resync(&self, router: &Name, out: &mut Vec<SidecarOutput>) {
        let last_sequence = self.demand.sequence(router);
        let message = Message::DemandResync(DemandResync { last_sequence });
        out.push(SidecarOutput::Send { to: router.clone(), message });
    }

    pub(super) fn on_account_update(&mut self, update: &AccountUpdate) {
        for entry in &update.entries {
            self.scheduler.on_account(entry);
        }
    }

    pub(super) fn on_config_delta(
        &mut self,
        now: Time,
        from: &Name,
        delta: &ConfigDelta,
        out: &mut Vec<SidecarOutput>,
    ) {
        self.config.on_pull_answered();
        match self.config.accept_delta(delta) {
            Ok(true) => self.on_config_in_force(now, out),
            Ok(false) => {}
            Err(_) => {
                out.push(SidecarOutput::Event(Event::ConfigRejected { from: from.clone() }));
            }
        }
    }

    /// Applies a new configuration: limiter bounds, serving state and weights of waiting queues.
    pub(super) fn on_config_in_force(&mut self, now: Time, out: &mut Vec<SidecarOutput>) {
        let revision = self.config.revision();
        out.push(SidecarOutput::Event(Event::ConfigApplied { revision }));

        if let Some((cold_slots, slots)) = self.upstream_config().map(|u| (u.cold_slots, u.slots)) {
            self.limiter.set_bounds(cold_slots, slots);
        }
        let is_open = self.is_serving();
        let was_open = std::mem::replace(&mut self.is_open, is_open);
        if self.is_open && !was_open {
            self.limiter.on_reopened();
        }
        let waiting: Vec<ClassQueue> = self.demand.queues().collect();
        for queue in &waiting {
            self.mark_waiting(now, queue);
        }
        self.send_heartbeats(now, out);
    }

    /// Sends service reports to the home routers of the workspaces' accounts. A draining router is
    /// not eligible as a home.
    pub(super) fn send_reports(&mut self, out: &mut Vec<SidecarOutput>) {
        let Some(target) = self.upstream_config().map(|u| u.target.clone()) else { return };
        let homes: Vec<Name> = self
            .routers
            .iter()
            .filter(|(_, router)| !router.draining)
            .map(|(name, _)| name.clone())
            .collect();
        let reports = self
            .scheduler
            .report(|workspace| home_router(&target, workspace, homes.iter()).cloned());

        let mut reports: Vec<_> = reports.into_iter().collect();
        reports.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        for (to, entries) in reports {
            self.report_sequence += 1;
            let report =
                ServiceReport { sequence: self.report_sequence, target: target.clone(), entries };
            out.push(SidecarOutput::Send { to, message: Message::ServiceReport(report) });
        }
    }

    /// Closes the links on which nothing was received for `PEER_TIMEOUT`.
    pub(super) fn close_unresponsive_links(&mut self, now: Time, out: &mut Vec<SidecarOutput>) {
        let unresponsive: Vec<Name> = self
            .routers
            .iter()
            .filter(|(_, router)| now.since(router.last_received) >= PEER_TIMEOUT)
            .map(|(name, _)| name.clone())
            .collect();

        for peer in unresponsive {
            self.on_link_down(now, &peer);
            out.push(SidecarOutput::Reconnect { peer });
        }
    }

    pub(super) fn send_heartbeats(&self, now: Time, out: &mut Vec<SidecarOutput>) {
        for name in self.routers.keys() {
            let message = self.heartbeat(now);
            out.push(SidecarOutput::Send { to: name.clone(), message });
        }
    }

    /// Sends heartbeats at once when the serving state or the limiter's phase has changed.
    pub(super) fn advertise_state_change(&mut self, now: Time, out: &mut Vec<SidecarOutput>) {
        let state = Some((self.is_serving(), self.limiter.phase()));
        if state == self.last_advertised {
            return;
        }

        if self.last_advertised.is_some_and(|(_, phase)| phase != self.limiter.phase()) {
            let phase = self.limiter.phase();
            out.push(SidecarOutput::Event(Event::PhaseChanged { phase }));
        }
        self.last_advertised = state;
        self.send_heartbeats(now, out);
    }

    pub(super) fn heartbeat(&self, now: Time) -> Message {
        Message::Heartbeat(Heartbeat {
            incarnation: self.incarnation,
            revision: self.config.revision(),
            state: NodeState::Sidecar(SidecarState {
                upstream: self.upstream.clone(),
                phase: self.limiter.phase(),
                limit: self.limiter.limit(now),
                free: self.free_slots(now),
                serving: self.is_serving(),
            }),
        })
    }
}
