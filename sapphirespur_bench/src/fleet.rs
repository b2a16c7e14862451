//! Fleet in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sapphirespur_core::answer::SILENCE_TIMEOUT;
use sapphirespur_core::config::{Change, Config, DataCentreState, Target, Upstream, UpstreamState};
use sapphirespur_core::event::Event;
use sapphirespur_core::hash::sha256_hex;
use sapphirespur_core::message::Message;
use sapphirespur_core::name::Name;
use sapphirespur_core::once::{LedgerBatch, LedgerFailure, RecordedAnswer};
use sapphirespur_core::request::{AttemptId, Refusal, RequestHead, RequestId};
use sapphirespur_core::router::{
    AttemptEvent, Dispatch, Router, RouterInput, RouterOutput, RouterPolicy,
};
use sapphirespur_core::sidecar::{
    AttemptFate, Sidecar, SidecarInput, SidecarOutput, SidecarPolicy, Start, UpstreamEvent,
    UpstreamFailure,
};
use sapphirespur_core::time::Time;
use sapphirespur_core::vm::Vm;

use crate::client::{CallKind, Client, ClientRequest};
use crate::engine::{Admission, Engine, EngineShape};
use crate::happening::{Action, Happening, Word};
use crate::history::{Final, History, Seen};
use crate::link::{Links, Pair};
use crate::platform::Platform;
use crate::rng::Rng;

/// Name under which cuts of the platform are set.
pub const PLATFORM: &str = "platform";

/// Time at which every run starts, so that earlier times can be named.
pub const START: Time = Time::from_micros(86_400_000_000);

/// Pause before a link is opened again.
const REDIAL_PAUSE: Duration = Duration::from_millis(200);

/// Pause before the configuration is read again after a failure.
const READ_RETRY: Duration = Duration::from_secs(1);

/// Time between two looks of a watcher at the configuration.
const WATCH_REFRESH: Duration = Duration::from_secs(5);

/// Time between two looks at the VM list.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(2);

/// Time for which a call to the platform waits for its answer.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Times that a router resumes an answer.
const MAX_RESUMES: u32 = 3;

/// Time after which a sidecar gives an answer up that nobody reads.
const ABANDONED_AFTER: Duration = Duration::from_secs(10);

/// Time between two load reports of an upstream.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Time by which a load report is late.
const LOAD_LAG: Duration = Duration::from_secs(2);

/// Wall clock at the start, in seconds since the Unix epoch.
const WALL_START_S: u64 = 1_800_000_000;

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
    waiting: Vec<Input>,
    wake: Option<Time>,
    watching: bool,
}

