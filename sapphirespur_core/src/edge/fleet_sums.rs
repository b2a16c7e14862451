//! Sums over the reports of other routers, updated incrementally with each report.

use crate::collections::HashMap;
use crate::edge::{
    EvidenceKey, PeerReport, RolloutEvidence, ServiceDemand, ServicePressure, UpstreamLoad,
    WorkspaceUsage,
};

/// Work of several routers at one upstream.
#[derive(Clone, Copy, Debug, Default)]
struct UpstreamSum {
    reports: u32,
    in_flight: u32,
    pending_tokens: u64,
    /// Requests with a measured event interval.
    timed_requests: u32,
    /// Sum of the event intervals, weighted by requests.
    weighted_interval_ms: u64,
    decode_tokens: u64,
    memory_tokens: u64,
}

/// Responses on one route at several routers.
#[derive(Clone, Copy, Debug)]
struct EvidenceSum {
    reports: u32,
    row: RolloutEvidence,
}

/// Token usage of one workspace at several routers.
#[derive(Clone, Copy, Debug, Default)]
struct WorkspaceSum {
    reports: u32,
    asked: u64,
    admitted: u64,
}

/// Sums over reports, by upstream, by workspace and by service.
#[derive(Clone, Debug, Default)]
pub(super) struct FleetSums {
    upstreams: HashMap<u32, UpstreamSum>,
    workspaces: HashMap<u32, WorkspaceSum>,
    pressures: HashMap<u32, ServicePressure>,
    demands: HashMap<u32, ServiceDemand>,
    rollouts: HashMap<EvidenceKey, EvidenceSum>,
}

