//! Nodes of the fleet: their inputs, deadlines and outputs.

use std::time::Duration;

use sapphirespur_core::event::Event;
use sapphirespur_core::name::Name;
use sapphirespur_core::router::{Router, RouterInput, RouterOutput};
use sapphirespur_core::sidecar::{Sidecar, SidecarInput, SidecarOutput};
use sapphirespur_core::time::Time;

use crate::engine::{Engine, EngineParams};
use crate::fleet::Fleet;
use crate::history::HistoryEvent;
use crate::sim_event::{AttemptReply, SimEvent};

/// State machine that runs at a node.
#[derive(Clone, Debug)]
pub enum StateMachine {
    /// State machine of a router.
    Router(Box<Router>),
    /// State machine of a sidecar.
    Sidecar(Box<Sidecar>),
}

/// Input of a node's state machine.
#[derive(Clone, Debug)]
pub enum NodeInput {
    /// Input of a router.
    Router(RouterInput),
    /// Input of a sidecar.
    Sidecar(SidecarInput),
}

/// Router or sidecar process on a VM.
#[derive(Clone, Debug)]
pub struct Node {
    /// State machine that the node runs.
    pub state_machine: StateMachine,
    /// Data centre of the VM.
    pub data_centre: Name,
    /// Whether the process runs; also true while it is paused.
    pub is_alive: bool,
    /// Whether the process is paused.
    pub is_paused: bool,
    /// Incarnation, which grows with each start.
    pub incarnation: u64,
    /// Inputs that arrived while it was paused; it handles them when it resumes.
    pub(super) pending_inputs: Vec<NodeInput>,
    /// Time of the next scheduled tick.
    pub(super) next_wake: Option<Time>,
    /// Whether the router watches the platform's configuration.
    pub(super) is_watching: bool,
}

impl Fleet {
    /// Adds a router and starts it.
    pub fn add_router(&mut self, name: &Name, data_centre: &Name) {
        self.start_router(name, data_centre);
    }

    /// Adds an upstream and starts its sidecar.
    pub fn add_upstream(&mut self, name: &Name, data_centre: &Name, params: EngineParams) {
        self.engines.insert(name.clone(), Engine::new(self.now, params));
        self.schedule_event(Duration::ZERO, SimEvent::SampleLoad(name.clone()));
        self.start_sidecar(name, data_centre);
    }

    /// Returns the state machine of a router.
    ///
    /// # Panics
    ///
    /// Panics if there is no such router, which is an error in the scenario.
    pub fn router(&self, name: &Name) -> &Router {
        match self.nodes.get(name).map(|node| &node.state_machine) {
            Some(StateMachine::Router(router)) => router,
            _ => panic!("{name} is not a router"),
        }
    }

    /// Returns the state machine of a sidecar.
    ///
    /// # Panics
    ///
    /// Panics if there is no such sidecar, which is an error in the scenario.
    pub fn sidecar(&self, name: &Name) -> &Sidecar {
        match self.nodes.get(name).map(|node| &node.state_machine) {
            Some(StateMachine::Sidecar(sidecar)) => sidecar,
            _ => panic!("{name} is not a sidecar"),
        }
    }

    /// Returns the names of the nodes in a data centre.
    pub fn nodes_in(&self, data_centre: &Name) -> Vec<Name> {
        let nodes = self.nodes.iter().filter(|(_, node)| node.data_centre == *data_centre);

        nodes.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the configuration revision that is in force at a node.
    pub fn node_revision(&self, name: &Name) -> u64 {
        match &self.nodes[name].state_machine {
            StateMachine::Router(router) => router.config().revision,
            StateMachine::Sidecar(sidecar) => sidecar.config().revision,
        }
    }

    pub(super) fn start_router(&mut self, name: &Name, data_centre: &Name) {
        self.next_incarnation += 1_000_000;
        let incarnation = self.next_incarnation;
        let router = Router::new(
            self.now,
            name.clone(),
            data_centre.clone(),
            incarnation,
            self.options.router,
        );
        self.add_node(name, data_centre, incarnation, StateMachine::Router(Box::new(router)));

        self.schedule_event(Duration::ZERO, SimEvent::ReadVmList(name.clone()));
        self.schedule_event(self.options.latency * 2, SimEvent::ReadConfig(name.clone()));
    }

    pub(super) fn start_sidecar(&mut self, name: &Name, data_centre: &Name) {
        self.next_incarnation += 1_000_000;
        let incarnation = self.next_incarnation;
        let sidecar = Sidecar::new(self.now, name.clone(), incarnation, self.options.sidecar);

        self.add_node(name, data_centre, incarnation, StateMachine::Sidecar(Box::new(sidecar)));
    }

    pub(super) fn add_node(
        &mut self,
        name: &Name,
        data_centre: &Name,
        incarnation: u64,
        state_machine: StateMachine,
    ) {
        let node = Node {
            state_machine,
            data_centre: data_centre.clone(),
            is_alive: true,
            is_paused: false,
            incarnation,
            pending_inputs: Vec::new(),
            next_wake: None,
            is_watching: false,
        };
        self.nodes.insert(name.clone(), node);
        self.record(HistoryEvent::NodeStateLost { node: name.clone() });
        self.wake(name);
    }

    pub(super) fn is_running(&self, name: &Name) -> bool {
        self.nodes.get(name).is_some_and(|node| node.is_alive)
    }

    /// Runs a node's state machine with a tick, unless the node is stopped or paused.
    pub(super) fn wake(&mut self, name: &Name) {
        let Some(node) = self.nodes.get(name).filter(|node| node.is_alive) else { return };

        let input = match node.state_machine {
            StateMachine::Router(_) => NodeInput::Router(RouterInput::Tick),
            StateMachine::Sidecar(_) => NodeInput::Sidecar(SidecarInput::Tick),
        };
        if node.is_paused {
            return;
        }
        self.handle_input(name, input);
    }

    /// Gives a node an input; queues it if the node is paused and drops it if the node is stopped.
    pub(super) fn deliver_input(&mut self, name: &Name, input: NodeInput) {
        let Some(node) = self.nodes.get_mut(name).filter(|node| node.is_alive) else { return };
        if node.is_paused {
            node.pending_inputs.push(input);
            return;
        }

        self.handle_input(name, input);
    }

    /// Runs a node's state machine with an input and executes the outputs.
    pub(super) fn handle_input(&mut self, name: &Name, input: NodeInput) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else { return };
        match (&mut node.state_machine, input) {
            (StateMachine::Router(router), NodeInput::Router(input)) => {
                let mut out = Vec::new();
                router.handle(now, input, &mut out);
                let deadline = router.next_deadline();
                self.schedule_wake(name, deadline);
                for output in out {
                    self.execute_router_output(name, output);
                }
            }
            (StateMachine::Sidecar(sidecar), NodeInput::Sidecar(input)) => {
                let mut out = Vec::new();
                sidecar.handle(now, input, &mut out);
                let deadline = sidecar.next_deadline();
                self.schedule_wake(name, deadline);
                for output in out {
                    self.execute_sidecar_output(name, output);
                }
            }
            _ => unreachable!("the input does not match the role of the node"),
        }
    }

