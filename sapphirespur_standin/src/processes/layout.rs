//! Size of a fleet and names of its processes.

use std::net::Ipv4Addr;

use crate::engine::EngineOptions;

/// Number and kind of the processes of a fleet.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Loopback address on which all processes listen.
    pub ip: Ipv4Addr,
    /// Names of the data centres.
    pub data_centres: Vec<String>,
    /// Routers per data centre.
    pub routers: usize,
    /// Engines per data centre, each behind its own sidecar.
    pub engines: usize,
    /// Plain services per data centre, each behind its own sidecar.
    pub services: usize,
    /// Capacity and timing of all engines.
    pub engine: EngineOptions,
    /// Duration of a call at a plain service, in milliseconds.
    pub service_latency_ms: u64,
    /// Maximum duration of a drain, in seconds.
    pub drain_s: u64,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            ip: Ipv4Addr::LOCALHOST,
            data_centres: vec!["milano".to_owned(), "torino".to_owned()],
            routers: 2,
            engines: 2,
            services: 1,
            engine: EngineOptions { cold_slots: 2, cold_ms: 1_000, ..EngineOptions::default() },
            service_latency_ms: 5,
            drain_s: 30,
        }
    }
}

impl Layout {
    /// Returns a layout with one process of each kind in one data centre.
    pub fn minimal() -> Self {
        Self {
            data_centres: vec!["milano".to_owned()],
            routers: 1,
            engines: 1,
            engine: EngineOptions { cold_slots: 4, ..EngineOptions::default() },
            ..Self::default()
        }
    }

    /// Returns the names of the routers.
    pub fn router_names(&self) -> Vec<String> {
        self.names("r", self.routers)
    }

    /// Returns the names of the engines, which their sidecars share.
    pub fn engine_names(&self) -> Vec<String> {
        self.names("e", self.engines)
    }

    /// Returns the names of the plain services, which their sidecars share.
    pub fn service_names(&self) -> Vec<String> {
        self.names("s", self.services)
    }

    fn names(&self, kind: &str, count: usize) -> Vec<String> {
        let data_centre_names =
            |dc: &String| (1..=count).map(|n| format!("{dc}-{kind}{n}")).collect::<Vec<_>>();

        self.data_centres.iter().flat_map(data_centre_names).collect()
    }
}

/// Returns the data centre of a process, which is the first part of its name.
pub(super) fn data_centre_name(name: &str) -> &str {
    name.split('-').next().unwrap_or_default()
}
