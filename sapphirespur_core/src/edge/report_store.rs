//! Latest reports of several sources, with sums over them.

use std::time::Duration;

use crate::collections::HashMap;
use crate::edge::fleet_sums::FleetSums;
use crate::edge::{
    PeerReport, RegistryVersion, RolloutEvidence, ServiceDemand, ServicePressure, UpstreamLoad,
    WorkspaceUsage,
};
use crate::time::Time;

/// Routers over which a stored report sums; no two stored reports cover the same router.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ReportSource {
    /// One router, by the hash of its name.
    Router(u64),
    /// All routers of another data centre, by the hash of its name.
    DataCentre(u32),
    /// All other routers of the fleet.
    Fleet,
}

/// Latest report of one source.
#[derive(Clone, Debug)]
struct Peer {
    report: PeerReport,
    received_at: Time,
    /// When the work in it no longer counts.
    expires_at: Time,
    /// Whether the report is included in the sums.
    is_summed: bool,
}

/// Latest reports by source, with incremental sums over the recent ones.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportStore {
    by_source: HashMap<ReportSource, Peer>,
    sums: FleetSums,
    /// When the oldest report in the sums expires; none when the sums are empty.
    expires_at: Option<Time>,
}

impl ReportStore {
    /// Age at which the work in a report of one router no longer counts; several later reports must
    /// have been lost by then.
    const REPORT_TTL: Duration = Duration::from_secs(1);

    /// Age at which sums no longer count. Sums change slowly, and a new relay takes a while.
    const SUMS_TTL: Duration = Duration::from_millis(2_500);

    /// Stores the report of a source and returns it, if it is newer than the previous one of the
    /// same sender.
    pub fn insert(
        &mut self,
        now: Time,
        source: ReportSource,
        report: PeerReport,
    ) -> Option<&PeerReport> {
        if let Some(peer) = self.by_source.get(&source)
            && peer.expires_at > now
            && !replaces(&report, &peer.report)
        {
            return None;
        }

        self.sums.add(&report);
        let ttl = match source {
            ReportSource::Router(_) => Self::REPORT_TTL,
            ReportSource::DataCentre(_) | ReportSource::Fleet => Self::SUMS_TTL,
        };
        let expires_at = now + ttl;
        self.expires_at = Some(self.expires_at.map_or(expires_at, |at| at.min(expires_at)));
        let peer = Peer { report, received_at: now, expires_at, is_summed: true };
        if let Some(previous) = self.by_source.insert(source, peer)
            && previous.is_summed
        {
            self.sums.remove(&previous.report);
        }
        self.by_source.get(&source).map(|peer| &peer.report)
    }

    /// Drops the reports of all sources for which `is_kept` returns `false`.
    pub fn retain(&mut self, is_kept: impl Fn(ReportSource) -> bool) {
        let sums = &mut self.sums;
        self.by_source.retain(|source, peer| {
            let is_kept = is_kept(*source);
            if !is_kept && peer.is_summed {
                sums.remove(&peer.report);
            }
            is_kept
        });
    }

    /// Subtracts expired reports from the sums.
    pub fn expire(&mut self, now: Time) {
        if self.are_sums_current(now) {
            return;
        }

        for peer in self.by_source.values_mut() {
            if peer.is_summed && peer.expires_at <= now {
                peer.is_summed = false;
                self.sums.remove(&peer.report);
            }
        }
        self.expires_at =
            self.by_source.values().filter(|peer| peer.is_summed).map(|peer| peer.expires_at).min();
    }

    fn are_sums_current(&self, now: Time) -> bool {
        self.expires_at.is_none_or(|expires_at| now < expires_at)
    }

    /// Returns the number of routers that the recent reports cover.
    pub fn covered(&self, now: Time) -> usize {
        self.fresh_reports(now).map(|report| report.routers as usize).sum()
    }

    /// Returns whether the registry answers the relay that sends the sums over the fleet; none
    /// without recent sums.
    pub fn is_relay_fresh(&self, now: Time) -> Option<bool> {
        let sums = self.by_source.get(&ReportSource::Fleet)?;

        (now.since(sums.received_at) < Self::REPORT_TTL).then_some(sums.report.is_registry_fresh)
    }

    /// Returns the router with the newest registry version, if it is newer than `version`.
    pub fn find_newer(&self, now: Time, version: RegistryVersion) -> Option<u64> {
        let versions =
            self.fresh_reports(now).map(|report| (report.version, report.version_router));
        versions.max().filter(|(other, _)| *other > version).map(|(_, router)| router)
    }

