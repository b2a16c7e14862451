//! Other routers, as their reports tell.

use std::time::Duration;

use crate::collections::HashMap;
use crate::edge::fleet_sums::FleetSums;
use crate::edge::{ObservedPressure, PeerReport, UpstreamLoad, WorkspaceUsage};
use crate::hash::stable_hash;
use crate::time::Time;

/// Last report of one router.
#[derive(Clone, Debug)]
struct Peer {
    report: PeerReport,
    received_at: Time,
    /// Whether the report is in the sums.
    is_summed: bool,
}

/// Other routers.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    by_router: HashMap<u64, Peer>,
    sums: FleetSums,
    /// When the first report that is in the sums is too old for them.
    expires: Option<Time>,
}

impl Peers {
    /// Age at which the work in a report is no longer counted; several reports were lost by then.
    const REPORT_TTL: Duration = Duration::from_secs(1);

    /// Age at which a silent router no longer holds a part of what the fleet shares.
    const MEMBER_TTL: Duration = Duration::from_secs(30);

    /// Takes a report and returns it, if it was news.
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
        self.expires.get_or_insert(now + Self::REPORT_TTL);
        let router = report.router;
        let peer = Peer { report, received_at: now, is_summed: true };
        if let Some(previous) = self.by_router.insert(router, peer)
            && previous.is_summed
        {
            self.sums.remove(&previous.report);
        }
        self.by_router.get(&router).map(|peer| &peer.report)
    }

    /// Takes reports out of the sums that have become too old.
    pub fn expire(&mut self, now: Time) {
        if self.are_sums_current(now) {
            return;
        }

        let expires = |peer: &Peer| peer.received_at + Self::REPORT_TTL;
        for peer in self.by_router.values_mut() {
            if peer.is_summed && expires(peer) <= now {
                peer.is_summed = false;
                self.sums.remove(&peer.report);
            }
        }
        self.expires = self.by_router.values().filter(|peer| peer.is_summed).map(expires).min();
    }

    fn are_sums_current(&self, now: Time) -> bool {
        self.expires.is_none_or(|expires| now < expires)
    }

    /// Returns the number of routers that were heard of lately, this one not counted.
    pub fn count(&self, now: Time) -> usize {
        let is_member = |peer: &&Peer| now.since(peer.received_at) < Self::MEMBER_TTL;
        self.by_router.values().filter(is_member).count()
    }

    /// Returns how many known routers come before `own` in the order that `key` gives them.
    pub fn rank(&self, now: Time, own: u64, key: u32) -> usize {
        let weight = |router: u64| stable_hash(&[&router.to_le_bytes(), &key.to_le_bytes()]);
        let own = weight(own);
        let is_before = |(router, peer): &(&u64, &Peer)| {
            now.since(peer.received_at) < Self::MEMBER_TTL && weight(**router) > own
        };

        self.by_router.iter().filter(is_before).count()
    }

    /// Returns the router that knows most of the platform's record, if more than `revision`.
    pub fn find_newer(&self, now: Time, revision: u64) -> Option<u64> {
        let known = self.fresh_reports(now).map(|report| (report.revision, report.router));
        known.max().filter(|(other, _)| *other > revision).map(|(_, router)| router)
    }

    /// Returns the work of all other routers at an upstream.
    pub fn load(&self, now: Time, upstream: u32) -> UpstreamLoad {
        if self.are_sums_current(now) {
            return self.sums.load(upstream);
        }

        FleetSums::from_reports(self.fresh_reports(now)).load(upstream)
    }

    /// Returns what other routers tell of workspaces, as of the last time that old reports were
    /// taken out.
    pub fn usage(&self) -> impl Iterator<Item = WorkspaceUsage> {
        self.sums.usage()
    }

    /// Returns the pressure that other routers see on the upstreams of a service.
    pub fn pressures(&self, now: Time, service: u32) -> impl Iterator<Item = f64> {
        self.fresh_reports(now)
            .flat_map(|report| &report.pressures)
            .filter(move |pressure| pressure.service == service)
            .map(|pressure| f64::from(pressure.per_mille) / 1_000.0)
    }

    /// Returns pressure and leeway of the routers that refuse workspaces beyond their share.
    pub fn refusing_pressures(&self, now: Time, service: u32) -> Vec<ObservedPressure> {
        self.fresh_reports(now)
            .flat_map(|report| &report.pressures)
            .filter(|pressure| pressure.service == service && pressure.leeway_percent > 0)
            .map(|pressure| ObservedPressure {
                mean: f64::from(pressure.per_mille) / 1_000.0,
                over_share_factor: f64::from(pressure.leeway_percent) / 100.0,
            })
            .collect()
    }

    /// Forgets all work that was reported, after a time in which this process did not run.
    pub fn clear_reports(&mut self) {
        self.sums = FleetSums::default();
        self.expires = None;
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
