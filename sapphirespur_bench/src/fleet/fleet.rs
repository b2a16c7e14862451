//! Fleet with its event queue and scheduler.

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

/// Time between two reads of the VM list by a router.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Simulated time at which every run starts; it is not zero, so that earlier times exist.
pub const START: Time = Time::from_micros(86_400_000_000);

/// Seed, delays and policies of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetOptions {
    /// Seed of the random number generator.
    pub seed: u64,
    /// One-way latency between two nodes, before jitter.
    pub latency: Duration,
    /// Policy of the routers.
    pub router: RouterPolicy,
    /// Policy of the sidecars.
    pub sidecar: SidecarPolicy,
    /// Delay until a change of the VM list is visible to the routers.
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

/// Simulated fleet with its clients, upstreams and platform.
pub struct Fleet {
    /// Current simulated time.
    pub now: Time,
    /// Options that it was created with.
    pub options: FleetOptions,
    /// Observed events of the run so far.
    pub history: History,
    /// Control links and network partitions.
    pub links: Links,
    /// Key-value service of the platform.
    pub platform: Platform,
    /// Nodes by name.
    pub nodes: BTreeMap<Name, Node>,
    /// Upstreams by the name of their sidecar.
    pub engines: BTreeMap<Name, Engine>,
    /// Clients that were added.
    pub clients: Vec<Client>,
    /// Requests in flight, by their number.
    pub requests: BTreeMap<u64, ClientRequest>,
    /// Random number generator of the run.
    pub rng: Rng,
    /// Whether all requests are sent as those of one workspace and class, which makes the order of
    /// service first come, first served.
    pub is_fifo: bool,
    /// Scheduled events; the sequence number keeps events of the same time in order.
    pub(super) queue: BTreeMap<(Time, u64), SimEvent>,
    /// Sequence number of the last scheduled event.
    pub(super) sequence: u64,
    pub(super) connections: BTreeMap<AttemptId, Connection>,
    /// VM list that routers read.
    pub(super) members: Vec<Vm>,
    /// Index of the client of each request that was ever sent.
    pub(super) request_clients: BTreeMap<u64, usize>,
    pub(super) next_request: u64,
    pub(super) next_incarnation: u64,
    /// Attempts whose status was queried and has not been returned.
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

    /// Adds a client that starts to send within 10 ms.
    pub fn add_client(&mut self, client: Client) {
        let index = self.clients.len();
        for _ in 0..client.concurrency {
            let start = Duration::from_micros(self.rng.below(10_000));
            self.schedule_event(start, SimEvent::Submit { client: index });
        }
        self.clients.push(client);
    }

    /// Schedules an action of the scenario after `delay`.
    pub fn schedule_action(&mut self, delay: Duration, action: impl FnOnce(&mut Fleet) + 'static) {
        let action: Action = Box::new(action);
        self.schedule_event(delay, SimEvent::Action(action));
    }

    /// Processes the events of the next `duration` and advances the time by it.
    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
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

    /// Returns the class of a request that was ever sent; `None` if there was no such request.
    pub fn request_class(&self, request: u64) -> Option<Name> {
        let client = *self.request_clients.get(&request)?;

        Some(self.clients[client].class.clone())
    }

    pub(super) fn record(&mut self, event: HistoryEvent) {
        self.history.push(self.now, event);
    }

    /// Schedules an event after `delay`.
    pub(super) fn schedule_event(&mut self, delay: Duration, event: SimEvent) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), event);
    }

    /// Returns a random one-way latency.
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
                    self.schedule_event(VM_LIST_INTERVAL, SimEvent::ReadVmList(name));
                }
            }
            SimEvent::Submit { client } => self.submit(client, None),
            SimEvent::Action(action) => action(self),
        }
    }
}