/// Connection of an attempt.
#[derive(Clone, Debug)]
struct Connection {
    router: Name,
    router_incarnation: u64,
    sidecar: Name,
    sidecar_incarnation: u64,
    permit: u64,
    id: RequestId,
    is_silent: bool,
    /// Words that the router has not received.
    kept: Vec<Word>,
    resumes: u32,
    delivering: bool,
}

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
    queue: BTreeMap<(Time, u64), Happening>,
    sequence: u64,
    connections: BTreeMap<AttemptId, Connection>,
    members: Vec<Vm>,
    client_of: BTreeMap<u64, usize>,
    next_request: u64,
    next_incarnation: u64,
    asked: BTreeSet<AttemptId>,
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

    /// Sets the platform's VM list; routers see it after the lag.
    pub fn set_members(&mut self, members: Vec<Vm>) {
        let lag = self.options.members_lag;
        self.after(lag, Happening::Act(Box::new(move |fleet| fleet.members = members)));
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

    /// Confirms changes against the accepted revision, and tells whether they were accepted.
    pub fn confirm(&mut self, changes: &[Change]) -> bool {
        let base = self.platform.config.revision;
        self.confirm_against(base, changes)
    }

    /// Confirms changes against `base`, and tells whether they were accepted.
    pub fn confirm_against(&mut self, base: u64, changes: &[Change]) -> bool {
        let before = self.platform.config.clone();
        if !self.platform.confirm(base, changes) {
            return false;
        }

        let after = self.platform.config.clone();
        self.see(Seen::Accepted { revision: after.revision });
        for (name, upstream) in &after.upstreams {
            let open = is_open(&after, upstream);
            let was_open = before.upstreams.get(name).is_some_and(|u| is_open(&before, u));
            match (was_open, open) {
                (true, false) => self.see(Seen::Closed { upstream: name.clone() }),
                (false, true) => self.see(Seen::Opened { upstream: name.clone() }),
                _ => {}
            }
        }
        let watchers: Vec<Name> =
            self.nodes.iter().filter(|(_, n)| n.watching).map(|(name, _)| name.clone()).collect();
        for name in watchers {
            self.after(self.options.latency * 2, Happening::ReadConfig(name));
        }
        true
    }

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

    /// Tells whether a request is on its way to a sidecar or further.
    pub fn is_dispatched(&self, request: u64) -> bool {
        self.connections.values().any(|connection| connection.id.0 == request)
    }

    /// Returns the class of a request that was ever sent.
    pub fn class_of(&self, request: u64) -> Option<Name> {
        let client = *self.client_of.get(&request)?;

        Some(self.clients[client].class.clone())
    }

    /// Tells whether a sidecar serves a request.
    pub fn is_admitted(&self, request: u64) -> bool {
        let mut connections = self.connections.values().filter(|c| c.id.0 == request);

        connections.any(|c| {
            self.is_running(&c.sidecar) && self.sidecar(&c.sidecar).status(self.now).attempts > 0
        })
    }

    /// Returns the sidecar to which a request was sent.
    pub fn sidecar_of(&self, request: u64) -> Option<Name> {
        let connection = self.connections.values().find(|c| c.id.0 == request);

        connection.map(|connection| connection.sidecar.clone())
    }

    fn see(&mut self, seen: Seen) {
        self.history.push(self.now, seen);
    }

    fn after(&mut self, span: Duration, happening: Happening) {
        self.sequence += 1;
        self.queue.insert((self.now + span, self.sequence), happening);
    }

    fn latency(&mut self) -> Duration {
        self.rng.jitter(self.options.latency)
    }

    fn start_router(&mut self, name: &Name, data_centre: &Name) {
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

    fn start_sidecar(&mut self, name: &Name, data_centre: &Name) {
        self.next_incarnation += 1_000_000;
        let incarnation = self.next_incarnation;
        let sidecar = Sidecar::new(self.now, name.clone(), incarnation, self.options.sidecar);

        self.add_node(name, data_centre, incarnation, Decisions::Sidecar(Box::new(sidecar)));
    }

    fn add_node(
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

    fn is_running(&self, name: &Name) -> bool {
        self.nodes.get(name).is_some_and(|node| node.is_alive)
    }

    fn happen(&mut self, happening: Happening) {
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
            Happening::Committed { sidecar, incarnation, batch, answer } => {
                if self.nodes.get(&sidecar).is_some_and(|n| n.incarnation == incarnation) {
                    self.input(&sidecar, Input::Sidecar(SidecarInput::Ledger { batch, answer }));
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
                    self.input(&name, Input::Router(RouterInput::Members(members)));
                    self.after(MEMBERS_INTERVAL, Happening::ReadMembers(name));
                }
            }
            Happening::Submit { client } => self.submit(client, None),
            Happening::Act(action) => action(self),
        }
    }

    /// Gives a node a tick and plans its next one.
    fn wake(&mut self, name: &Name) {
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
    fn input(&mut self, name: &Name, input: Input) {
        let Some(node) = self.nodes.get_mut(name).filter(|node| node.is_alive) else { return };
        if node.is_frozen {
            node.waiting.push(input);
            return;
        }

        self.handle(name, input);
    }

    fn handle(&mut self, name: &Name, input: Input) {
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

    fn plan_wake(&mut self, name: &Name, deadline: Option<Time>) {
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

    fn perform_router(&mut self, name: &Name, output: RouterOutput) {
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
            RouterOutput::Watch(on) => {
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

    fn perform_sidecar(&mut self, name: &Name, output: SidecarOutput) {
        match output {
            SidecarOutput::Send { to, message } => self.send(name, &to, &message),
            SidecarOutput::Call { attempt } => self.on_call(name, attempt),
            SidecarOutput::Replay { attempt, answer } => {
                let answers = answer.body.parse().unwrap_or(u64::MAX);
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
            SidecarOutput::Asked { attempt, fate } => self.on_asked(attempt, fate),
            SidecarOutput::Commit(batch) => self.on_send_batch(name, batch),
            SidecarOutput::Reconnect { peer } => self.close(name, &peer),
            SidecarOutput::Event(event) => self.on_event(name, &event),
            SidecarOutput::Drained => self.kill(name),
        }
    }

    fn on_event(&mut self, name: &Name, event: &Event) {
        if let Event::ConfigInForce { revision } = event {
            self.see(Seen::InForce { node: name.clone(), revision: *revision });
        }
    }

    fn send(&mut self, from: &Name, to: &Name, message: &Message) {
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

    fn on_deliver(&mut self, from: &Name, to: &Name, epoch: u64, message: Message) {
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

    fn on_dial(&mut self, from: &Name, to: &Name) {
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

    fn link_up(&mut self, at: &Name, peer: &Name) {
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

    fn link_down(&mut self, at: &Name, peer: &Name) {
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

    /// Closes a link from one end; the other end hears of it if anything passes.
    fn close(&mut self, from: &Name, to: &Name) {
        let Some(epoch) = self.links.up.remove(&Pair::new(from, to)) else { return };

        self.link_down(from, to);
        if self.links.passes(from, to) && !self.links.silent.contains(&epoch) {
            self.link_down(to, from);
        } else {
            // The other end drops its half when it hears nothing or when a new link comes.
            self.link_down(to, from);
        }
    }

    fn on_read_config(&mut self, name: &Name) {
        let Some(node) = self.nodes.get(name).filter(|node| node.is_alive) else { return };
        let watching = node.watching;
        let reaches = self.links.passes(name, &Name::new(PLATFORM));
        if self.platform.fault.down || !reaches {
            self.after(READ_RETRY, Happening::ReadConfig(name.clone()));
            return;
        }

        let config = self.platform.config.clone();
        if config.revision > 0 {
            // A slow platform answers later reads before earlier ones.
            let slow = self.platform.fault.slow.as_micros() as u64;
            let delay = Duration::from_micros(self.rng.below(slow + 1));
            let name = name.clone();
            self.act(delay, move |fleet| {
                fleet.input(&name, Input::Router(RouterInput::Configured(config)));
            });
        } else {
            self.after(READ_RETRY, Happening::ReadConfig(name.clone()));
            return;
        }
        if watching {
            self.after(WATCH_REFRESH, Happening::ReadConfig(name.clone()));
        }
    }

    /// Sends a request of a client, or one of its requests again.
    fn submit(&mut self, index: usize, again: Option<ClientRequest>) {
        let client = self.clients[index].clone();
        if self.now >= client.until {
            return;
        }

        self.next_request += 1;
        let request = self.next_request;
        self.client_of.insert(request, index);
        let router = self.pick_router(&client);
        let tokens = match &again {
            Some(again) => again.tokens,
            None => self.rng.between(client.tokens.0.into(), client.tokens.1.into()) as u32,
        };
        let (key, repeats) = match (again, client.kind) {
            (Some(again), _) => (again.key, again.repeats),
            (None, CallKind::Once) => (Some(format!("key-{request}")), client.repeats),
            (None, CallKind::Idempotent | CallKind::Single) => (None, 0),
        };
        self.see(Seen::Submitted {
            request,
            workspace: client.workspace.clone(),
            key: key.clone(),
            may_repeat: client.kind == CallKind::Idempotent,
        });
        let Some(router) = router else {
            self.end(request, Final::Cut, Some((index, tokens, key, repeats)));
            return;
        };

        let mut head = head_of(&client, tokens, key.clone());
        if self.is_first_come {
            head.key_digest = Some(sha256_hex(b"w0"));
            head.class = None;
        }
        let entry = ClientRequest { client: index, router: router.clone(), tokens, key, repeats };
        self.requests.insert(request, entry);
        let id = RequestId(request);
        self.input(&router, Input::Router(RouterInput::Request { id, head }));
    }

    /// Returns a router that the platform's balancer would choose.
    fn pick_router(&mut self, client: &Client) -> Option<Name> {
        let routers: Vec<Name> = self
            .nodes
            .iter()
            .filter(|(_, node)| matches!(node.decisions, Decisions::Router(_)))
            .map(|(name, _)| name.clone())
            .collect();
        let weights: Vec<u32> = routers
            .iter()
            .enumerate()
            .map(|(index, name)| {
                let is_ready = self.is_running(name) && self.router(name).is_ready();
                let weight = client.spread.get(index).copied().unwrap_or(1);
                if is_ready { weight } else { 0 }
            })
            .collect();
        if weights.iter().all(|weight| *weight == 0) {
            return routers.into_iter().find(|name| self.is_running(name));
        }

        let index = self.rng.weighted(&weights);
        Some(routers[index].clone())
    }

    /// Ends a request at its caller, who sends the next one.
    fn end(
        &mut self,
        request: u64,
        answer: Final,
        unplaced: Option<(usize, u32, Option<String>, u32)>,
    ) {
        let entry = match (self.requests.remove(&request), unplaced) {
            (Some(entry), _) => entry,
            (None, Some((client, tokens, key, repeats))) => {
                ClientRequest { client, router: Name::new("none"), tokens, key, repeats }
            }
            (None, None) => return,
        };
        self.see(Seen::Ended { request, answer });

        let index = entry.client;
        let pause = match answer {
            Final::Refused(refusal) => refusal.retry_after.unwrap_or(Duration::from_millis(100)),
            Final::Whole { .. } => self.clients[index].think,
            Final::Cut => Duration::from_millis(100),
        };
        let is_open = !matches!(answer, Final::Whole { .. });
        if entry.key.is_some() && entry.repeats > 0 && is_open {
            let again = ClientRequest { repeats: entry.repeats - 1, ..entry };
            self.act(pause, move |fleet| fleet.submit(index, Some(again)));
        } else {
            self.after(pause, Happening::Submit { client: index });
        }
    }

    /// Ends the requests that a stopped router held, and the connections of a stopped sidecar.
    fn lose_requests_of(&mut self, name: &Name) {
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

    fn on_refuse(&mut self, id: RequestId, refusal: Refusal) {
        let delivering = self
            .connections
            .values()
            .any(|connection| connection.id == id && connection.delivering);
        let answer = if delivering { Final::Cut } else { Final::Refused(refusal) };

        self.connections.retain(|_, connection| connection.id != id);
        self.end(id.0, answer, None);
    }

    fn on_dispatch(&mut self, router: &Name, dispatch: Dispatch) {
        let attempt = dispatch.attempt;
        let sidecar = dispatch.upstream.clone();
        let connection = Connection {
            router: router.clone(),
            router_incarnation: self.nodes[router].incarnation,
            sidecar: sidecar.clone(),
            sidecar_incarnation: self.nodes.get(&sidecar).map_or(0, |node| node.incarnation),
            permit: dispatch.permit,
            id: dispatch.id,
            is_silent: false,
            kept: Vec::new(),
            resumes: 0,
            delivering: false,
        };
        self.connections.insert(attempt, connection);
        let start = Start {
            attempt,
            permit: dispatch.permit,
            cost: dispatch.meta.cost,
            call: dispatch.meta.call,
            wall_s: WALL_START_S + self.now.since(START).as_secs(),
        };

        if !self.links.passes(router, &sidecar) {
            self.after(SILENCE_TIMEOUT, Happening::SilenceCheck(attempt));
            return;
        }
        let span = self.latency();
        self.after(span, Happening::Start { sidecar, start });
        self.after(SILENCE_TIMEOUT, Happening::SilenceCheck(attempt));
    }

    fn on_start(&mut self, sidecar: &Name, start: Start) {
        if !self.is_running(sidecar) {
            let span = self.latency();
            let attempt = start.attempt;
            self.after(span, Happening::Word { attempt, word: Word::NeverStarted });
            return;
        }
        if let Some(connection) = self.connections.get_mut(&start.attempt) {
            connection.sidecar_incarnation = self.nodes[sidecar].incarnation;
        }

        self.after(ABANDONED_AFTER, Happening::ReaderCheck(start.attempt));
        self.input(sidecar, Input::Sidecar(SidecarInput::Start(start)));
    }

    /// Sends a word on the connection of an attempt, or keeps it for resuming.
    fn say(&mut self, attempt: AttemptId, word: Word) {
        let Some(connection) = self.connections.get_mut(&attempt) else { return };
        let passes = !connection.is_silent
            && !self.links.cut.contains(&Pair::new(&connection.router, &connection.sidecar));
        if !passes || !connection.kept.is_empty() {
            connection.kept.push(word);
            return;
        }

        // Without jitter, so that the words of one connection stay in order.
        self.after(self.options.latency, Happening::Word { attempt, word });
    }

    fn on_word(&mut self, attempt: AttemptId, word: Word) {
        let Some(connection) = self.connections.get(&attempt) else { return };
        let (router, id) = (connection.router.clone(), connection.id);
        let is_same = self
            .nodes
            .get(&router)
            .is_some_and(|n| n.is_alive && n.incarnation == connection.router_incarnation);
        if !is_same {
            return;
        }
        if self.nodes[&router].is_frozen {
            self.after(Duration::from_millis(10), Happening::Word { attempt, word });
            return;
        }

        let delivering = connection.delivering;
        let event = match word {
            Word::First => {
                if let Some(connection) = self.connections.get_mut(&attempt) {
                    connection.delivering = true;
                }
                AttemptEvent::Delivering
            }
            Word::End { answers } => {
                self.connections.remove(&attempt);
                self.end(id.0, Final::Whole { answers }, None);
                AttemptEvent::Finished
            }
            Word::Refused(refusal) if !delivering => {
                self.connections.remove(&attempt);
                AttemptEvent::Refused(refusal)
            }
            Word::NeverStarted if !delivering => {
                self.connections.remove(&attempt);
                AttemptEvent::NeverStarted
            }
            Word::Refused(_) | Word::NeverStarted | Word::Gone => AttemptEvent::Lost,
        };
        self.input(&router, Input::Router(RouterInput::Attempt { id, attempt, event }));
        if event == AttemptEvent::Lost {
            self.connections.remove(&attempt);
        }
    }

    /// Does what a router does about an answer that may have gone silent.
    fn on_silence_check(&mut self, attempt: AttemptId) {
        let Some(connection) = self.connections.get(&attempt).cloned() else { return };
        let sidecar = connection.sidecar.clone();
        let is_up = self.is_running(&sidecar);
        let is_same = is_up && self.nodes[&sidecar].incarnation == connection.sidecar_incarnation;
        let is_frozen = is_up && self.nodes[&sidecar].is_frozen;
        let passes = self.links.passes(&connection.router, &sidecar);
        if is_same && !is_frozen && passes && !connection.is_silent && connection.kept.is_empty() {
            if let Some(connection) = self.connections.get_mut(&attempt) {
                connection.resumes = 0;
            }
            self.ask(attempt, &connection);
            self.after(SILENCE_TIMEOUT, Happening::SilenceCheck(attempt));
            return;
        }
        if connection.resumes >= MAX_RESUMES {
            self.on_word(attempt, Word::Gone);
            return;
        }

        let kept = match self.connections.get_mut(&attempt) {
            Some(connection) => {
                connection.resumes += 1;
                connection.is_silent = false;
                if passes { std::mem::take(&mut connection.kept) } else { Vec::new() }
            }
            None => return,
        };
        for word in kept {
            self.say(attempt, word);
        }
        if is_up && passes && !is_frozen {
            self.ask(attempt, &connection);
        }
        let pause = if is_up { SILENCE_TIMEOUT } else { Duration::from_millis(100) };
        self.after(pause, Happening::SilenceCheck(attempt));
    }

    /// Asks a sidecar after an attempt, as resuming does when the answer is not there.
    fn ask(&mut self, attempt: AttemptId, connection: &Connection) {
        self.asked.insert(attempt);
        let permit = connection.permit;
        let input = SidecarInput::Ask { attempt, permit };
        self.input(&connection.sidecar, Input::Sidecar(input));
    }

    fn on_asked(&mut self, attempt: AttemptId, fate: AttemptFate) {
        if !self.asked.remove(&attempt) {
            return;
        }

        match fate {
            AttemptFate::Running => {}
            AttemptFate::NeverStarted => self.say(attempt, Word::NeverStarted),
            AttemptFate::Unknown => self.say(attempt, Word::Gone),
        }
    }

    /// Does what a sidecar does about an answer that nobody reads.
    fn on_reader_check(&mut self, attempt: AttemptId) {
        let Some(connection) = self.connections.get(&attempt) else { return };
        let (router, sidecar) = (connection.router.clone(), connection.sidecar.clone());
        let is_read = self
            .nodes
            .get(&router)
            .is_some_and(|node| node.is_alive && node.incarnation == connection.router_incarnation);
        if !is_read {
            self.connections.remove(&attempt);
            self.input(&sidecar, Input::Sidecar(SidecarInput::Cancel { attempt }));
            return;
        }

        self.after(ABANDONED_AFTER, Happening::ReaderCheck(attempt));
    }

    fn on_call(&mut self, sidecar: &Name, attempt: AttemptId) {
        let request = self.connections.get(&attempt).map(|connection| connection.id.0);
        let tokens = request.and_then(|r| self.requests.get(&r)).map_or(8, |r| r.tokens);
        let request = request.unwrap_or(0);
        let now = self.now;
        let Some(engine) = self.engines.get_mut(sidecar) else { return };
        if !engine.is_up {
            self.fail(sidecar, attempt, UpstreamFailure::NotSent);
            return;
        }

        let bears = engine.bears(now);
        let at_once = engine.running.len() as u32 + 1;
        match engine.call(now, attempt, request, tokens) {
            Admission::Runs(first) => {
                self.see(Seen::Ran { request, upstream: sidecar.clone(), at_once, bears });
                let sidecar = sidecar.clone();
                self.after(first, Happening::EngineStep { sidecar, attempt });
            }
            Admission::Refused => self.fail(sidecar, attempt, UpstreamFailure::Overloaded),
            Admission::Fell(broken) => {
                self.see(Seen::Ran { request, upstream: sidecar.clone(), at_once, bears });
                for attempt in broken {
                    self.fail(sidecar, attempt, UpstreamFailure::Broken);
                }
            }
        }
    }

    fn fail(&mut self, sidecar: &Name, attempt: AttemptId, failure: UpstreamFailure) {
        let incarnation = self.nodes[sidecar].incarnation;
        let sidecar = sidecar.clone();
        self.act(Duration::from_micros(200), move |fleet| {
            if fleet.nodes[&sidecar].incarnation == incarnation {
                let event = UpstreamEvent::Failed(failure);
                let input = SidecarInput::Upstream { attempt, event };
                fleet.input(&sidecar, Input::Sidecar(input));
            }
        });
    }

    fn on_engine_step(&mut self, sidecar: &Name, attempt: AttemptId) {
        let Some(engine) = self.engines.get_mut(sidecar) else { return };
        let step = engine.shape.step;
        let total = engine.running.get(&attempt).map(|running| running.left);
        let Some((running, tokens, is_whole)) = engine.step(attempt) else { return };
        let request = running.request;
        let whole_tokens = self.requests.get(&request).map_or(total.unwrap_or(0), |r| r.tokens);
        let is_first = whole_tokens == running.left + tokens;
        let workspace = self.requests.get(&request).map(|r| self.clients[r.client].clone());

        if let Some(client) = &workspace {
            let workspace = client.workspace.clone();
            self.see(Seen::Served { request, workspace, tokens });
        }
        let is_model = workspace.is_none_or(|c| matches!(c.target, Target::Model(_)));
        if is_model {
            let event = UpstreamEvent::Tokens(tokens);
            self.input(sidecar, Input::Sidecar(SidecarInput::Upstream { attempt, event }));
        }
        if is_first {
            self.say(attempt, Word::First);
        }
        if !is_whole {
            let sidecar = sidecar.clone();
            self.after(step, Happening::EngineStep { sidecar, attempt });
            return;
        }

        self.say(attempt, Word::End { answers: request });
        let cost = is_model.then_some(u64::from(whole_tokens));
        let answer = RecordedAnswer {
            status: 200,
            content_type: "text/plain".to_owned(),
            body: request.to_string(),
        };
        let event = UpstreamEvent::Finished { cost, answer: Some(answer) };
        self.input(sidecar, Input::Sidecar(SidecarInput::Upstream { attempt, event }));
    }

    fn on_take_stock(&mut self, sidecar: Name) {
        let now = self.now;
        let Some(engine) = self.engines.get(&sidecar) else { return };
        if engine.is_up {
            let cold = now < engine.cold_until;
            self.after(LOAD_LAG, Happening::Load { sidecar: sidecar.clone(), cold });
        }

        self.after(LOAD_INTERVAL, Happening::TakeStock(sidecar));
    }

    fn on_send_batch(&mut self, sidecar: &Name, batch: LedgerBatch) {
        let incarnation = self.nodes[sidecar].incarnation;
        let reaches = self.links.passes(sidecar, &Name::new(PLATFORM));
        let sidecar = sidecar.clone();
        if !reaches || self.platform.fault.down {
            let wait = if reaches { Duration::from_millis(1) } else { PLATFORM_TIMEOUT };
            let answer = Err(LedgerFailure::Unknown);
            let batch = batch.id;
            self.after(wait, Happening::Committed { sidecar, incarnation, batch, answer });
            return;
        }

        let span = self.latency() + self.platform.fault.slow;
        self.after(span, Happening::Commit { sidecar, incarnation, batch });
    }

    fn on_commit(&mut self, sidecar: Name, incarnation: u64, batch: &LedgerBatch) {
        let results = self.platform.commit(batch);
        let batch = batch.id;
        let way_back = self.latency() + self.platform.fault.slow;
        let there_and_back = way_back * 2;
        let is_lost = self.platform.fault.lose_answers > 0;
        if is_lost {
            self.platform.fault.lose_answers -= 1;
        }

        if is_lost || there_and_back > PLATFORM_TIMEOUT {
            let answer = Err(LedgerFailure::Unknown);
            let wait = PLATFORM_TIMEOUT.saturating_sub(way_back);
            self.after(wait, Happening::Committed { sidecar, incarnation, batch, answer });
        } else {
            let answer = Ok(results);
            self.after(way_back, Happening::Committed { sidecar, incarnation, batch, answer });
        }
    }
}

/// Tells whether operators let an upstream take work, without the code that is checked.
fn is_open(config: &Config, upstream: &Upstream) -> bool {
    let data_centre = config.data_centres.get(&upstream.data_centre);

    upstream.state == UpstreamState::Active
        && data_centre.is_some_and(|data_centre| data_centre.state == DataCentreState::In)
}

fn head_of(client: &Client, tokens: u32, key: Option<String>) -> RequestHead {
    let path = match client.kind {
        CallKind::Idempotent => "/lookup",
        CallKind::Once | CallKind::Single => "/bookings",
    };

    RequestHead {
        key_digest: Some(sha256_hex(client.workspace.as_str().as_bytes())),
        target: client.target.clone(),
        method: "POST".to_owned(),
        path: path.to_owned(),
        class: Some(client.class.to_string()),
        cost_hint: Some(u64::from(tokens * client.hint_percent / 100).max(1)),
        fingerprint: sha256_hex(key.clone().unwrap_or_default().as_bytes()),
        idempotency_key: key,
    }
}
