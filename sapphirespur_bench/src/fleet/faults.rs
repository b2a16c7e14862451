//! Faults that strike processes and connections.

use std::time::Duration;

use sapphirespur_core::name::Name;
use sapphirespur_core::request::AttemptId;
use sapphirespur_core::router::RouterInput;
use sapphirespur_core::sidecar::SidecarInput;

use crate::fleet::{Decisions, Fleet, Input};
use crate::happening::Happening;
use crate::history::{Final, Seen};
use crate::link::Pair;

impl Fleet {
    /// Stops a node without a word; its connections are reset.
    pub fn kill(&mut self, name: &Name) {
        let Some(node) = self.nodes.get_mut(name) else { return };
        node.is_alive = false;
        node.is_frozen = false;
        node.waiting.clear();
        node.watching = false;
        self.see(Seen::Restarted { node: name.clone() });

        let pairs: Vec<Pair> = self.links.up.keys().filter(|p| p.has(name)).cloned().collect();
        for pair in pairs {
            self.links.up.remove(&pair);
            let other = pair.other(name);
            if self.links.passes(name, &other) {
                self.link_down(&other, name);
            }
        }
        self.links.wanted.retain(|(from, _)| from != name);
        if let Some(engine) = self.engines.get_mut(name) {
            engine.running.clear();
        }
        self.lose_requests_of(name);
    }

    /// Starts a stopped node empty.
    pub fn restart(&mut self, name: &Name) {
        let Some(node) = self.nodes.get(name) else { return };
        let data_centre = node.data_centre.clone();

        match node.decisions {
            Decisions::Router(_) => self.start_router(name, &data_centre),
            Decisions::Sidecar(_) => self.start_sidecar(name, &data_centre),
        }
    }

    /// Pauses a node.
    pub fn freeze(&mut self, name: &Name) {
        if let Some(node) = self.nodes.get_mut(name) {
            node.is_frozen = true;
        }
    }

    /// Lets a paused node go on; what arrived meanwhile comes at once.
    pub fn thaw(&mut self, name: &Name) {
        let Some(node) = self.nodes.get_mut(name) else { return };
        node.is_frozen = false;

        for input in std::mem::take(&mut node.waiting) {
            self.handle(name, input);
        }
        self.wake(name);
    }

    /// Cuts all pairs of the two sides from each other.
    pub fn cut(&mut self, side: &[Name], other: &[Name]) {
        for a in side {
            for b in other.iter().filter(|b| *b != a) {
                self.links.cut.insert(Pair::new(a, b));
            }
        }
    }

    /// Ends all cuts.
    pub fn heal(&mut self) {
        self.links.cut.clear();
    }

    /// Makes the open connections of a node carry nothing, while new ones work.
    pub fn silence(&mut self, name: &Name) {
        for (pair, epoch) in &self.links.up {
            if pair.has(name) {
                self.links.silent.insert(*epoch);
            }
        }
        for connection in self.connections.values_mut() {
            if connection.router == *name || connection.sidecar == *name {
                connection.is_silent = true;
            }
        }
    }

    /// Asks a node to shut down.
    pub fn drain(&mut self, name: &Name) {
        let input = match self.nodes.get(name).map(|node| &node.decisions) {
            Some(Decisions::Router(_)) => Input::Router(RouterInput::Drain),
            Some(Decisions::Sidecar(_)) => Input::Sidecar(SidecarInput::Drain),
            None => return,
        };

        self.see(Seen::Closed { upstream: name.clone() });
        self.input(name, input);
    }

    /// Ends the requests that a stopped router held, and the connections of a stopped sidecar.
    pub(super) fn lose_requests_of(&mut self, name: &Name) {
        let held: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| request.router == *name)
            .map(|(request, _)| *request)
            .collect();
        for request in held {
            self.end(request, Final::Cut, None);
        }

        let broken: Vec<AttemptId> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.sidecar == *name)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in broken {
            self.after(Duration::from_millis(400), Happening::SilenceCheck(attempt));
        }
    }
}
