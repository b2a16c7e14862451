//! Control links between the processes.

use std::time::Duration;

use sapphirespur_core::message::Message;
use sapphirespur_core::name::Name;
use sapphirespur_core::router::RouterInput;
use sapphirespur_core::sidecar::SidecarInput;

use crate::fleet::{Decisions, Fleet, Input};
use crate::happening::Happening;
use crate::link::Pair;

/// Pause before a link is opened again.
const REDIAL_PAUSE: Duration = Duration::from_millis(200);

impl Fleet {
    pub(super) fn send(&mut self, from: &Name, to: &Name, message: &Message) {
        self.links.count(message);
        let Some(epoch) = self.links.up.get(&Pair::new(from, to)).copied() else { return };
        let (loss, repeat) = (self.links.loss, self.links.repeat);
        if loss > 0 && self.rng.per_mille(loss) {
            return;
        }

        let copies = 1 + usize::from(repeat > 0 && self.rng.per_mille(repeat));
        for _ in 0..copies {
            let span = self.latency();
            let (from, to, message) = (from.clone(), to.clone(), message.clone());
            self.after(span, Happening::Deliver { from, to, epoch, message });
        }
    }

    pub(super) fn on_deliver(&mut self, from: &Name, to: &Name, epoch: u64, message: Message) {
        let is_current = self.links.up.get(&Pair::new(from, to)) == Some(&epoch);
        let is_silent = self.links.silent.contains(&epoch);
        if !is_current || is_silent || !self.links.passes(from, to) {
            return;
        }

        let from = from.clone();
        let input = match self.nodes.get(to).map(|node| &node.decisions) {
            Some(Decisions::Router(_)) => Input::Router(RouterInput::Message { from, message }),
            Some(Decisions::Sidecar(_)) => Input::Sidecar(SidecarInput::Message { from, message }),
            None => return,
        };
        self.input(to, input);
    }

    pub(super) fn on_dial(&mut self, from: &Name, to: &Name) {
        let wanted = self.links.wanted.contains(&(from.clone(), to.clone()));
        if !wanted || !self.is_running(from) {
            return;
        }

        let pair = Pair::new(from, to);
        let is_frozen =
            [from, to].iter().any(|name| self.nodes.get(*name).is_some_and(|n| n.is_frozen));
        let is_open = self.links.up.contains_key(&pair);
        if !is_open && !is_frozen && self.is_running(to) && self.links.passes(from, to) {
            self.links.epoch += 1;
            self.links.up.insert(pair, self.links.epoch);
            self.link_up(to, from);
            self.link_up(from, to);
        }
        let (from, to) = (from.clone(), to.clone());
        self.after(REDIAL_PAUSE, Happening::Dial { from, to });
    }

    pub(super) fn link_up(&mut self, at: &Name, peer: &Name) {
        let peer = peer.clone();
        match self.nodes.get(at).map(|node| &node.decisions) {
            Some(Decisions::Router(_)) => {
                self.input(at, Input::Router(RouterInput::LinkUp { peer }));
            }
            Some(Decisions::Sidecar(_)) => {
                self.input(at, Input::Sidecar(SidecarInput::LinkUp { peer }));
            }
            None => {}
        }
    }

    pub(super) fn link_down(&mut self, at: &Name, peer: &Name) {
        let peer = peer.clone();
        match self.nodes.get(at).map(|node| &node.decisions) {
            Some(Decisions::Router(_)) => {
                self.input(at, Input::Router(RouterInput::LinkDown { peer }));
            }
            Some(Decisions::Sidecar(_)) => {
                self.input(at, Input::Sidecar(SidecarInput::LinkDown { peer }));
            }
            None => {}
        }
    }

    /// Closes a link at both ends.
    pub(super) fn close(&mut self, from: &Name, to: &Name) {
        if self.links.up.remove(&Pair::new(from, to)).is_some() {
            self.link_down(from, to);
            self.link_down(to, from);
        }
    }
}
