//! Injection of faults into processes and connections.

use std::time::Duration;

use sapphirespur_core::name::Name;
use sapphirespur_core::request::AttemptId;
use sapphirespur_core::router::RouterInput;
use sapphirespur_core::sidecar::SidecarInput;

use crate::fleet::{Fleet, NodeInput, StateMachine};
use crate::history::{FinalAnswer, HistoryEvent};
use crate::links::NodePair;
use crate::sim_event::SimEvent;

impl Fleet {
    /// Stops a node at once; its connections are reset.
    pub fn kill(&mut self, name: &Name) {
        let Some(node) = self.nodes.get_mut(name) else { return };
        node.is_alive = false;
        node.is_paused = false;
        node.pending_inputs.clear();
        node.is_watching = false;
        self.record(HistoryEvent::NodeStateLost { node: name.clone() });

        let pairs: Vec<NodePair> =
            self.links.up.keys().filter(|p| p.contains(name)).cloned().collect();
        for pair in pairs {
            self.links.up.remove(&pair);
            let other = pair.other(name);
            if self.links.is_reachable(name, &other) {
                self.on_link_down(&other, name);
            }
        }
        self.links.wanted.retain(|(from, _)| from != name);
        if let Some(engine) = self.engines.get_mut(name) {
            engine.running.clear();
        }
        self.drop_requests(name);
    }

    /// Starts a stopped node without state.
    pub fn restart(&mut self, name: &Name) {
        let Some(node) = self.nodes.get(name) else { return };
        let data_centre = node.data_centre.clone();

        match node.state_machine {
            StateMachine::Router(_) => self.start_router(name, &data_centre),
            StateMachine::Sidecar(_) => self.start_sidecar(name, &data_centre),
        }
    }

    /// Pauses a node; its inputs are queued until it resumes.
    pub fn pause(&mut self, name: &Name) {
        if let Some(node) = self.nodes.get_mut(name) {
            node.is_paused = true;
        }
    }

    /// Resumes a paused node, which handles all queued inputs at once.
    pub fn resume(&mut self, name: &Name) {
        let Some(node) = self.nodes.get_mut(name) else { return };
        node.is_paused = false;

        for input in std::mem::take(&mut node.pending_inputs) {
            self.handle_input(name, input);
        }
        self.wake(name);
    }

    /// Creates a network partition between the nodes of the two sides.
    pub fn partition(&mut self, side: &[Name], other: &[Name]) {
        for a in side {
            for b in other.iter().filter(|b| *b != a) {
                self.links.partitioned.insert(NodePair::new(a, b));
            }
        }
    }

    /// Removes all network partitions.
    pub fn heal_partitions(&mut self) {
        self.links.partitioned.clear();
    }

    /// Makes the open connections of a node drop all traffic, while new connections work.
    pub fn blackhole(&mut self, name: &Name) {
        for (pair, epoch) in &self.links.up {
            if pair.contains(name) {
                self.links.blackholed.insert(*epoch);
            }
        }
        for connection in self.connections.values_mut() {
            if connection.router == *name || connection.sidecar == *name {
                connection.is_blackholed = true;
            }
        }
    }

    /// Starts the graceful shutdown of a node.
    pub fn drain(&mut self, name: &Name) {
        let input = match self.nodes.get(name).map(|node| &node.state_machine) {
            Some(StateMachine::Router(_)) => NodeInput::Router(RouterInput::Drain),
            Some(StateMachine::Sidecar(_)) => NodeInput::Sidecar(SidecarInput::Drain),
            None => return,
        };

        self.record(HistoryEvent::Closed { upstream: name.clone() });
        self.deliver_input(name, input);
    }

    /// Interrupts the requests of a stopped router, and schedules the check of each attempt at a
    /// stopped sidecar.
    pub(super) fn drop_requests(&mut self, name: &Name) {
        let request_ids: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| request.router == *name)
            .map(|(request, _)| *request)
            .collect();
        for request in request_ids {
            self.finish_request(request, FinalAnswer::Interrupted, None);
        }

        let attempts: Vec<AttemptId> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.sidecar == *name)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in attempts {
            self.schedule_event(Duration::from_millis(400), SimEvent::IdleCheck(attempt));
        }
    }
}
