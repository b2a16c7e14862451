//! Reported loads of all upstreams of a router.

use std::time::Duration;

use crate::edge::load::PaceStep;
use crate::edge::{
    CallInfo, ExchangeRole, InFlightRequest, LoadReport, LoadUse, ServiceLoad, ToldLoad, Upstream,
    Upstreams,
};
use crate::name::Name;
use crate::time::Time;

impl Upstreams {
    /// Largest number of loads in a report.
    const LOADS_PER_REPORT: usize = 32;

    /// Largest number of loads in a report of a mesh, which goes to up to seven routers six times a
    /// second: 13 bytes each stay below 8 KB a second.
    const LOADS_PER_MESH_REPORT: usize = 12;

    /// Age from which on a load is not reported: it would arrive too late to be of use.
    const MAX_REPORTED_AGE: Duration = Duration::from_secs(1);

    /// Returns what was learned of a service.
    pub fn service_load(&self, service: &Name) -> ServiceLoad {
        self.service_loads.get(service).copied().unwrap_or_default()
    }

    /// Returns the expected time of work at an upstream as a multiple of the usual time; one where
    /// nothing is known.
    pub fn pace(&self, now: Time, upstream: &Upstream) -> f64 {
        if upstream.known.told(now).is_none() {
            return 1.0;
        }
        upstream.known.pace(now, &self.service_load(&upstream.entry.service))
    }

    /// Records the load that the upstream of a request told in its response.
    pub(in crate::edge) fn on_told(&mut self, now: Time, id: &str, told: ToldLoad) {
        let Some(upstream) = self.get_mut(id) else { return };
        let step = upstream.known.on_told(now, told).filter(|_| told.pace.is_some());
        let learned = step.map(|step| (upstream.entry.service.clone(), step));
        self.record_pace_step(learned);
    }

    /// Learns from a step between two paces of an upstream of a service, if there is one.
    fn record_pace_step(&mut self, learned: Option<(Name, PaceStep)>) {
        if let Some((service, step)) = learned {
            self.service_loads.entry(service).or_default().pace_time.record(step);
        }
    }

    /// Records the response time of a plain call.
    pub(in crate::edge) fn record_call(&mut self, now: Time, request: &InFlightRequest) {
        let Some(LoadUse { occupied, slots, pace, .. }) = request.load else { return };
        let per_slot = (occupied + 1.0) / f64::from(slots);
        let service = self.service_loads.entry(request.service.clone()).or_default();
        service.record_call(now.since(request.placed_at), per_slot, pace);
    }

    /// Returns the loads to tell the other routers, newest first: those of plain services, and those
    /// with an unusual pace. A router that does not pass reports on tells those of its own responses.
    pub(in crate::edge) fn load_reports(
        &self,
        now: Time,
        role: ExchangeRole,
        is_plain: impl Fn(&Name) -> bool,
    ) -> Vec<LoadReport> {
        let report = |upstream: &Upstream| {
            let (told, age) = upstream.known.told(now)?;
            let is_told = age < Self::MAX_REPORTED_AGE
                && (role.adds_up() || !upstream.known.is_from_other())
                && (upstream.known.is_pace_news(now) || is_plain(&upstream.entry.service));
            is_told.then(|| LoadReport::new(upstream.key, told, age))
        };
        let mut reports: Vec<_> = self.iter().filter_map(report).collect();
        reports.sort_unstable_by_key(|report| (report.age_ms, report.upstream));
        reports.truncate(match role {
            ExchangeRole::Mesh => Self::LOADS_PER_MESH_REPORT,
            _ => Self::LOADS_PER_REPORT,
        });
        reports
    }

    /// Takes over loads that other routers report, where they are newer.
    pub(in crate::edge) fn merge_loads(&mut self, now: Time, reports: &[LoadReport]) {
        for report in reports {
            let Some(upstream) = self.get_by_key_mut(report.upstream) else { continue };
            let step = upstream.known.merge(now, report);
            let step = step.filter(|_| report.pace_percent.is_some());
            let learned = step.map(|step| (upstream.entry.service.clone(), step));
            self.record_pace_step(learned);
        }
    }

    /// Returns the time until the first upstream of a plain service is expected to have free places,
    /// if all that the call may go to are known to be full.
    pub(in crate::edge) fn drain_time(&self, now: Time, call: &CallInfo) -> Option<Duration> {
        let service = self.service_load(&call.service);
        let fits = |upstream: &&Upstream| call.fits_version(&upstream.entry);
        let mut available = self.available(now, &call.service).filter(fits);
        if !available.all(|upstream| upstream.known.is_full(now)) {
            return None;
        }
        let available = self.available(now, &call.service).filter(fits);
        available.map(|upstream| upstream.known.drain_time(now, &service)).min()
    }
}
