//! Routers that begin and take up streams of several versions, in simulated time.

use std::time::Duration;

use sapphirespur_core::edge::{
    BaseDuty, BeginVerdict, CallInfo, RegistryVersion, Router, SendRecord, StreamKey, StreamOrigin,
    StreamSend, StreamVerdict, UpstreamEntry, UpstreamState,
};
use sapphirespur_core::hash::stable_hash;
use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;

use crate::stream_store::{Answer, StoreModel, WriteFate};
use crate::support::{START, call, entry, ms, settings, table};

/// Step of the simulated time.
pub const STEP: Duration = Duration::from_millis(50);

/// Time from the send of a stream to the response of its upstream, in steps.
const PREFILL_STEPS: (u64, u64) = (1, 8);

/// Time that a stream waits for its record.
const RECORD_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for which a first event waits for others to share the write of its record.
const RECORD_WAIT: Duration = Duration::from_millis(50);

/// Longest time until a router hears of a change of the registry.
const REGISTRY_LAG_MS: u64 = 400;

/// Time until a killed router is back.
const RESTART: Duration = Duration::from_millis(600);

/// Router process.
struct Process {
    router: Router,
    name: String,
    /// When the process runs; a killed one starts then.
    starts_at: Time,
    is_started: bool,
    /// Until when the process reaches neither the store nor the registry.
    cut_until: Time,
    next_duties: Time,
    known_era: u64,
    /// Changes of the registry that it has applied.
    applied: usize,
    lag: Duration,
}

/// Stream that has been sent to an upstream.
struct Sent {
    router: usize,
    /// Number of the router's process.
    process: String,
    send: StreamSend,
    record: SendRecord,
    responds_at: Time,
}

/// Stream of which the client has the first event.
struct Begun {
    key: StreamKey,
    version: Name,
    at: Time,
}

/// How the take-ups of streams ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    /// At the version that began the stream.
    pub went_on: usize,
    /// At another version.
    pub joined: usize,
    /// Refused, although two upstreams of the version served.
    pub refused: usize,
    pub refused_without_upstreams: usize,
}

/// Fleet with a store, upstreams and clients.
pub struct Scene {
    pub now: Time,
    pub store: StoreModel,
    processes: Vec<Process>,
    /// Changes of the registry: an entry, or the removal of one.
    changes: Vec<(Time, UpstreamEntry, bool)>,
    sent: Vec<Sent>,
    begun: Vec<Begun>,
    seed: u64,
    drawn: u64,
    pub begun_count: usize,
    /// Streams that were not passed on because their record is not certain.
    pub cut_count: usize,
    pub outcomes: Outcomes,
    /// Fraction of the writes that are lost, or executed late, in percent.
    pub lost_percent: u64,
}

fn versioned(index: u16, version: &str, state: UpstreamState) -> UpstreamEntry {
    let sequence = Some(if state == UpstreamState::Ready { 1 } else { 2 });
    let entry = entry(&format!("u{index}"), 8_000 + index);
    UpstreamEntry { version: Name::new(version), state, sequence, ..entry }
}

impl Scene {
    /// Creates a fleet before four upstreams of `v1`.
    pub fn new(seed: u64, routers: usize) -> Self {
        let mut scene = Self {
            now: START,
            store: StoreModel::new(),
            processes: Vec::new(),
            changes: Vec::new(),
            sent: Vec::new(),
            begun: Vec::new(),
            seed,
            drawn: 0,
            begun_count: 0,
            cut_count: 0,
            outcomes: Outcomes::default(),
            lost_percent: 0,
        };
        for index in 0..4 {
            scene.start_upstream(index, "v1");
        }
        for index in 0..routers {
            let process = scene.process(index, 0, START);
            scene.processes.push(process);
        }
        scene
    }

    /// Returns a number below `limit`.
    pub fn draw(&mut self, limit: u64) -> u64 {
        self.drawn += 1;
        stable_hash(&[&self.seed.to_le_bytes(), &self.drawn.to_le_bytes()]) % limit
    }

    fn process(&mut self, index: usize, number: u32, starts_at: Time) -> Process {
        let mut router = Router::new(settings(&format!("edge-{index}")));
        assert!(router.registry_mut().apply_table(table(1, 100_000)));
        Process {
            router,
            name: format!("{index}.{number}.{}", starts_at.as_micros()),
            starts_at,
            is_started: false,
            cut_until: START,
            next_duties: START,
            known_era: 0,
            applied: 0,
            lag: ms(self.draw(REGISTRY_LAG_MS)),
        }
    }

    /// Starts an upstream of a version.
    pub fn start_upstream(&mut self, index: u16, version: &str) {
        self.changes.push((self.now, versioned(index, version, UpstreamState::Ready), true));
    }

