//! Reports of the other routers.

use std::time::Duration;

use crate::collections::HashMap;
use crate::edge::fleet_sums::FleetSums;
use crate::edge::{ObservedPressure, PeerReport, RegistryVersion, UpstreamLoad, WorkspaceUsage};
use crate::hash::stable_hash;
use crate::time::Time;

/// Latest report of one router.
#[derive(Clone, Debug)]
struct Peer {
    report: PeerReport,
    received_at: Time,
    /// Whether the report is included in the sums.
    is_summed: bool,
}

/// Latest reports of the other routers, with incremental sums over the recent ones.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    by_router: HashMap<u64, Peer>,
    sums: FleetSums,
    /// When the oldest report in the sums expires; none when the sums are empty.
    expires_at: Option<Time>,
}

impl Peers {
    /// Age at which the work in a report no longer counts; several later reports must have been
    /// lost by then.
    const REPORT_TTL: Duration = Duration::from_secs(1);

    /// Age of the last report at which a router no longer counts when fleet-wide limits are
    /// divided.
    const MEMBER_TTL: Duration = Duration::from_secs(30);

    /// Stores a report and returns it, if it is newer than the previous one of its router. An older
    /// one is accepted as well once the previous one has expired.
    pub fn insert(&mut self, now: Time, report: PeerReport) -> Option<&PeerReport> {
        if let Some(peer) = self.by_router.get(&report.router) {
            let previous = (peer.report.started_ms, peer.report.sequence);
            if (report.started_ms, report.sequence) <= previous
                && now.since(peer.received_at) < Self::REPORT_TTL
            {
                return None;
            }
        }

        self.sums.add(&report);
        self.expires_at.get_or_insert(now + Self::REPORT_TTL);
        let router = report.router;
        let peer = Peer { report, received_at: now, is_summed: true };
        if let Some(previous) = self.by_router.insert(router, peer)
            && previous.is_summed
        {
            self.sums.remove(&previous.report);
        }
        self.by_router.get(&router).map(|peer| &peer.report)
    }

    /// Subtracts expired reports from the sums.
    pub fn expire(&mut self, now: Time) {
        if self.are_sums_current(now) {
            return;
        }

        let expires_at = |peer: &Peer| peer.received_at + Self::REPORT_TTL;
        for peer in self.by_router.values_mut() {
            if peer.is_summed && expires_at(peer) <= now {
                peer.is_summed = false;
                self.sums.remove(&peer.report);
            }
        }
        self.expires_at =
            self.by_router.values().filter(|peer| peer.is_summed).map(expires_at).min();
    }

    fn are_sums_current(&self, now: Time) -> bool {
        self.expires_at.is_none_or(|expires_at| now < expires_at)
    }

    /// Returns the number of routers with a recent report, not counting this one.
    pub fn count(&self, now: Time) -> usize {
        let is_member = |peer: &&Peer| now.since(peer.received_at) < Self::MEMBER_TTL;
        self.by_router.values().filter(is_member).count()
    }

    /// Returns the number of peers that precede the router with hash `own` in the rendezvous order
    /// of `key`.
    pub fn rank(&self, now: Time, own: u64, key: u32) -> usize {
        let weight = |router: u64| stable_hash(&[&router.to_le_bytes(), &key.to_le_bytes()]);
        let own = weight(own);
        let is_before = |(router, peer): &(&u64, &Peer)| {
            now.since(peer.received_at) < Self::MEMBER_TTL && weight(**router) > own
        };

        self.by_router.iter().filter(is_before).count()
    }

    /// Returns the router with the newest registry version, if it is newer than `version`.
    pub fn find_newer(&self, now: Time, version: RegistryVersion) -> Option<u64> {
        let versions = self.fresh_reports(now).map(|report| (report.version, report.router));
        versions.max().filter(|(other, _)| *other > version).map(|(_, router)| router)
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

    /// Returns the mean pressure that each other router has measured for a service.
    pub fn pressures(&self, now: Time, service: u32) -> impl Iterator<Item = f64> {
        self.fresh_reports(now)
            .flat_map(|report| &report.pressures)
            .filter(move |pressure| pressure.service == service)
            .map(|pressure| f64::from(pressure.per_mille) / 1_000.0)
    }

    /// Returns the pressure and over-share factor of each other router that is declining requests
    /// of workspaces above their share.
    pub fn declining_pressures(&self, now: Time, service: u32) -> Vec<ObservedPressure> {
        self.fresh_reports(now)
            .flat_map(|report| &report.pressures)
            .filter(|pressure| pressure.service == service && pressure.leeway_percent > 0)
            .map(|pressure| ObservedPressure {
                mean: f64::from(pressure.per_mille) / 1_000.0,
                over_share_factor: f64::from(pressure.leeway_percent) / 100.0,
            })
            .collect()
    }

    /// Clears all reported work, because it is outdated after this process was paused. The routers
    /// themselves still count as peers.
    pub fn clear_reports(&mut self) {
        self.sums = FleetSums::default();
        self.expires_at = None;
        for peer in self.by_router.values_mut() {
            peer.is_summed = false;
            peer.report.upstreams.clear();
            peer.report.workspaces.clear();
            peer.report.pressures.clear();
        }
    }

    fn fresh_reports(&self, now: Time) -> impl Iterator<Item = &PeerReport> {
        self.by_router
            .values()
            .filter(move |peer| now.since(peer.received_at) < Self::REPORT_TTL)
            .map(|peer| &peer.report)
    }
}
