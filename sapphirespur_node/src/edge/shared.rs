//! State shared by all tasks of the daemon.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use sapphirespur_core::edge::{
    ChangeLog, OverloadGuard, PauseDetector, RegistryVersion, Router, RouterSettings, StopSchedule,
};
use sapphirespur_core::time::Time;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::buffers::Buffers;
use super::delivery::Deliveries;
use super::dialect::Dialect;
use super::log_budget::{LogBudget, LogClass};
use super::metrics::Metrics;
use super::pool::Pool;
use super::stream_lookups::StreamLookups;
use super::workspace_counts::WorkspaceCounts;
use crate::clock::{Clock, time_since_boot, wall_us};
use crate::settings::EdgeSettings;

/// Phase in the lifecycle of the process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Phase {
    /// Accepts requests and is ready.
    Serving,
    /// Still accepts requests, but reports itself as not ready to the load balancer.
    Draining,
    /// Finishes requests in flight and refuses new ones.
    Closing,
}

/// State of the daemon, shared by all tasks of its single thread.
pub(super) struct Shared {
    /// Settings in force, replaced when the settings file is reloaded.
    settings: RefCell<Rc<EdgeSettings>>,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// HTTP conventions of the platform.
    pub dialect: Rc<dyn Dialect>,
    /// Monotonic clock.
    clock: Clock,
    /// Detector of pauses, which sees every reading of the clock.
    pause_detector: Cell<PauseDetector>,
    /// Time of a pause after which the registry has not answered yet; absent when there is none.
    pub unverified_since: Cell<Option<Time>>,
    /// Recent changes of the registry, for routers that hear of them from this one.
    pub change_log: RefCell<ChangeLog>,
    /// Wakes the synchronisation with the registry for a call without a wait.
    pub registry_check: Notify,
    /// Look-ups of streams in the store.
    pub stream_lookups: StreamLookups,
    /// Wakes the writes of stream records when there are new ones.
    pub records_due: Notify,
    /// Wakes streams that wait for their record after each write.
    pub records_written: Notify,
    /// Wakes the check of the base versions.
    pub bases_due: Notify,
    /// Wakes the write by which this router names itself in the store.
    pub bootstrap_due: Notify,
    /// Era of the store in which the stream records were written.
    record_era: Cell<u64>,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Routing state: registry, peers, load, shares and retry budgets.
    pub router: RefCell<Router>,
    /// Idle connections to upstreams.
    pub pool: RefCell<Pool>,
    /// Refusal of requests while the process is short of processor time.
    pub overload: RefCell<OverloadGuard>,
    /// Current phase of the process.
    pub phase: Cell<Phase>,
    /// Times of the graceful stop; absent before one.
    pub stop: Cell<Option<StopSchedule>>,
    /// Cancelled when requests that are still served get their final answer, before the process exits.
    pub answers_due: CancellationToken,
    /// Number of requests being served.
    pub in_flight: Cell<usize>,
    /// Number of open client connections.
    pub connections: Cell<usize>,
    /// Bytes of messages held in memory.
    pub buffers: Rc<Buffers>,
    /// Response bytes that wait to be written to their clients.
    pub deliveries: Deliveries,
    /// Version after which the registry is watched; when absent, the registry is listed again.
    pub watch_version: Cell<Option<RegistryVersion>>,
    /// Time of the last response from the registry; absent before the first one.
    pub last_registry_response: Cell<Option<Time>>,
    /// Notifies client connections to close once idle.
    pub closing: Notify,
    /// Notifies the task that accepts client connections to close its listener.
    pub stop_accepting: Notify,
    /// Requests by workspace since the last summary in the log.
    pub workspace_counts: RefCell<WorkspaceCounts>,
    /// Rate limit on log lines about requests and entries.
    pub log_budget: LogBudget,
}

impl Shared {
    /// Time without a response from the registry after which its state counts as stale: the router
    /// no longer claims that a route or key does not exist.
    const REGISTRY_STALE_AFTER: Duration = Duration::from_secs(3);

