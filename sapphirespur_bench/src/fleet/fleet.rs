//! Fleet with its queue of happenings.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sapphirespur_core::name::Name;
use sapphirespur_core::request::AttemptId;
use sapphirespur_core::router::{RouterInput, RouterPolicy};
use sapphirespur_core::sidecar::{SidecarInput, SidecarPolicy};
use sapphirespur_core::time::Time;
use sapphirespur_core::vm::Vm;

use crate::client::{Client, ClientRequest};
use crate::engine::Engine;
use crate::fleet::attempts::Connection;
use crate::fleet::{Node, NodeInput};
use crate::history::{History, HistoryEvent};
use crate::links::Links;
use crate::platform::Platform;
use crate::rng::Rng;
use crate::sim_event::{Action, SimEvent};

/// Time between two looks at the VM list.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(2);

/// Time at which every run starts, so that earlier times can be named.
pub const START: Time = Time::from_micros(86_400_000_000);

/// Limits and sizes of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetOptions {
    /// Seed.
    pub seed: u64,
    /// One way between two data centres.
    pub latency: Duration,
    /// Limits of the routers.
    pub router: RouterPolicy,
    /// Limits of the sidecars.
    pub sidecar: SidecarPolicy,
    /// Time until a change of the VM list shows.
    pub members_lag: Duration,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            latency: Duration::from_millis(1),
            router: RouterPolicy::default(),
            sidecar: SidecarPolicy { has_load_reports: true, ..SidecarPolicy::default() },
            members_lag: Duration::ZERO,
        }
    }
}

/// Fleet with its callers, upstreams and platform.
pub struct Fleet {
    /// Time now.
    pub now: Time,
    /// Options.
    pub options: FleetOptions,
    /// What was seen.
    pub history: History,
    /// Links.
    pub links: Links,
    /// Platform.
    pub platform: Platform,
    /// Nodes by name.
    pub nodes: BTreeMap<Name, Node>,
    /// Upstreams by the name of their sidecar.
    pub engines: BTreeMap<Name, Engine>,
    /// Clients.
    pub clients: Vec<Client>,
    /// Requests under way.
    pub requests: BTreeMap<u64, ClientRequest>,
    /// Source of chance.
    pub rng: Rng,
    /// Whether all requests come as those of one workspace and class, which are served in turn.
    pub is_fifo: bool,
    pub(super) queue: BTreeMap<(Time, u64), SimEvent>,
    pub(super) sequence: u64,
    pub(super) connections: BTreeMap<AttemptId, Connection>,
    pub(super) members: Vec<Vm>,
    pub(super) request_clients: BTreeMap<u64, usize>,
    pub(super) next_request: u64,
    pub(super) next_incarnation: u64,
    pub(super) queried: BTreeSet<AttemptId>,
}

impl Fleet {
    /// Creates an empty fleet.
    pub fn new(options: FleetOptions) -> Self {
        Self {
            now: START,
            options,
            history: History::default(),
            links: Links::default(),
            platform: Platform::default(),
            nodes: BTreeMap::new(),
            engines: BTreeMap::new(),
            clients: Vec::new(),
            requests: BTreeMap::new(),
            rng: Rng::new(options.seed),
            is_fifo: false,
            queue: BTreeMap::new(),
            sequence: 0,
            connections: BTreeMap::new(),
            members: Vec::new(),
            request_clients: BTreeMap::new(),
            next_request: 0,
            next_incarnation: 1_000_000_000,
            queried: BTreeSet::new(),
        }
    }

    /// Adds a client whose requests start now.
    pub fn add_client(&mut self, client: Client) {
        let index = self.clients.len();
        for _ in 0..client.concurrency {
            let start = Duration::from_micros(self.rng.below(10_000));
            self.schedule_event(start, SimEvent::Submit { client: index });
        }
        self.clients.push(client);
    }

    /// Lets the scenario act after `span`.
    pub fn schedule_action(&mut self, span: Duration, action: impl FnOnce(&mut Fleet) + 'static) {
        let action: Action = Box::new(action);
        self.schedule_event(span, SimEvent::Action(action));
    }

    /// Runs for `span`.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            let (time, _) = *entry.key();
            if time > end {
                break;
            }
            let event = entry.remove();
            self.now = time;
            self.process_event(event);
        }

        self.now = end;
    }

    /// Returns the class of a request that was ever sent.
    pub fn request_class(&self, request: u64) -> Option<Name> {
        let client = *self.request_clients.get(&request)?;

        Some(self.clients[client].class.clone())
    }

    pub(super) fn record(&mut self, event: HistoryEvent) {
        self.history.push(self.now, event);
    }

    pub(super) fn schedule_event(&mut self, span: Duration, event: SimEvent) {
        self.sequence += 1;
        self.queue.insert((self.now + span, self.sequence), event);
    }

    pub(super) fn latency(&mut self) -> Duration {
        self.rng.jitter(self.options.latency)
    }

    pub(super) fn process_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Wake(name) => {
                let is_due = self.nodes.get(&name).is_some_and(|n| n.next_wake == Some(self.now));
                if is_due {
                    self.wake(&name);
                }
            }
            SimEvent::Deliver { from, to, epoch, message } => {
                self.on_deliver(&from, &to, epoch, message);
            }
            SimEvent::Dial { from, to } => self.on_dial(&from, &to),
            SimEvent::StartAttempt { sidecar, start } => self.on_start(&sidecar, start),
            SimEvent::Reply { attempt, reply } => self.on_reply(attempt, reply),
            SimEvent::IdleCheck(attempt) => self.on_idle_check(attempt),
            SimEvent::ReaderCheck(attempt) => self.on_reader_check(attempt),
            SimEvent::EngineStep { sidecar, attempt } => self.on_engine_step(&sidecar, attempt),
            SimEvent::Commit { sidecar, incarnation, batch } => {
                self.on_commit(sidecar, incarnation, &batch);
            }
            SimEvent::CommitResult { sidecar, incarnation, batch, result } => {
                if self.nodes.get(&sidecar).is_some_and(|n| n.incarnation == incarnation) {
                    self.deliver_input(
                        &sidecar,
                        NodeInput::Sidecar(SidecarInput::Ledger { batch, result }),
                    );
                }
            }
            SimEvent::SampleLoad(sidecar) => self.on_sample_load(sidecar),
            SimEvent::LoadReport { sidecar, cold } => {
                self.deliver_input(&sidecar, NodeInput::Sidecar(SidecarInput::Load { cold }));
            }
            SimEvent::ReadConfig(name) => self.on_read_config(&name),
            SimEvent::ReadVmList(name) => {
                if self.is_running(&name) {
                    let members = self.members.clone();
                    self.deliver_input(
                        &name,
                        NodeInput::Router(RouterInput::MembersUpdated(members)),
                    );
                    self.schedule_event(MEMBERS_INTERVAL, SimEvent::ReadVmList(name));
                }
            }
            SimEvent::Submit { client } => self.submit(client, None),
            SimEvent::Action(action) => action(self),
        }
    }
}