    /// Lets an upstream drain; its entry goes two seconds later.
    pub fn stop_upstream(&mut self, index: u16, version: &str) {
        let draining = versioned(index, version, UpstreamState::Draining);
        self.changes.push((self.now, draining.clone(), true));
        self.changes.push((self.now + ms(2_000), draining, false));
        self.changes.sort_by_key(|(at, ..)| *at);
    }

    /// Kills a router.
    pub fn kill(&mut self, index: usize) {
        let process = self.process(index, self.drawn as u32, self.now + RESTART);
        self.processes[index] = process;
    }

    /// Kills all routers at once.
    pub fn kill_all(&mut self) {
        (0..self.processes.len()).for_each(|index| self.kill(index));
    }

    /// Restores the store from a copy some seconds old.
    pub fn restore(&mut self) {
        self.store.restore(self.now);
    }

    /// Cuts a router off from the store for a while.
    pub fn cut(&mut self, index: usize, span: Duration) {
        self.processes[index].cut_until = self.now + span;
    }

    /// Lets time pass; `begins` streams begin in each step.
    pub fn run(&mut self, span: Duration, begins: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            self.store.tick(self.now);
            if self.now.as_micros().is_multiple_of(1_000_000) {
                self.store.keep_copy();
            }
            for index in 0..self.processes.len() {
                self.work(index);
            }
            for _ in 0..begins {
                let router = self.draw(self.processes.len() as u64) as usize;
                let key = StreamKey::from_hash(self.draw(u64::MAX));
                self.send(router, key, 0, false);
            }
            self.receive();
            self.take_up_some();
        }
    }

    /// Runs the periodic work of a router.
    fn work(&mut self, index: usize) {
        let now = self.now;
        if self.processes[index].starts_at > now {
            return;
        }
        let is_cut = self.processes[index].cut_until > now || self.store.is_down;
        self.processes[index].router.streams_mut().is_store_failing = is_cut;
        if is_cut {
            return;
        }
        self.note_era(index);
        self.apply_changes(index);
        if self.processes[index].next_duties <= now {
            self.processes[index].next_duties = now + ms(1_000);
            self.do_duties(index);
        }
        let log = &self.processes[index].router.streams().log;
        if log.due_at().is_some_and(|due_at| due_at <= now) {
            self.write(index);
        }
    }

    /// Applies the changes of the registry that have reached a router; one that starts lists them all.
    fn apply_changes(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let reached = if process.is_started { self.now - process.lag } else { self.now };
        process.is_started = true;
        while let Some((at, entry, is_written)) = self.changes.get(process.applied) {
            if *at > reached {
                break;
            }
            process.applied += 1;
            let registry = process.router.registry_mut();
            if *is_written {
                registry.apply_upstream(self.now, UpstreamEntry { cold: ms(0), ..entry.clone() });
            } else {
                registry.remove_upstream_at(entry.id.as_str(), self.now);
            }
        }
        process.router.tick(self.now);
        let era = process.known_era;
        let version = RegistryVersion { era, revision: process.applied as u64 };
        process.router.registry_mut().set_version(version);
    }

    /// Notices that the store was restored, as a response tells it.
    fn note_era(&mut self, index: usize) {
        let process = &mut self.processes[index];
        if process.known_era > 0 && self.now.since(self.store.restored_at) < process.lag {
            return;
        }
        if process.known_era > 0 && process.known_era < self.store.era {
            process.router.on_store_restored(self.now);
        }
        process.known_era = self.store.era;
    }

    fn do_duties(&mut self, index: usize) {
        let now = self.now;
        let stagger = index as f64 / self.processes.len() as f64;
        let router = &mut self.processes[index].router;
        let (era, services) = (router.registry().version().era, router.stream_services());
        for duty in router.streams_mut().bases.duties(now, era, &services, stagger) {
            let bases = &mut router.streams_mut().bases;
            match duty {
                BaseDuty::Read(service) => {
                    if let Some(item) = self.store.read_base() {
                        bases.on_read(now, &service, item);
                    }
                }
                BaseDuty::Write { base, expected_revision } => {
                    match self.store.write_base(now, base.clone(), expected_revision) {
                        Some(Answer::Written(revision)) => {
                            let service = base.service.clone();
                            bases.on_read(now, &service, Some((base, revision)));
                        }
                        _ => bases.on_conflict(&base.service),
                    }
                }
            }
        }
    }

    fn write(&mut self, index: usize) {
        let now = self.now;
        let fate = self.draw_fate();
        let Process { router, name, .. } = &mut self.processes[index];
        let life = router.stream_life(&Name::new("pool"));
        let log = &mut router.streams_mut().log;
        if log.needs_lease(now) {
            match self.store.grant_lease(now, life * 3) {
                Some(lease) => log.set_lease(lease, now + life),
                None => return log.on_failed(now, None),
            }
        }
        let Some(batch) = log.batch() else { return };
        match self.store.write_records(now, name, &batch, fate) {
            Some(Answer::Written(revision)) => log.on_written(now, &batch, revision),
            Some(Answer::Refused) => log.on_lost(now),
            None => log.on_failed(now, Some(&batch)),
        }
    }

    fn draw_fate(&mut self) -> WriteFate {
        if self.draw(100) >= self.lost_percent {
            return WriteFate::Answered;
        }
        match self.draw(3) {
            0 => WriteFate::LostBefore,
            1 => WriteFate::LostAfter,
            _ => WriteFate::Late(ms(1_000 + self.draw(5_000))),
        }
    }

    /// Sends a stream to an upstream that the router chooses.
    fn send(&mut self, index: usize, key: StreamKey, ordinal: u8, has_record: bool) {
        if !self.processes[index].is_started {
            return;
        }
        let now = self.now;
        let service = Name::new("pool");
        let prefill = PREFILL_STEPS.0 + self.draw(PREFILL_STEPS.1);
        let shared = self.draw(64);
        let router = &mut self.processes[index].router;
        let version = router.begin_version(now, &service);
        let Ok(placement) = router.admit(now, &CallInfo { version, ..call("w", shared, 100, 10) })
        else {
            return;
        };
        router.finish(now, &placement.request, sapphirespur_core::edge::SendOutcome::Answered);
        let version = placement.request.version.clone();
        let send = StreamSend { service, key, version, ordinal, has_record };
        let record = router.record_send(now, &send);
        let responds_at = now + STEP * prefill as u32;
        let process = self.processes[index].name.clone();
        self.sent.push(Sent { router: index, process, send, record, responds_at });
    }

    /// Passes on the streams whose upstreams have responded.
    fn receive(&mut self) {
        let now = self.now;
        let sent = std::mem::take(&mut self.sent);
        for sent in sent {
            let process = &mut self.processes[sent.router];
            if process.name != sent.process {
                continue;
            }
            let log = &process.router.streams().log;
            let is_waiting =
                matches!(&sent.record, SendRecord::Waiting(ticket) if !log.is_written(ticket));
            let is_late = now.since(sent.responds_at) >= RECORD_TIMEOUT;
            if sent.responds_at > now || is_waiting && !is_late {
                if sent.responds_at <= now {
                    process.router.streams_mut().log.request_write(now + RECORD_WAIT);
                }
                self.sent.push(sent);
                continue;
            }
            match process.router.begin_stream(now, &sent.send, &sent.record) {
                BeginVerdict::PassOn => {
                    let StreamSend { key, version, .. } = sent.send;
                    self.begun.push(Begun { key, version, at: now });
                    self.begun_count += 1;
                }
                BeginVerdict::Elsewhere => {
                    self.send(sent.router, sent.send.key, 1, sent.send.has_record);
                }
                BeginVerdict::Unknown => self.cut_count += 1,
            }
        }
    }

    /// Lets clients take up streams whose connections broke.
    fn take_up_some(&mut self) {
        let now = self.now;
        let life = ms(18_000);
        self.begun.retain(|stream| now.since(stream.at) < life);
        if self.begun.is_empty() {
            return;
        }
        for _ in 0..2 {
            let stream = self.draw(self.begun.len() as u64) as usize;
            let router = self.draw(self.processes.len() as u64) as usize;
            self.take_up(router, stream);
        }
    }

    fn take_up(&mut self, index: usize, stream: usize) {
        let now = self.now;
        let Begun { key, version, .. } = &self.begun[stream];
        let process = &mut self.processes[index];
        if !process.is_started || process.starts_at > now {
            return;
        }
        let is_cut = process.cut_until > now;
        let found = match process.router.streams().memory.get(*key) {
            Some(StreamOrigin::Version(version)) => Some(StreamVerdict::Version(version.clone())),
            Some(StreamOrigin::Ambiguous) => Some(StreamVerdict::Unknowable),
            None if is_cut => None,
            None => self.store.look_up(key.shard()).map(|lookup| lookup.verdict(*key)),
        };
        let goes_on = match found {
            Some(StreamVerdict::Version(found)) => {
                process.router.remember_stream(now, &Name::new("pool"), *key, &found);
                let info = CallInfo { version: Some(found), goes_on: true, ..call("w", 1, 10, 10) };
                process.router.admit(now, &info).ok()
            }
            Some(StreamVerdict::Unknowable) | None => None,
        };
        let upstreams = process.router.registry().upstreams();
        let service = Name::new("pool");
        let serving = upstreams.available(now, &service);
        let count = serving.filter(|upstream| upstream.entry.version == *version).count();
        match &goes_on {
            Some(placement) if placement.request.version == *version => self.outcomes.went_on += 1,
            Some(_) => self.outcomes.joined += 1,
            None if count >= 2 => self.outcomes.refused += 1,
            None => self.outcomes.refused_without_upstreams += 1,
        }
        if let Some(placement) = goes_on {
            let outcome = sapphirespur_core::edge::SendOutcome::Answered;
            self.processes[index].router.finish(now, &placement.request, outcome);
        }
    }
}
