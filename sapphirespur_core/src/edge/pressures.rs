//! Pressure on the upstreams of all services.

use std::time::Duration;

use crate::collections::HashMap;
use crate::edge::{Peers, Pressure, ServicePressure, Shares};
use crate::name::Name;
use crate::time::Time;

/// Pressure on the upstreams of each service, as measured at this router's decisions.
#[derive(Clone, Debug, Default)]
pub struct Pressures {
    by_service: HashMap<Name, Pressure>,
}

impl Pressures {
    /// Records the pressure at a decision.
    pub fn record(&mut self, now: Time, service: &Name, sample: f64) {
        self.by_service.entry(service.clone()).or_default().record(now, sample);
    }

    /// Returns the factor that converts this router's pressure to the mean of all routers.
    pub fn correction(&self, now: Time, service: &Name, peers: &Peers) -> f64 {
        let Some(pressure) = self.by_service.get(service) else { return 1.0 };
        pressure.fleet_correction(now, peers.pressure(now, Shares::name_hash(service)))
    }

    /// Records that a request was declined because its workspace is above its share.
    pub fn record_decline(&mut self, now: Time, service: &Name) {
        self.by_service.entry(service.clone()).or_default().record_decline(now);
    }

    /// Returns the multiple of its share that a workspace may use while upstreams are not busy.
    pub fn over_share_factor(&self, service: &Name) -> f64 {
        self.by_service.get(service).copied().unwrap_or_default().over_share_factor()
    }

    /// Adjusts the over-share factors over `elapsed` to the pressure at all routers.
    pub fn adapt(&mut self, now: Time, elapsed: Duration, peers: &Peers) {
        for (service, pressure) in &mut self.by_service {
            pressure.adapt(now, elapsed, peers.pressure(now, Shares::name_hash(service)));
        }
    }

    /// Returns the pressures to report to the other routers, for services with a recent decision.
    pub fn reports(&self, now: Time) -> Vec<ServicePressure> {
        let report = |(service, pressure): (&Name, &Pressure)| {
            let per_mille = (pressure.mean(now)? * 1_000.0).round() as u64;
            let mut sums = ServicePressure {
                service: Shares::name_hash(service),
                measured: 1,
                per_mille,
                ..ServicePressure::default()
            };
            if pressure.is_declining(now) {
                sums.declining = 1;
                sums.declining_per_mille = per_mille;
                sums.leeway_percent = (pressure.over_share_factor() * 100.0) as u64;
            }
            Some(sums)
        };

        self.by_service.iter().filter_map(report).collect()
    }
}
