//! Other routers, as their reports tell.

use std::time::Duration;

use crate::collections::HashMap;
use crate::edge::fleet_sums::FleetSums;
use crate::edge::{PeerReport, SeenPressure, UpstreamLoad, WorkspaceUsage};
use crate::hash::stable_hash;
use crate::time::Time;

/// Last report of one router.
#[derive(Clone, Debug)]
struct Peer {
    report: PeerReport,
    heard: Time,
    /// Whether the report is in the sums.
    is_counted: bool,
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
    const REPORT_LIFE: Duration = Duration::from_secs(1);

    /// Age at which a silent router no longer holds a part of what the fleet shares.
    const MEMBER_LIFE: Duration = Duration::from_secs(30);

    /// Takes a report and returns it, if it was news.
    pub fn take(&mut self, now: Time, report: PeerReport) -> Option<&PeerReport> {
        if let Some(peer) = self.by_router.get(&report.router) {
            let before = (peer.report.started_ms, peer.report.sequence);
            if (report.started_ms, report.sequence) <= before
                && now.since(peer.heard) < Self::REPORT_LIFE
            {
                return None;
            }
        }

        self.sums.add(&report);
        self.expires.get_or_insert(now + Self::REPORT_LIFE);
        let router = report.router;
        let peer = Peer { report, heard: now, is_counted: true };
        if let Some(before) = self.by_router.insert(router, peer)
            && before.is_counted
        {
            self.sums.remove(&before.report);
        }
        self.by_router.get(&router).map(|peer| &peer.report)
    }

    /// Takes reports out of the sums that have become too old.
    pub fn expire(&mut self, now: Time) {
        if self.is_current(now) {
            return;
        }

        let expires = |peer: &Peer| peer.heard + Self::REPORT_LIFE;
        for peer in self.by_router.values_mut() {
            if peer.is_counted && expires(peer) <= now {
                peer.is_counted = false;
                self.sums.remove(&peer.report);
            }
        }
        self.expires = self.by_router.values().filter(|peer| peer.is_counted).map(expires).min();
    }

    fn is_current(&self, now: Time) -> bool {
        self.expires.is_none_or(|expires| now < expires)
    }

    /// Returns the number of routers that were heard of lately, this one not counted.
    pub fn count(&self, now: Time) -> usize {
        let is_member = |peer: &&Peer| now.since(peer.heard) < Self::MEMBER_LIFE;
        self.by_router.values().filter(is_member).count()
    }

    /// Returns how many known routers come before `own` in the order that `key` gives them.
    pub fn rank(&self, now: Time, own: u64, key: u32) -> usize {
        let weight = |router: u64| stable_hash(&[&router.to_le_bytes(), &key.to_le_bytes()]);
        let own = weight(own);
        let is_before = |(router, peer): &(&u64, &Peer)| {
            now.since(peer.heard) < Self::MEMBER_LIFE && weight(**router) > own
        };

        self.by_router.iter().filter(is_before).count()
    }

    /// Returns the router that knows most of the platform's record, if more than `revision`.
    pub fn find_newer(&self, now: Time, revision: u64) -> Option<u64> {
        let known = self.fresh(now).map(|report| (report.revision, report.router));
        known.max().filter(|(other, _)| *other > revision).map(|(_, router)| router)
    }

    /// Returns the work of all other routers at an upstream.
    pub fn load(&self, now: Time, upstream: u32) -> UpstreamLoad {
        if self.is_current(now) {
            return self.sums.load(upstream);
        }

        FleetSums::of(self.fresh(now)).load(upstream)
    }

    /// Returns what other routers tell of workspaces, as of the last time that old reports were
    /// taken out.
    pub fn uses(&self) -> impl Iterator<Item = WorkspaceUsage> {
        self.sums.uses()
    }

    /// Returns the pressure that other routers see on the upstreams of a service.
    pub fn pressures(&self, now: Time, service: u32) -> impl Iterator<Item = f64> {
        self.fresh(now)
            .flat_map(|report| &report.pressures)
            .filter(move |pressure| pressure.service == service)
            .map(|pressure| f64::from(pressure.per_mille) / 1_000.0)
    }

    /// Returns pressure and leeway of the routers that refuse workspaces beyond their share.
    pub fn leeways(&self, now: Time, service: u32) -> Vec<SeenPressure> {
        self.fresh(now)
            .flat_map(|report| &report.pressures)
            .filter(|pressure| pressure.service == service && pressure.leeway_percent > 0)
            .map(|pressure| SeenPressure {
                mean: f64::from(pressure.per_mille) / 1_000.0,
                over_share_factor: f64::from(pressure.leeway_percent) / 100.0,
            })
            .collect()
    }

    /// Forgets all work that was reported, after a time in which this process did not run.
    pub fn forget_reports(&mut self) {
        self.sums = FleetSums::default();
        self.expires = None;
        for peer in self.by_router.values_mut() {
            peer.is_counted = false;
            peer.report.upstreams.clear();
            peer.report.workspaces.clear();
            peer.report.pressures.clear();
        }
    }

    fn fresh(&self, now: Time) -> impl Iterator<Item = &PeerReport> {
        self.by_router
            .values()
            .filter(move |peer| now.since(peer.heard) < Self::REPORT_LIFE)
            .map(|peer| &peer.report)
    }
}
