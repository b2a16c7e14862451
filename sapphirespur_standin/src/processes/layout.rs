//! Which processes a fleet has.

use crate::engine::EngineOptions;

/// Sizes of a fleet.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Data centres.
    pub data_centres: Vec<String>,
    /// Routers in each.
    pub routers: usize,
    /// Engines in each.
    pub engines: usize,
    /// Plain services in each.
    pub services: usize,
    /// Behaviour of the engines.
    pub engine: EngineOptions,
    /// Time of a call of a plain service, in milliseconds.
    pub service_latency_ms: u64,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            data_centres: vec!["milano".to_owned(), "torino".to_owned()],
            routers: 2,
            engines: 2,
            services: 1,
            engine: EngineOptions { cold_slots: 2, cold_ms: 1_000, ..EngineOptions::default() },
            service_latency_ms: 5,
        }
    }
}

impl Layout {
    /// Returns the smallest layout that has every kind of process.
    pub fn minimal() -> Self {
        Self {
            data_centres: vec!["milano".to_owned()],
            routers: 1,
            engines: 1,
            services: 1,
            engine: EngineOptions { cold_slots: 4, ..EngineOptions::default() },
            service_latency_ms: 5,
        }
    }

    /// Returns the names of the routers.
    pub fn router_names(&self) -> Vec<String> {
        self.names("r", self.routers)
    }

    /// Returns the names of the engines.
    pub fn engine_names(&self) -> Vec<String> {
        self.names("e", self.engines)
    }

    /// Returns the names of the plain services.
    pub fn service_names(&self) -> Vec<String> {
        self.names("s", self.services)
    }

    fn names(&self, kind: &str, count: usize) -> Vec<String> {
        let data_centre_names =
            |dc: &String| (1..=count).map(|n| format!("{dc}-{kind}{n}")).collect::<Vec<_>>();

        self.data_centres.iter().flat_map(data_centre_names).collect()
    }
}

/// Returns the data centre that starts a name.
pub(super) fn data_centre_name(name: &str) -> &str {
    name.split('-').next().unwrap_or_default()
}
