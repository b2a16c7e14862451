//! Simulated control links between the nodes.

use std::time::Duration;

use sapphirespur_core::message::Message;
use sapphirespur_core::name::Name;
use sapphirespur_core::router::RouterInput;
use sapphirespur_core::sidecar::SidecarInput;

use crate::fleet::{Fleet, NodeInput, StateMachine};
use crate::links::NodePair;
use crate::sim_event::SimEvent;

/// Time between two attempts of a node to open a link.
const REDIAL_INTERVAL: Duration = Duration::from_millis(200);

impl Fleet {
    /// Sends a message on a link, where it may be lost or duplicated.
    pub(super) fn send(&mut self, from: &Name, to: &Name, message: &Message) {
        self.links.record_traffic(message);
        let Some(epoch) = self.links.up.get(&NodePair::new(from, to)).copied() else { return };
        let (loss, duplication) = (self.links.loss_per_mille, self.links.duplication_per_mille);
        if loss > 0 && self.rng.per_mille(loss) {
            return;
        }

        let copies = 1 + usize::from(duplication > 0 && self.rng.per_mille(duplication));
        for _ in 0..copies {
            let delay = self.latency();
            let (from, to, message) = (from.clone(), to.clone(), message.clone());
            self.schedule_event(delay, SimEvent::Deliver { from, to, epoch, message });
        }
    }

    pub(super) fn on_deliver(&mut self, from: &Name, to: &Name, epoch: u64, message: Message) {
        let is_current = self.links.up.get(&NodePair::new(from, to)) == Some(&epoch);
        let is_blackholed = self.links.blackholed.contains(&epoch);
        if !is_current || is_blackholed || !self.links.is_reachable(from, to) {
            return;
        }

        let from = from.clone();
        let input = match self.nodes.get(to).map(|node| &node.state_machine) {
            Some(StateMachine::Router(_)) => {
                NodeInput::Router(RouterInput::Message { from, message })
            }
            Some(StateMachine::Sidecar(_)) => {
                NodeInput::Sidecar(SidecarInput::Message { from, message })
            }
            None => return,
        };
        self.deliver_input(to, input);
    }

    pub(super) fn on_dial(&mut self, from: &Name, to: &Name) {
        let wanted = self.links.wanted.contains(&(from.clone(), to.clone()));
        if !wanted || !self.is_running(from) {
            return;
        }

        let pair = NodePair::new(from, to);
        let is_paused =
            [from, to].iter().any(|name| self.nodes.get(*name).is_some_and(|n| n.is_paused));
        let is_open = self.links.up.contains_key(&pair);
        if !is_open && !is_paused && self.is_running(to) && self.links.is_reachable(from, to) {
            self.links.last_epoch += 1;
            self.links.up.insert(pair, self.links.last_epoch);
            self.on_link_up(to, from);
            self.on_link_up(from, to);
        }
        let (from, to) = (from.clone(), to.clone());
        self.schedule_event(REDIAL_INTERVAL, SimEvent::Dial { from, to });
    }

    pub(super) fn on_link_up(&mut self, at: &Name, peer: &Name) {
        let peer = peer.clone();
        match self.nodes.get(at).map(|node| &node.state_machine) {
            Some(StateMachine::Router(_)) => {
                self.deliver_input(at, NodeInput::Router(RouterInput::LinkUp { peer }));
            }
            Some(StateMachine::Sidecar(_)) => {
                self.deliver_input(at, NodeInput::Sidecar(SidecarInput::LinkUp { peer }));
            }
            None => {}
        }
    }

    pub(super) fn on_link_down(&mut self, at: &Name, peer: &Name) {
        let peer = peer.clone();
        match self.nodes.get(at).map(|node| &node.state_machine) {
            Some(StateMachine::Router(_)) => {
                self.deliver_input(at, NodeInput::Router(RouterInput::LinkDown { peer }));
            }
            Some(StateMachine::Sidecar(_)) => {
                self.deliver_input(at, NodeInput::Sidecar(SidecarInput::LinkDown { peer }));
            }
            None => {}
        }
    }

    /// Closes a link at both ends.
    pub(super) fn close_link(&mut self, from: &Name, to: &Name) {
        if self.links.up.remove(&NodePair::new(from, to)).is_some() {
            self.on_link_down(from, to);
            self.on_link_down(to, from);
        }
    }
}
