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
use crate::fleet::{Input, Node};
use crate::happening::{Action, Happening};
use crate::history::{History, Seen};
use crate::link::Links;
use crate::platform::Platform;
use crate::rng::Rng;

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
    pub is_first_come: bool,
    pub(super) queue: BTreeMap<(Time, u64), Happening>,
    pub(super) sequence: u64,
    pub(super) connections: BTreeMap<AttemptId, Connection>,
    pub(super) members: Vec<Vm>,
    pub(super) client_of: BTreeMap<u64, usize>,
    pub(super) next_request: u64,
    pub(super) next_incarnation: u64,
    pub(super) asked: BTreeSet<AttemptId>,
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
            is_first_come: false,
            queue: BTreeMap::new(),
            sequence: 0,
            connections: BTreeMap::new(),
            members: Vec::new(),
            client_of: BTreeMap::new(),
            next_request: 0,
            next_incarnation: 1_000_000_000,
            asked: BTreeSet::new(),
        }
    }

    /// Adds a client whose requests start now.
    pub fn add_client(&mut self, client: Client) {
        let index = self.clients.len();
        for _ in 0..client.under_way {
            let start = Duration::from_micros(self.rng.below(10_000));
            self.after(start, Happening::Submit { client: index });
        }
        self.clients.push(client);
    }

    /// Lets the scenario act after `span`.
    pub fn act(&mut self, span: Duration, action: impl FnOnce(&mut Fleet) + 'static) {
        let action: Action = Box::new(action);
        self.after(span, Happening::Act(action));
    }

    /// Runs for `span`.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            let (time, _) = *entry.key();
            if time > end {
                break;
            }
            let happening = entry.remove();
            self.now = time;
            self.happen(happening);
        }

        self.now = end;
    }

    /// Returns the class of a request that was ever sent.
    pub fn class_of(&self, request: u64) -> Option<Name> {
        let client = *self.client_of.get(&request)?;

        Some(self.clients[client].class.clone())
    }

    pub(super) fn see(&mut self, seen: Seen) {
        self.history.push(self.now, seen);
    }

    pub(super) fn after(&mut self, span: Duration, happening: Happening) {
        self.sequence += 1;
        self.queue.insert((self.now + span, self.sequence), happening);
    }

    pub(super) fn latency(&mut self) -> Duration {
        self.rng.jitter(self.options.latency)
    }

    pub(super) fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Wake(name) => {
                let is_due = self.nodes.get(&name).is_some_and(|n| n.wake == Some(self.now));
                if is_due {
                    self.wake(&name);
                }
            }
            Happening::Deliver { from, to, epoch, message } => {
                self.on_deliver(&from, &to, epoch, message);
            }
            Happening::Dial { from, to } => self.on_dial(&from, &to),
            Happening::Start { sidecar, start } => self.on_start(&sidecar, start),
            Happening::Word { attempt, word } => self.on_word(attempt, word),
            Happening::SilenceCheck(attempt) => self.on_silence_check(attempt),
            Happening::ReaderCheck(attempt) => self.on_reader_check(attempt),
            Happening::EngineStep { sidecar, attempt } => self.on_engine_step(&sidecar, attempt),
            Happening::Commit { sidecar, incarnation, batch } => {
                self.on_commit(sidecar, incarnation, &batch);
            }
            Happening::Committed { sidecar, incarnation, batch, result } => {
                if self.nodes.get(&sidecar).is_some_and(|n| n.incarnation == incarnation) {
                    self.input(&sidecar, Input::Sidecar(SidecarInput::Ledger { batch, result }));
                }
            }
            Happening::TakeStock(sidecar) => self.on_take_stock(sidecar),
            Happening::Load { sidecar, cold } => {
                self.input(&sidecar, Input::Sidecar(SidecarInput::Load { cold }));
            }
            Happening::ReadConfig(name) => self.on_read_config(&name),
            Happening::ReadMembers(name) => {
                if self.is_running(&name) {
                    let members = self.members.clone();
                    self.input(&name, Input::Router(RouterInput::MembersUpdated(members)));
                    self.after(MEMBERS_INTERVAL, Happening::ReadMembers(name));
                }
            }
            Happening::Submit { client } => self.submit(client, None),
            Happening::Act(action) => action(self),
        }
    }
}
