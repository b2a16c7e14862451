//! Control links, heartbeats and configuration of a router.

use crate::config::Config;
use crate::event::Event;
use crate::message::{Heartbeat, Message, NodeState, ServiceReport};
use crate::name::Name;
use crate::router::sidecar_view::PEER_TIMEOUT;
use crate::router::topology::{is_watcher, required_links};
use crate::router::{Router, RouterOutput};
use crate::time::Time;
use crate::vm::Vm;

impl Router {
    /// Puts a configuration in force when its revision is newer.
    pub(super) fn on_config_updated(&mut self, config: Config, out: &mut Vec<RouterOutput>) {
        if self.config.accept(config) {
            self.on_config_applied(out);
        }
    }

    /// Updates sidecar views, links and demand for the new configuration and announces it.
    pub(super) fn on_config_applied(&mut self, out: &mut Vec<RouterOutput>) {
        let revision = self.config.revision();
        out.push(RouterOutput::Event(Event::ConfigApplied { revision }));

        self.demand.configure(self.config.config());
        self.update_links(out);
        self.send_heartbeats(out);
        self.mark_all_queues_changed();
    }

    /// Updates the links and the watcher role for a new list of VMs.
    pub(super) fn on_members_updated(&mut self, members: Vec<Vm>, out: &mut Vec<RouterOutput>) {
        self.members = members;
        self.update_links(out);
        self.update_watching(out);
    }

    /// Starts a link session with a sidecar or a router.
    pub(super) fn on_link_up(&mut self, now: Time, peer: &Name, out: &mut Vec<RouterOutput>) {
        if let Some(view) = self.demand.view_mut(peer) {
            view.on_link_up(now);
        } else {
            self.linked_routers.insert(peer.clone(), now);
            self.update_watching(out);
        }

        let message = self.heartbeat_for(peer);
        out.push(RouterOutput::Send { to: peer.clone(), message });
        self.mark_all_queues_changed();
    }

    /// Ends a link session and drops its state.
    pub(super) fn on_link_down(&mut self, peer: &Name) {
        self.config.on_link_down(peer);
        self.linked_routers.remove(peer);
        if let Some(view) = self.demand.view_mut(peer) {
            view.on_link_down();
        }
    }

    /// Handles a message from a linked process.
    pub(super) fn on_message(
        &mut self,
        now: Time,
        from: &Name,
        message: Message,
        out: &mut Vec<RouterOutput>,
    ) {
        self.record_received(now, from);
        match message {
            Message::Heartbeat(heartbeat) => self.on_heartbeat(now, from, heartbeat, out),
            Message::DemandResync(_) => self.on_resync(from),
            Message::Permit(permit) => self.on_permit(now, from, &permit, out),
            Message::ServiceReport(report) => self.on_service_report(now, from, &report, out),
            Message::ConfigPull(pull) => {
                if let Some(message) = self.config.answer_pull(&pull) {
                    out.push(RouterOutput::Send { to: from.clone(), message });
                }
            }
            Message::ConfigDelta(delta) => {
                self.config.on_pull_answered();
                match self.config.accept_delta(&delta) {
                    Ok(true) => self.on_config_applied(out),
                    Ok(false) => {}
                    Err(_) => {
                        let event = Event::ConfigRejected { from: from.clone() };
                        out.push(RouterOutput::Event(event));
                    }
                }
            }
            Message::ConfigFull(full) => {
                self.config.on_pull_answered();
                self.on_config_updated(full.config, out);
            }
            // These are for sidecars only.
            Message::AccountUpdate(_) | Message::Demand(_) | Message::PermitReturn(_) => {}
        }
    }

    /// Records the time of the last message from a peer.
    pub(super) fn record_received(&mut self, now: Time, from: &Name) {
        if let Some(view) = self.demand.view_mut(from) {
            view.last_received = now;
        }
        if let Some(last_received) = self.linked_routers.get_mut(from) {
            *last_received = now;
        }
    }

