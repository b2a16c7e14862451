//! Index of the configuration's routes by service.

use std::time::Duration;

use crate::collections::HashMap;
use crate::edge::{RouteKind, RouteTable};
use crate::name::Name;

/// Timeouts and mean target latency of the routes that lead to one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceRoutes {
    /// Longest time until the final response, by route.
    pub timeouts: HashMap<Name, Duration>,
    /// Mean target latency of the routes.
    pub mean_target: Duration,
    /// Mean of the longest times until the final response.
    pub mean_timeout: Duration,
    /// Shortest limit on the time between two events of a stream; none without one.
    pub gap_limit: Option<Duration>,
    /// Whether streams of a route can be taken up.
    pub is_resumable: bool,
}

/// Timeouts and mean target latency of the routes, by service.
#[derive(Clone, Debug, Default)]
pub struct TableIndex {
    services: HashMap<Name, ServiceRoutes>,
}

impl TableIndex {
    /// Creates the index of a configuration.
    pub fn new(table: &RouteTable) -> Self {
        let mut sums: HashMap<Name, (Duration, Duration, u32)> = HashMap::default();
        let mut services: HashMap<Name, ServiceRoutes> = HashMap::default();
        for route in table.hosts.values().flatten() {
            for split in &route.splits {
                let routes = services.entry(split.service.clone()).or_default();
                routes.timeouts.insert(route.name.clone(), route.timeout);
                routes.is_resumable |= route.kind == RouteKind::Stream { resumable: true };
                routes.gap_limit = routes.gap_limit.into_iter().chain(route.gap_limit).min();
                let (target, timeout, count) = sums.entry(split.service.clone()).or_default();
                *target += route.target;
                *timeout += route.timeout;
                *count += 1;
            }
        }

        for (service, (target, timeout, count)) in sums {
            if let Some(routes) = services.get_mut(&service) {
                routes.mean_target = target / count;
                routes.mean_timeout = timeout / count;
            }
        }
        Self { services }
    }

    /// Returns the services with streams that can be taken up.
    pub fn resumable_services(&self) -> impl Iterator<Item = &Name> {
        let resumable = self.services.iter().filter(|(_, routes)| routes.is_resumable);
        resumable.map(|(service, _)| service)
    }

    /// Returns the routes of a service; none when no route leads to it.
    pub fn routes(&self, service: &Name) -> Option<&ServiceRoutes> {
        self.services.get(service)
    }
}