impl FleetSums {
    /// Returns the sums over `reports`.
    pub fn from_reports<'a>(reports: impl Iterator<Item = &'a PeerReport>) -> Self {
        let mut sums = Self::default();
        for report in reports {
            sums.add(report);
        }
        sums
    }

    /// Adds the work, usage, pressures and demands of a report to the sums.
    pub fn add(&mut self, report: &PeerReport) {
        for load in &report.upstreams {
            let sum = self.upstreams.entry(load.upstream).or_default();
            sum.reports += 1;
            sum.in_flight += load.in_flight;
            sum.pending_tokens += load.pending_tokens;
            sum.timed_requests += timed_requests(load);
            sum.weighted_interval_ms += weighted_interval_ms(load);
            sum.decode_tokens += load.decode_tokens;
            sum.memory_tokens += load.memory_tokens;
        }
        for usage in &report.workspaces {
            let sum = self.workspaces.entry(usage.workspace).or_default();
            sum.reports += 1;
            sum.asked += usage.asked;
            sum.admitted += usage.admitted;
        }
        for pressure in &report.pressures {
            let sum = self.pressures.entry(pressure.service).or_default();
            sum.service = pressure.service;
            sum.measured += pressure.measured;
            sum.per_mille += pressure.per_mille;
            sum.declining += pressure.declining;
            sum.declining_per_mille += pressure.declining_per_mille;
            sum.leeway_percent += pressure.leeway_percent;
        }
        for demand in &report.demands {
            let sum = self.demands.entry(demand.service).or_default();
            sum.service = demand.service;
            sum.requests += demand.requests;
            sum.retries += demand.retries;
        }
        for row in &report.rollouts {
            let empty = RolloutEvidence::empty(row.rollout, row.route, row.role, row.upstream);
            let sum =
                self.rollouts.entry(row.key()).or_insert(EvidenceSum { reports: 0, row: empty });
            sum.reports += 1;
            sum.row.add(row);
        }
    }

    /// Subtracts a report that was added before.
    pub fn remove(&mut self, report: &PeerReport) {
        for load in &report.upstreams {
            let Some(sum) = self.upstreams.get_mut(&load.upstream) else { continue };
            sum.reports -= 1;
            sum.in_flight -= load.in_flight;
            sum.pending_tokens -= load.pending_tokens;
            sum.timed_requests -= timed_requests(load);
            sum.weighted_interval_ms -= weighted_interval_ms(load);
            sum.decode_tokens -= load.decode_tokens;
            sum.memory_tokens -= load.memory_tokens;
            if sum.reports == 0 {
                self.upstreams.remove(&load.upstream);
            }
        }
        for usage in &report.workspaces {
            let Some(sum) = self.workspaces.get_mut(&usage.workspace) else { continue };
            sum.reports -= 1;
            sum.asked -= usage.asked;
            sum.admitted -= usage.admitted;
            if sum.reports == 0 {
                self.workspaces.remove(&usage.workspace);
            }
        }
        for pressure in &report.pressures {
            let Some(sum) = self.pressures.get_mut(&pressure.service) else { continue };
            sum.measured -= pressure.measured;
            sum.per_mille -= pressure.per_mille;
            sum.declining -= pressure.declining;
            sum.declining_per_mille -= pressure.declining_per_mille;
            sum.leeway_percent -= pressure.leeway_percent;
            if sum.measured == 0 && sum.declining == 0 {
                self.pressures.remove(&pressure.service);
            }
        }
        for demand in &report.demands {
            let Some(sum) = self.demands.get_mut(&demand.service) else { continue };
            sum.requests -= demand.requests;
            sum.retries -= demand.retries;
            if sum.requests == 0 && sum.retries == 0 {
                self.demands.remove(&demand.service);
            }
        }
        for row in &report.rollouts {
            let Some(sum) = self.rollouts.get_mut(&row.key()) else { continue };
            sum.reports -= 1;
            sum.row.subtract(row);
            if sum.reports == 0 {
                self.rollouts.remove(&row.key());
            }
        }
    }

    /// Returns the total work at an upstream, with the mean event interval weighted by requests.
    pub fn load(&self, upstream: u32) -> UpstreamLoad {
        let sum = self.upstreams.get(&upstream).copied().unwrap_or_default();
        let event_ms =
            sum.weighted_interval_ms.checked_div(u64::from(sum.timed_requests)).unwrap_or(0);

        UpstreamLoad {
            upstream,
            in_flight: sum.in_flight,
            pending_tokens: sum.pending_tokens,
            event_ms: event_ms as u32,
            unshared_tokens: 0,
            decode_tokens: sum.decode_tokens,
            memory_tokens: sum.memory_tokens,
        }
    }

    /// Returns the total usage of each workspace.
    pub fn usage(&self) -> impl Iterator<Item = WorkspaceUsage> {
        self.workspaces.iter().map(|(workspace, sum)| WorkspaceUsage {
            workspace: *workspace,
            asked: sum.asked,
            admitted: sum.admitted,
        })
    }

    /// Returns the summed pressures on the upstreams of a service.
    pub fn pressure(&self, service: u32) -> ServicePressure {
        self.pressures.get(&service).copied().unwrap_or_default()
    }

    /// Returns the total requests and retries for a service.
    pub fn demand(&self, service: u32) -> ServiceDemand {
        self.demands.get(&service).copied().unwrap_or_default()
    }

    /// Returns the summed responses by version.
    pub fn rollouts(&self) -> impl Iterator<Item = RolloutEvidence> {
        self.rollouts.values().map(|sum| sum.row)
    }

    /// Returns the sums as a report of the router that sends `own`; `summed` are the reports that
    /// they contain.
    pub fn to_report<'a>(
        &self,
        own: &PeerReport,
        summed: impl Iterator<Item = &'a PeerReport>,
    ) -> PeerReport {
        let (mut routers, mut newest) = (0, (own.version, own.version_router));
        let mut newest_config = (own.config_version, own.config_router);
        for report in summed {
            routers += report.routers;
            newest = newest.max((report.version, report.version_router));
            newest_config = newest_config.max((report.config_version, report.config_router));
        }
        let is_busy = |load: &UpstreamLoad| load.in_flight > 0 || load.pending_tokens > 0;

        PeerReport {
            router: own.router,
            started_ms: own.started_ms,
            sequence: own.sequence,
            routers,
            version: newest.0,
            version_router: newest.1,
            is_registry_fresh: own.is_registry_fresh,
            config_version: newest_config.0,
            config_router: newest_config.1,
            upstreams: self.upstreams.keys().map(|key| self.load(*key)).filter(is_busy).collect(),
            workspaces: self.usage().collect(),
            pressures: self.pressures.values().copied().collect(),
            reads: Vec::new(),
            demands: self.demands.values().copied().collect(),
            rollouts: self.rollouts().collect(),
        }
    }
}

/// Returns the requests of a load that has a measured event interval.
fn timed_requests(load: &UpstreamLoad) -> u32 {
    if load.event_ms > 0 { load.in_flight } else { 0 }
}

fn weighted_interval_ms(load: &UpstreamLoad) -> u64 {
    u64::from(load.in_flight) * u64::from(load.event_ms)
}