    /// Pulls the configuration when the peer has a newer one, and stores a sidecar's state.
    pub(super) fn on_heartbeat(
        &mut self,
        now: Time,
        from: &Name,
        heartbeat: Heartbeat,
        out: &mut Vec<RouterOutput>,
    ) {
        if let Some(message) = self.config.on_peer_revision(now, from, heartbeat.revision) {
            out.push(RouterOutput::Send { to: from.clone(), message });
        }
        if let NodeState::Sidecar(state) = heartbeat.state {
            self.demand.on_state(now, from, heartbeat.revision, state);
        }
    }

    /// Updates the accounts held here and replies with their virtual times.
    pub(super) fn on_service_report(
        &mut self,
        now: Time,
        from: &Name,
        report: &ServiceReport,
        out: &mut Vec<RouterOutput>,
    ) {
        let workspaces = &self.config.config().workspaces;
        let share = |name: &Name| workspaces.get(name).map_or(1, |workspace| workspace.share);
        let update = self.accounts.report(now, from, report, share);

        out.push(RouterOutput::Send { to: from.clone(), message: Message::AccountUpdate(update) });
    }

    /// Reconnects the links that received no message for `PEER_TIMEOUT`.
    pub(super) fn check_peers(&mut self, now: Time, out: &mut Vec<RouterOutput>) {
        let sidecars = self.demand.views().iter().filter(|(_, view)| view.linked);
        let last_received = sidecars
            .map(|(name, view)| (name, view.last_received))
            .chain(self.linked_routers.iter().map(|(name, last_received)| (name, *last_received)));
        let unresponsive: Vec<Name> = last_received
            .filter(|(_, last_received)| now.since(*last_received) >= PEER_TIMEOUT)
            .map(|(name, _)| name.clone())
            .collect();

        for peer in unresponsive {
            self.on_link_down(&peer);
            out.push(RouterOutput::Reconnect { peer });
        }
    }

    /// Sends a heartbeat to each linked peer.
    pub(super) fn send_heartbeats(&self, out: &mut Vec<RouterOutput>) {
        out.extend(self.linked_peers().into_iter().map(|peer| {
            let message = self.heartbeat_for(&peer);
            RouterOutput::Send { to: peer, message }
        }));
    }

    /// Returns the linked sidecars and routers, each in order of name.
    pub(super) fn linked_peers(&self) -> Vec<Name> {
        let sidecars = self.demand.views().iter().filter(|(_, view)| view.linked);
        let mut routers: Vec<Name> = self.linked_routers.keys().cloned().collect();
        routers.sort_unstable();

        sidecars.map(|(name, _)| name.clone()).chain(routers).collect()
    }

    /// Builds the heartbeat for `peer`; the demand sequence is zero for routers.
    pub(super) fn heartbeat_for(&self, peer: &Name) -> Message {
        let view = self.demand.views().get(peer);

        Message::Heartbeat(Heartbeat {
            incarnation: self.incarnation,
            revision: self.config.revision(),
            state: NodeState::Router {
                demand_sequence: view.map_or(0, |view| view.sequence()),
                draining: self.draining,
            },
        })
    }

    /// Opens and closes links to match the configuration and the list of VMs.
    pub(super) fn update_links(&mut self, out: &mut Vec<RouterOutput>) {
        let required =
            required_links(&self.name, &self.data_centre, self.config.config(), &self.members);

        for (peer, address) in &self.links {
            if required.get(peer) != Some(address) {
                out.push(RouterOutput::Disconnect { peer: peer.clone() });
            }
        }
        for (peer, address) in &required {
            if self.links.get(peer) != Some(address) {
                let (peer, address) = (peer.clone(), address.clone());
                out.push(RouterOutput::Connect { peer, address });
            }
        }
        self.links = required;
    }

    /// Starts or stops watching the platform when this router gains or loses the watcher role.
    pub(super) fn update_watching(&mut self, out: &mut Vec<RouterOutput>) {
        let is_alive = |name: &Name| self.linked_routers.contains_key(name);
        let watching = is_watcher(&self.name, &self.data_centre, &self.members, is_alive);

        if watching != self.watching {
            self.watching = watching;
            out.push(RouterOutput::SetWatching(watching));
        }
    }
}