    /// Creates the state of a process that has just started.
    pub fn new(
        settings: EdgeSettings,
        dialect: Rc<dyn Dialect>,
        stream_lookups: StreamLookups,
    ) -> Self {
        let started_ms = wall_us() / 1_000;
        let clock = Clock::start();
        let mut router = Router::new(RouterSettings {
            name: settings.node.name.clone(),
            data_centre: settings.node.data_centre.clone(),
            started_ms,
            ..settings.decisions.clone()
        });
        router.start(clock.now());
        let max_buffered_bytes = settings.limits.max_buffered_bytes;

        Self {
            settings: RefCell::new(Rc::new(settings)),
            metrics: Metrics::new(),
            dialect,
            pause_detector: Cell::new(PauseDetector::new(clock.now())),
            unverified_since: Cell::new(None),
            change_log: RefCell::default(),
            registry_check: Notify::new(),
            stream_lookups,
            records_due: Notify::new(),
            records_written: Notify::new(),
            bases_due: Notify::new(),
            bootstrap_due: Notify::new(),
            record_era: Cell::new(0),
            clock,
            started_ms,
            router: RefCell::new(router),
            pool: RefCell::default(),
            overload: RefCell::default(),
            phase: Cell::new(Phase::Serving),
            stop: Cell::new(None),
            answers_due: CancellationToken::new(),
            in_flight: Cell::new(0),
            connections: Cell::new(0),
            buffers: Rc::new(Buffers::new(max_buffered_bytes)),
            deliveries: Deliveries::default(),
            watch_version: Cell::new(None),
            last_registry_response: Cell::new(None),
            closing: Notify::new(),
            stop_accepting: Notify::new(),
            workspace_counts: RefCell::default(),
            log_budget: LogBudget::default(),
        }
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Rc<EdgeSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Applies reloaded settings; own addresses and names keep their values until a restart.
    pub fn set_settings(&self, settings: EdgeSettings) {
        let mut router = self.router.borrow_mut();
        router.update_settings(&settings.decisions);
        router.update_seeds(&settings.seeds);
        self.buffers.set_limit(settings.limits.max_buffered_bytes);
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Returns the current monotonic time.
    pub fn now(&self) -> Time {
        let now = self.clock.now();
        let mut detector = self.pause_detector.get();
        detector.observe(now);
        self.pause_detector.set(detector);
        now
    }

    /// Returns the length of a pause of the process since the last call, if there was one.
    pub fn check_pause(&self) -> Option<Duration> {
        let mut detector = self.pause_detector.get();
        let pause = detector.check(self.clock.now(), time_since_boot());
        self.pause_detector.set(detector);
        pause
    }

    /// Returns whether the registry responded recently, here or at the relay that tells this router
    /// of changes.
    pub fn is_registry_fresh(&self) -> bool {
        self.has_registry_answered()
            || self.router.borrow().exchange().is_told_of_changes(self.now())
    }

    /// Has the registry asked for changes now; `unverified_since` is empty when it has answered.
    pub fn request_registry_check(&self) {
        self.unverified_since.set(Some(self.now()));
        self.registry_check.notify_one();
    }

    /// Returns whether the registry responded to this router recently.
    pub fn has_registry_answered(&self) -> bool {
        let now = self.now();
        self.last_registry_response
            .get()
            .is_some_and(|at| now.since(at) < Self::REGISTRY_STALE_AFTER)
    }

    /// Wakes the synchronisation with the registry when a relay tells of a change.
    pub fn check_registry_if_told(&self, now: Time) {
        let router = self.router.borrow();
        let newest = router.peers().newest_version(now);
        let is_behind = newest.is_some_and(|newest| newest > router.registry().version());
        if is_behind && router.exchange().is_told_of_changes(now) {
            self.registry_check.notify_one();
        }
    }

    /// Records the era of the store, as a response tells it. After a restore, the streams that this
    /// router knows are recorded again.
    pub fn check_record_era(&self, era: u64) {
        let known = self.record_era.get();
        if era <= known {
            return;
        }
        self.record_era.set(era);
        if known > 0 {
            self.router.borrow_mut().on_store_restored(self.now());
            self.records_due.notify_one();
        }
    }

    /// Returns whether the last call to the registry failed.
    pub fn is_registry_failing(&self) -> bool {
        self.router.borrow().streams().is_store_failing
    }

    /// Sets whether the last call to the registry failed.
    pub fn set_registry_failing(&self, is_failing: bool) {
        self.router.borrow_mut().streams_mut().is_store_failing = is_failing;
    }

    /// Returns whether the load balancer may send connections.
    pub fn is_ready(&self) -> bool {
        let is_flooded = self.overload.borrow().wants_relief(self.now());
        self.phase.get() == Phase::Serving
            && self.router.borrow().registry().table().is_some()
            && !is_flooded
    }

    /// Returns whether the connection of the client that was refused last is closed: to save memory
    /// and descriptors, or since a new one is opened at another router.
    pub fn closes_refused_client(&self) -> bool {
        self.connections.get() > self.settings.borrow().limits.refused_close_threshold
            || self.overload.borrow().moves_client()
    }

    /// Returns whether a line about a refused or failed request may be logged, and counts it.
    pub fn may_log_failure(&self) -> bool {
        self.log_budget.try_acquire(LogClass::Failure)
    }

    /// Returns whether a line about an ignored entry of the registry may be logged, and counts it.
    pub fn may_log_entry(&self) -> bool {
        self.log_budget.try_acquire(LogClass::Entry)
    }

    /// Returns whether a line about a successful request may be logged, and counts it.
    pub fn may_log_success(&self) -> bool {
        self.log_budget.try_acquire(LogClass::Success)
    }
}
