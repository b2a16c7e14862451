//! Pressure on all services, as this router and the others see it.

use std::time::Duration;

use crate::collections::HashMap;
use crate::edge::{Peers, Pressure, ServicePressure, Shares};
use crate::name::Name;
use crate::time::Time;

/// Pressure by service.
#[derive(Clone, Debug, Default)]
pub struct Pressures {
    by_service: HashMap<Name, Pressure>,
}

impl Pressures {
    /// Notes the pressure at a decision, and returns the factor that turns what this router sees
    /// into what all routers see.
    pub fn record(&mut self, now: Time, service: &Name, sample: f64, peers: &Peers) -> f64 {
        let pressure = self.by_service.entry(service.clone()).or_default();
        pressure.record(now, sample);
        pressure.fleet_correction(now, peers.pressures(now, Shares::name_hash(service)))
    }

    /// Notes that a workspace was refused for what it has beyond its share.
    pub fn record_refusal(&mut self, now: Time, service: &Name) {
        self.by_service.entry(service.clone()).or_default().record_refusal(now);
    }

    /// Returns how many times their share workspaces may have while upstreams are not busy.
    pub fn over_share_factor(&self, service: &Name) -> f64 {
        self.by_service.get(service).copied().unwrap_or_default().over_share_factor()
    }

    /// Moves the leeways with what all routers see.
    pub fn adapt(&mut self, now: Time, elapsed: Duration, peers: &Peers) {
        for (service, pressure) in &mut self.by_service {
            pressure.adapt(
                now,
                elapsed,
                &peers.refusing_pressures(now, Shares::name_hash(service)),
            );
        }
    }

    /// Returns what other routers are told.
    pub fn reports(&self, now: Time) -> Vec<ServicePressure> {
        let report = |(service, pressure): (&Name, &Pressure)| {
            let over_share_factor =
                if pressure.is_refusing(now) { pressure.over_share_factor() * 100.0 } else { 0.0 };
            Some(ServicePressure {
                service: Shares::name_hash(service),
                per_mille: (pressure.mean(now)? * 1_000.0).round() as u16,
                leeway_percent: over_share_factor as u16,
            })
        };

        self.by_service.iter().filter_map(report).collect()
    }
}
