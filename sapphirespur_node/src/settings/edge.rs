//! Settings of the edge router.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::time::Duration;

use sapphirespur_core::edge::{RetryLimits, RouterSettings};

use super::rollouts::{ROLLOUTS_KEYS, read_rollouts};
use crate::settings::{LogSettings, NodeSettings, SectionSchema, SettingsError, SettingsFile};

/// Addresses on which the router listens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EdgeListen {
    /// Requests of clients (HTTP).
    pub http: SocketAddr,
    /// Readiness checks of the load balancer (HTTP).
    pub ready: SocketAddr,
    /// Reports of other routers (UDP), and snapshots and status for routers and operators (HTTP).
    pub peers: SocketAddr,
    /// Metrics for collectors (HTTP).
    pub metrics: SocketAddr,
}

/// Limits on buffered bodies, client connections and the time to stop.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EdgeLimits {
    /// Most bytes held for request bodies, and for responses, each.
    pub max_buffered_bytes: usize,
    /// Number of client connections above which those of refused clients are closed.
    pub refused_close_threshold: usize,
    /// Number of client connections at which idle ones are closed before more are accepted.
    pub max_connections: usize,
    /// Time from a stop signal until the process is killed.
    pub grace: Duration,
}

/// Settings of the edge router daemon.
#[derive(Clone, Debug)]
pub struct EdgeSettings {
    /// File from which the settings were read.
    pub path: PathBuf,
    /// Name and data centre of the router.
    pub node: NodeSettings,
    /// Addresses on which the router listens.
    pub listen: EdgeListen,
    /// Addresses of the first peer routers to contact.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's registry.
    pub registry: SocketAddr,
    /// Writes per second that the registry takes from all routers together.
    pub record_writes_per_s: f64,
    /// Time within which an event must be passed on.
    pub delivery: Duration,
    /// Shortest time between two watches of the registry while changes arrive.
    pub watch_interval: Duration,
    /// Limits on buffered bodies, client connections and the time to stop.
    pub limits: EdgeLimits,
    /// Settings of admission and placement.
    pub decisions: RouterSettings,
    /// Level and destination of the log.
    pub log: LogSettings,
}

/// Divisor of the VM's memory that gives the limit for bodies of requests, that for what was read of upstreams and
/// is not written yet, and that for connections; the last quarter is for the state of the fleet.
const BUFFERED_MEMORY_DIVISOR: f64 = 4.0;

/// Memory of a client's connection with the request on it and the connection to its upstream, without bodies, in
/// bytes (docs/CAPACITY.md).
const CONNECTION_BYTES: usize = 24 * 1024;

/// Bytes in a megabyte of the VM's memory.
const BYTES_PER_MB: f64 = 1_048_576.0;

/// Range of the grace period and of windows, in seconds.
const SPAN_RANGE_S: RangeInclusive<f64> = 0.1..=3_600.0;

/// Divisor of the VM's file descriptors that gives the number of client connections above which
/// those of refused clients are closed.
const REFUSED_CLOSE_DIVISOR: usize = 16;

/// Divisor of the VM's file descriptors that gives the limit for client connections, where memory allows so many;
/// connections to upstreams need the rest.
const MAX_CONNECTIONS_DIVISOR: usize = 2;

/// Number of watches that fit into the shortest time within which a change must take effect.
const WATCHES_PER_BOUND: u32 = 8;

impl EdgeSettings {
    /// Sections that the file may have, with their keys.
    const SCHEMA: &[SectionSchema] = &[
        ("node", NodeSettings::KEYS),
        ("listen", &["http", "ready", "peers", "metrics"]),
        ("peers", &["seeds"]),
        ("record", &["address", "writes-per-s"]),
        ("bounds", &["drain-ms", "config-ms", "evacuation-ms", "delivery-ms"]),
        ("limits", &["memory-mb", "descriptors", "grace-s"]),
        ("repeats", &["ratio", "allowance", "window-s"]),
        ("cold", &["overshoot", "allowance"]),
        ("shares", &["window-s"]),
        ("placement", &["work-estimates"]),
        ("rollouts", ROLLOUTS_KEYS),
        ("log", LogSettings::KEYS),
    ];