    pub(super) fn schedule_wake(&mut self, name: &Name, deadline: Option<Time>) {
        let Some(deadline) = deadline else { return };
        let deadline = deadline.max(self.now + Duration::from_micros(1));
        let Some(node) = self.nodes.get_mut(name) else { return };
        if node.next_wake == Some(deadline) {
            return;
        }

        node.next_wake = Some(deadline);
        let delay = deadline.since(self.now);
        self.schedule_event(delay, SimEvent::Wake(name.clone()));
    }

    pub(super) fn execute_router_output(&mut self, name: &Name, output: RouterOutput) {
        match output {
            RouterOutput::Send { to, message } => self.send(name, &to, &message),
            RouterOutput::Connect { peer, .. } => {
                self.links.wanted.insert((name.clone(), peer.clone()));
                let delay = self.latency();
                self.schedule_event(delay, SimEvent::Dial { from: name.clone(), to: peer });
            }
            RouterOutput::Disconnect { peer } => {
                self.links.wanted.remove(&(name.clone(), peer.clone()));
                self.close_link(name, &peer);
            }
            RouterOutput::Reconnect { peer } => self.close_link(name, &peer),
            RouterOutput::Dispatch(dispatch) => self.on_dispatch(name, dispatch),
            RouterOutput::Refuse { id, refusal } => self.on_refuse(id, refusal),
            RouterOutput::SetWatching(on) => {
                if let Some(node) = self.nodes.get_mut(name) {
                    node.is_watching = on;
                }
                if on {
                    self.schedule_event(
                        self.options.latency * 2,
                        SimEvent::ReadConfig(name.clone()),
                    );
                }
            }
            RouterOutput::Event(event) => self.on_event(name, &event),
            RouterOutput::Drained => self.kill(name),
        }
    }

    pub(super) fn execute_sidecar_output(&mut self, name: &Name, output: SidecarOutput) {
        match output {
            SidecarOutput::Send { to, message } => self.send(name, &to, &message),
            SidecarOutput::Call { attempt } => self.on_call(name, attempt),
            SidecarOutput::Replay { attempt, response } => {
                let answered_request = response.body.parse().unwrap_or(u64::MAX);
                self.send_reply(attempt, AttemptReply::FirstContent);
                self.send_reply(attempt, AttemptReply::End { answered_request });
            }
            SidecarOutput::Refuse { attempt, refusal } => {
                self.send_reply(attempt, AttemptReply::Refused(refusal));
            }
            SidecarOutput::Abort { attempt } => {
                if let Some(engine) = self.engines.get_mut(name) {
                    engine.running.remove(&attempt);
                }
            }
            SidecarOutput::AttemptStatus { attempt, status } => {
                self.on_attempt_status(attempt, status)
            }
            SidecarOutput::Commit(batch) => self.on_send_batch(name, batch),
            SidecarOutput::Reconnect { peer } => self.close_link(name, &peer),
            SidecarOutput::Event(event) => self.on_event(name, &event),
            SidecarOutput::Drained => self.kill(name),
        }
    }

    pub(super) fn on_event(&mut self, name: &Name, event: &Event) {
        if let Event::ConfigApplied { revision } = event {
            self.record(HistoryEvent::ConfigInForce { node: name.clone(), revision: *revision });
        }
    }
}
