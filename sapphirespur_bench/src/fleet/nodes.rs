//! Processes of the fleet and what their outputs lead to.

use std::time::Duration;

use sapphirespur_core::event::Event;
use sapphirespur_core::name::Name;
use sapphirespur_core::router::{Router, RouterInput, RouterOutput};
use sapphirespur_core::sidecar::{Sidecar, SidecarInput, SidecarOutput};
use sapphirespur_core::time::Time;

use crate::engine::{Engine, EngineShape};
use crate::fleet::Fleet;
use crate::happening::{Happening, Word};
use crate::history::Seen;

/// Decisions of a node.
#[derive(Clone, Debug)]
pub enum Decisions {
    /// Router.
    Router(Box<Router>),
    /// Sidecar with its upstream.
    Sidecar(Box<Sidecar>),
}

/// Input of a node.
#[derive(Clone, Debug)]
pub enum Input {
    /// Of a router.
    Router(RouterInput),
    /// Of a sidecar.
    Sidecar(SidecarInput),
}

/// Process on a VM.
#[derive(Clone, Debug)]
pub struct Node {
    /// Decisions.
    pub decisions: Decisions,
    /// Data centre.
    pub data_centre: Name,
    /// Whether it runs.
    pub is_alive: bool,
    /// Whether it is paused.
    pub is_frozen: bool,
    /// Incarnation.
    pub incarnation: u64,
    /// Inputs that wait while it is paused.
    pub(super) waiting: Vec<Input>,
    pub(super) wake: Option<Time>,
    pub(super) watching: bool,
}

impl Fleet {
    /// Adds a router and starts it.
    pub fn add_router(&mut self, name: &Name, data_centre: &Name) {
        self.start_router(name, data_centre);
    }

    /// Adds an upstream and starts its sidecar.
    pub fn add_upstream(&mut self, name: &Name, data_centre: &Name, shape: EngineShape) {
        self.engines.insert(name.clone(), Engine::new(self.now, shape));
        self.after(Duration::ZERO, Happening::TakeStock(name.clone()));
        self.start_sidecar(name, data_centre);
    }

    /// Returns the decisions of a router.
    ///
    /// # Panics
    ///
    /// Panics when there is no such router, which is a fault of the scenario.
    pub fn router(&self, name: &Name) -> &Router {
        match self.nodes.get(name).map(|node| &node.decisions) {
            Some(Decisions::Router(router)) => router,
            _ => panic!("{name} is no router"),
        }
    }

    /// Returns the decisions of a sidecar.
    ///
    /// # Panics
    ///
    /// Panics when there is no such sidecar, which is a fault of the scenario.
    pub fn sidecar(&self, name: &Name) -> &Sidecar {
        match self.nodes.get(name).map(|node| &node.decisions) {
            Some(Decisions::Sidecar(sidecar)) => sidecar,
            _ => panic!("{name} is no sidecar"),
        }
    }