    /// Reads the settings from a file.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be read or a value is not allowed.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        Self::from_file(path, &SettingsFile::read(path, Self::SCHEMA)?)
    }

    /// Reads the settings from the text of a file.
    ///
    /// # Errors
    ///
    /// Returns an error when the text is not INI or a value is not allowed.
    pub fn parse(path: &Path, text: String) -> Result<Self, SettingsError> {
        Self::from_file(path, &SettingsFile::parse(path, text, Self::SCHEMA)?)
    }

    fn from_file(path: &Path, f: &SettingsFile) -> Result<Self, SettingsError> {
        let node = NodeSettings::read(f)?;
        let listen = EdgeListen {
            http: f.address("listen", "http")?,
            ready: f.address("listen", "ready")?,
            peers: f.address("listen", "peers")?,
            metrics: f.address("listen", "metrics")?,
        };
        // The platform may state any of its limits and bounds with a fraction.
        let memory_mb = f.decimal("limits", "memory-mb", 16.0..=1_048_576.0, 256.0)?;
        let descriptors = f.decimal("limits", "descriptors", 256.0..=1_048_576.0, 1_024.0)?;

        let max_buffered_bytes = (memory_mb * BYTES_PER_MB / BUFFERED_MEMORY_DIVISOR) as usize;

        Ok(Self {
            path: path.to_owned(),
            seeds: f.addresses("peers", "seeds")?,
            registry: f.address("record", "address")?,
            record_writes_per_s: f.decimal("record", "writes-per-s", 1.0..=1_000_000.0, 400.0)?,
            delivery: Duration::from_secs_f64(
                f.decimal("bounds", "delivery-ms", 1.0..=3_600_000.0, 120.0)? / 1_000.0,
            ),
            watch_interval: read_tightest_bound(f)? / WATCHES_PER_BOUND,
            limits: EdgeLimits {
                max_buffered_bytes,
                refused_close_threshold: descriptors as usize / REFUSED_CLOSE_DIVISOR,
                max_connections: (descriptors as usize / MAX_CONNECTIONS_DIVISOR)
                    .min(max_buffered_bytes / CONNECTION_BYTES),
                grace: f.seconds("limits", "grace-s", SPAN_RANGE_S, Duration::from_secs(30))?,
            },
            decisions: RouterSettings {
                name: node.name.clone(),
                data_centre: node.data_centre.clone(),
                started_ms: 0,
                retries: RetryLimits {
                    ratio: f.decimal("repeats", "ratio", 0.0..=10.0, 0.1)?,
                    allowance: f.decimal("repeats", "allowance", 0.0..=1_000_000.0, 10.0)?,
                    window: f.seconds(
                        "repeats",
                        "window-s",
                        SPAN_RANGE_S,
                        Duration::from_secs(10),
                    )?,
                },
                cold_overshoot: f.decimal("cold", "overshoot", 0.0..=100.0, 1.0)?,
                cold_allowance: f.decimal("cold", "allowance", 0.0..=1_000_000.0, 0.0)?,
                share_window: f.seconds(
                    "shares",
                    "window-s",
                    SPAN_RANGE_S,
                    Duration::from_secs(4),
                )?,
                uses_work_estimates: f.switch("placement", "work-estimates", false)?,
                rollouts: read_rollouts(f)?,
            },
            node,
            listen,
            log: LogSettings::read(f)?,
        })
    }
}

/// Returns the shortest time within which a change of the registry must take effect.
fn read_tightest_bound(f: &SettingsFile) -> Result<Duration, SettingsError> {
    const DEFAULT_BOUND_MS: f64 = 2_000.0;

    let mut tightest_ms = f64::INFINITY;
    for key in ["drain-ms", "config-ms", "evacuation-ms"] {
        tightest_ms =
            tightest_ms.min(f.decimal("bounds", key, 1.0..=3_600_000.0, DEFAULT_BOUND_MS)?);
    }
    Ok(Duration::from_secs_f64(tightest_ms / 1_000.0))
}
