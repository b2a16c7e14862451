//! State that the parts of the daemon share.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sapphirespur_core::collections::HashMap;
use sapphirespur_core::edge::{Router, RouterSettings};
use sapphirespur_core::time::Time;
use tokio::sync::Notify;

use super::dialect::Dialect;
use super::log_budget::{LogBudget, LogClass};
use super::metrics::Metrics;
use super::pool::Pool;
use crate::clock::{Clock, wall_us};
use crate::settings::EdgeSettings;

/// Phase in the life of the process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Phase {
    /// Serves.
    Serving,
    /// Serves what comes, and asks the balancer for no more connections.
    Draining,
    /// Finishes what it has and refuses the rest.
    Closing,
}

/// State of the daemon.
pub(super) struct Shared {
    /// Settings in force.
    settings: RefCell<Rc<EdgeSettings>>,
    /// Metrics.
    pub metrics: Metrics,
    /// Speech of the platform.
    pub dialect: Rc<dyn Dialect>,
    /// Monotonic clock.
    pub clock: Clock,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Decisions.
    pub router: RefCell<Router>,
    /// Kept connections to upstreams.
    pub pool: RefCell<Pool>,
    /// Phase in the life of the process.
    pub phase: Cell<Phase>,
    /// Requests that are being served.
    pub in_flight: Cell<usize>,
    /// Connections of clients.
    pub connections: Cell<usize>,
    /// Bytes of request bodies in memory.
    pub buffered_bytes: Cell<usize>,
    /// Revision from which the platform's record is watched; it is listed anew when there is none.
    pub watch_revision: Cell<Option<u64>>,
    /// Addresses of the other routers by the hash of their names.
    pub peer_addresses: RefCell<HashMap<u64, SocketAddr>>,
    /// When the platform's record was last heard.
    pub registry_last_received: Cell<Option<Time>>,
    /// Tells connections to close when they are idle.
    pub closing: Notify,
    /// Log lines that may still be written in this second.
    pub log_budget: LogBudget,
}

impl Shared {
    /// Time without word from the platform's record after which this process may know too little
    /// to say that a route or key does not exist.
    const MAX_REGISTRY_AGE: Duration = Duration::from_secs(3);

    /// Creates the state of a process that has just started.
    pub fn new(settings: EdgeSettings, dialect: Rc<dyn Dialect>) -> Self {
        let started_ms = wall_us() / 1_000;
        let clock = Clock::start();
        let mut router = Router::new(RouterSettings {
            name: settings.node.name.clone(),
            data_centre: settings.node.data_centre.clone(),
            started_ms,
            ..settings.decisions.clone()
        });
        router.start(clock.now());

        Self {
            settings: RefCell::new(Rc::new(settings)),
            metrics: Metrics::new(),
            dialect,
            clock,
            started_ms,
            router: RefCell::new(router),
            pool: RefCell::default(),
            phase: Cell::new(Phase::Serving),
            in_flight: Cell::new(0),
            connections: Cell::new(0),
            buffered_bytes: Cell::new(0),
            watch_revision: Cell::new(None),
            peer_addresses: RefCell::default(),
            registry_last_received: Cell::new(None),
            closing: Notify::new(),
            log_budget: LogBudget::default(),
        }
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Rc<EdgeSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Puts settings in force that were read again; addresses and names stay as they are.
    pub fn set_settings(&self, settings: EdgeSettings) {
        self.router.borrow_mut().update_settings(&settings.decisions);
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Returns the time now.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Tells whether the configuration in force is known to be recent.
    pub fn is_registry_fresh(&self) -> bool {
        let now = self.now();
        self.registry_last_received.get().is_some_and(|at| now.since(at) < Self::MAX_REGISTRY_AGE)
    }

    /// Tells whether the balancer may send connections.
    pub fn is_ready(&self) -> bool {
        self.phase.get() == Phase::Serving && self.router.borrow().registry().table().is_some()
    }

    /// Tells whether connections of clients that were refused should be closed, to save memory and
    /// descriptors: such clients come back on new ones.
    pub fn closes_refused_clients(&self) -> bool {
        self.connections.get() > self.settings.borrow().limits.refused_close_threshold
    }

    /// Takes the right to log a line about a request that did not go well.
    pub fn may_log_failure(&self) -> bool {
        self.log_budget.try_acquire(LogClass::Failure)
    }

    /// Takes the right to log a line about a request that went well.
    pub fn may_log_success(&self) -> bool {
        self.log_budget.try_acquire(LogClass::Success)
    }
}