    /// Returns the newest registry version of another router.
    pub fn newest_version(&self, now: Time) -> Option<RegistryVersion> {
        self.fresh_reports(now).map(|report| report.version).max()
    }

    /// Returns the newest registry version in the reports that were received after `since`; none if
    /// they cover fewer than `routers`.
    pub fn newest_version_since(&self, since: Time, routers: usize) -> Option<RegistryVersion> {
        let recent = || self.by_source.values().filter(|peer| peer.received_at > since);
        let covered: usize = recent().map(|peer| peer.report.routers as usize).sum();
        recent().map(|peer| peer.report.version).max().filter(|_| covered >= routers)
    }

    /// Returns the router with the newest configuration, if it is newer than `version`.
    pub fn find_newer_config(&self, now: Time, version: u64) -> Option<u64> {
        let configs =
            self.fresh_reports(now).map(|report| (report.config_version, report.config_router));
        configs.max().filter(|(other, _)| *other > version).map(|(_, router)| router)
    }

    /// Returns the total work of all other routers at an upstream.
    pub fn load(&self, now: Time, upstream: u32) -> UpstreamLoad {
        if self.are_sums_current(now) {
            return self.sums.load(upstream);
        }

        FleetSums::from_reports(self.fresh_reports(now)).load(upstream)
    }

    /// Returns the usage of workspaces at the other routers, as of the last call of
    /// [`expire`](Self::expire).
    pub fn usage(&self) -> impl Iterator<Item = WorkspaceUsage> {
        self.sums.usage()
    }

    /// Returns the sums of the pressures that the other routers have measured for a service.
    pub fn pressure(&self, now: Time, service: u32) -> ServicePressure {
        if self.are_sums_current(now) {
            return self.sums.pressure(service);
        }

        FleetSums::from_reports(self.fresh_reports(now)).pressure(service)
    }

    /// Returns the requests and retries for a service at the other routers.
    pub fn demand(&self, now: Time, service: u32) -> ServiceDemand {
        if self.are_sums_current(now) {
            return self.sums.demand(service);
        }

        FleetSums::from_reports(self.fresh_reports(now)).demand(service)
    }

    /// Returns the responses by version at the other routers, as of the last call of
    /// [`expire`](Self::expire).
    pub fn rollouts(&self) -> impl Iterator<Item = RolloutEvidence> {
        self.sums.rollouts()
    }

    /// Returns the sums over `own` and the reports of single routers.
    pub fn sum_of_routers(&self, own: &PeerReport) -> PeerReport {
        let is_single = |source: &ReportSource| matches!(source, ReportSource::Router(_));
        let singles =
            self.by_source.iter().filter(|(source, peer)| is_single(source) && peer.is_summed);
        let reports = singles.map(|(_, peer)| &peer.report).chain([own]);
        FleetSums::from_reports(reports.clone()).to_report(own, reports)
    }

    /// Returns the sums over `own` and all reports but the one of the router `left_out`.
    pub fn sum_without(&self, own: &PeerReport, left_out: u64) -> PeerReport {
        let left_out = ReportSource::Router(left_out);
        let mut sums = self.sums.clone();
        sums.add(own);
        if let Some(peer) = self.by_source.get(&left_out).filter(|peer| peer.is_summed) {
            sums.remove(&peer.report);
        }

        let others = self
            .by_source
            .iter()
            .filter(|(source, peer)| **source != left_out && peer.is_summed)
            .map(|(_, peer)| &peer.report);
        sums.to_report(own, others.chain([own]))
    }

    /// Clears all reported work; the order of reports is still known.
    pub fn clear(&mut self) {
        self.sums = FleetSums::default();
        self.expires_at = None;
        for peer in self.by_source.values_mut() {
            peer.is_summed = false;
            peer.report.upstreams.clear();
            peer.report.workspaces.clear();
            peer.report.pressures.clear();
            peer.report.demands.clear();
            peer.report.rollouts.clear();
        }
    }

    fn fresh_reports(&self, now: Time) -> impl Iterator<Item = &PeerReport> {
        self.by_source.values().filter(move |peer| peer.expires_at > now).map(|peer| &peer.report)
    }
}

/// Returns whether `report` replaces a recent one of the same source: it is newer, or another router
/// sends it and covers at least as many routers.
fn replaces(report: &PeerReport, previous: &PeerReport) -> bool {
    if report.router != previous.router {
        return report.routers >= previous.routers;
    }

    (report.started_ms, report.sequence) > (previous.started_ms, previous.sequence)
}