    /// Returns the names of the nodes of a data centre.
    pub fn nodes_of(&self, data_centre: &Name) -> Vec<Name> {
        let nodes = self.nodes.iter().filter(|(_, node)| node.data_centre == *data_centre);

        nodes.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the revision in force at a node.
    pub fn revision_of(&self, name: &Name) -> u64 {
        match &self.nodes[name].decisions {
            Decisions::Router(router) => router.config().revision,
            Decisions::Sidecar(sidecar) => sidecar.config().revision,
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
        self.add_node(name, data_centre, incarnation, Decisions::Router(Box::new(router)));

        self.after(Duration::ZERO, Happening::ReadMembers(name.clone()));
        self.after(self.options.latency * 2, Happening::ReadConfig(name.clone()));
    }

    pub(super) fn start_sidecar(&mut self, name: &Name, data_centre: &Name) {
        self.next_incarnation += 1_000_000;
        let incarnation = self.next_incarnation;
        let sidecar = Sidecar::new(self.now, name.clone(), incarnation, self.options.sidecar);

        self.add_node(name, data_centre, incarnation, Decisions::Sidecar(Box::new(sidecar)));
    }

    pub(super) fn add_node(
        &mut self,
        name: &Name,
        data_centre: &Name,
        incarnation: u64,
        decisions: Decisions,
    ) {
        let node = Node {
            decisions,
            data_centre: data_centre.clone(),
            is_alive: true,
            is_frozen: false,
            incarnation,
            waiting: Vec::new(),
            wake: None,
            watching: false,
        };
        self.nodes.insert(name.clone(), node);
        self.see(Seen::Restarted { node: name.clone() });
        self.wake(name);
    }

    pub(super) fn is_running(&self, name: &Name) -> bool {
        self.nodes.get(name).is_some_and(|node| node.is_alive)
    }

    /// Gives a node a tick and plans its next one.
    pub(super) fn wake(&mut self, name: &Name) {
        let Some(node) = self.nodes.get(name).filter(|node| node.is_alive) else { return };

        let input = match node.decisions {
            Decisions::Router(_) => Input::Router(RouterInput::Tick),
            Decisions::Sidecar(_) => Input::Sidecar(SidecarInput::Tick),
        };
        if node.is_frozen {
            return;
        }
        self.handle(name, input);
    }

    /// Gives a node an input, or keeps it while the node is paused.
    pub(super) fn input(&mut self, name: &Name, input: Input) {
        let Some(node) = self.nodes.get_mut(name).filter(|node| node.is_alive) else { return };
        if node.is_frozen {
            node.waiting.push(input);
            return;
        }

        self.handle(name, input);
    }

    pub(super) fn handle(&mut self, name: &Name, input: Input) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else { return };
        match (&mut node.decisions, input) {
            (Decisions::Router(router), Input::Router(input)) => {
                let mut out = Vec::new();
                router.handle(now, input, &mut out);
                let deadline = router.next_deadline();
                self.plan_wake(name, deadline);
                for output in out {
                    self.perform_router(name, output);
                }
            }
            (Decisions::Sidecar(sidecar), Input::Sidecar(input)) => {
                let mut out = Vec::new();
                sidecar.handle(now, input, &mut out);
                let deadline = sidecar.next_deadline();
                self.plan_wake(name, deadline);
                for output in out {
                    self.perform_sidecar(name, output);
                }
            }
            _ => unreachable!("inputs are made for the kind of the node"),
        }
    }

    pub(super) fn plan_wake(&mut self, name: &Name, deadline: Option<Time>) {
        let Some(deadline) = deadline else { return };
        let deadline = deadline.max(self.now + Duration::from_micros(1));
        let Some(node) = self.nodes.get_mut(name) else { return };
        if node.wake == Some(deadline) {
            return;
        }

        node.wake = Some(deadline);
        let span = deadline.since(self.now);
        self.after(span, Happening::Wake(name.clone()));
    }

    pub(super) fn perform_router(&mut self, name: &Name, output: RouterOutput) {
        match output {
            RouterOutput::Send { to, message } => self.send(name, &to, &message),
            RouterOutput::Connect { peer, .. } => {
                self.links.wanted.insert((name.clone(), peer.clone()));
                let span = self.latency();
                self.after(span, Happening::Dial { from: name.clone(), to: peer });
            }
            RouterOutput::Disconnect { peer } => {
                self.links.wanted.remove(&(name.clone(), peer.clone()));
                self.close(name, &peer);
            }
            RouterOutput::Reconnect { peer } => self.close(name, &peer),
            RouterOutput::Dispatch(dispatch) => self.on_dispatch(name, dispatch),
            RouterOutput::Refuse { id, refusal } => self.on_refuse(id, refusal),
            RouterOutput::SetWatching(on) => {
                if let Some(node) = self.nodes.get_mut(name) {
                    node.watching = on;
                }
                if on {
                    self.after(self.options.latency * 2, Happening::ReadConfig(name.clone()));
                }
            }
            RouterOutput::Event(event) => self.on_event(name, &event),
            RouterOutput::Drained => self.kill(name),
        }
    }

    pub(super) fn perform_sidecar(&mut self, name: &Name, output: SidecarOutput) {
        match output {
            SidecarOutput::Send { to, message } => self.send(name, &to, &message),
            SidecarOutput::Call { attempt } => self.on_call(name, attempt),
            SidecarOutput::Replay { attempt, response } => {
                let answers = response.body.parse().unwrap_or(u64::MAX);
                self.say(attempt, Word::First);
                self.say(attempt, Word::End { answers });
            }
            SidecarOutput::Refuse { attempt, refusal } => {
                self.say(attempt, Word::Refused(refusal));
            }
            SidecarOutput::Abort { attempt } => {
                if let Some(engine) = self.engines.get_mut(name) {
                    engine.running.remove(&attempt);
                }
            }
            SidecarOutput::AttemptStatus { attempt, status } => self.on_asked(attempt, status),
            SidecarOutput::Commit(batch) => self.on_send_batch(name, batch),
            SidecarOutput::Reconnect { peer } => self.close(name, &peer),
            SidecarOutput::Event(event) => self.on_event(name, &event),
            SidecarOutput::Drained => self.kill(name),
        }
    }

    pub(super) fn on_event(&mut self, name: &Name, event: &Event) {
        if let Event::ConfigApplied { revision } = event {
            self.see(Seen::InForce { node: name.clone(), revision: *revision });
        }
    }
}
