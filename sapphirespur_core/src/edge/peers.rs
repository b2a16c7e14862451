//! Other routers of the fleet and their reports.

use std::time::Duration;

use crate::edge::exchange::Members;
use crate::edge::report_store::{ReportSource, ReportStore};
use crate::edge::{
    PeerReport, RegistryVersion, RolloutEvidence, ServiceDemand, ServicePressure, UpstreamLoad,
    WorkspaceUsage,
};
use crate::time::Time;

/// Other routers, and the reports on which decisions are based.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    members: Members,
    /// Reports for the decisions of a router that does not relay.
    received: ReportStore,
    /// Reports that a relay or its standby adds up.
    relayed: ReportStore,
    /// Whether decisions are based on the reports that are relayed.
    uses_relayed: bool,
    /// Largest recent number of other routers, and when there were as many.
    most: (usize, Time),
}

impl Peers {
    /// Time for which a router that no longer hears others still counts them where it must not take
    /// their part; regions may lose each other for minutes.
    const COUNT_MEMORY: Duration = Duration::from_secs(600);

    /// Stores the report of one router and returns it, if it is newer than the previous one. An
    /// older one is accepted as well once the previous one has expired.
    pub fn insert(&mut self, now: Time, report: PeerReport) -> Option<&PeerReport> {
        self.members.on_heard(now, report.router, None);
        self.received.insert(now, ReportSource::Router(report.router), report)
    }

    /// Stores a report for this router's decisions and returns it, if it is newer than the previous
    /// one of the same sender.
    pub(super) fn receive(
        &mut self,
        now: Time,
        source: ReportSource,
        report: PeerReport,
    ) -> Option<&PeerReport> {
        self.received.insert(now, source, report)
    }

    /// Stores a report to be added up and returns it, if it is newer than the previous one of the
    /// same sender.
    pub(super) fn relay(
        &mut self,
        now: Time,
        source: ReportSource,
        report: PeerReport,
    ) -> Option<&PeerReport> {
        self.relayed.insert(now, source, report)
    }

    /// Returns the reports that this router adds up.
    pub(super) fn relayed(&self) -> &ReportStore {
        &self.relayed
    }

    /// Returns the reports that this router received, for modification.
    pub(super) fn received_mut(&mut self) -> &mut ReportStore {
        &mut self.received
    }

    /// Bases decisions on the reports that this router relays once they cover the fleet, if it is
    /// the relay, and otherwise on those that it receives.
    pub(super) fn choose_reports(&mut self, now: Time, is_relay: bool) {
        self.uses_relayed = is_relay
            && (self.uses_relayed || self.relayed.covered(now) >= self.received.covered(now));
    }

    /// Stops adding up reports.
    pub(super) fn clear_relayed(&mut self) {
        self.relayed = ReportStore::default();
        self.uses_relayed = false;
    }

    /// Subtracts expired reports from the sums.
    pub fn expire(&mut self, now: Time) {
        self.received.expire(now);
        self.relayed.expire(now);
    }

    /// Returns the other routers.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the other routers for modification.
    pub fn members_mut(&mut self) -> &mut Members {
        &mut self.members
    }

    /// Returns the number of other routers: those that were heard recently, or more if the reports
    /// cover more.
    pub fn count(&self, now: Time) -> usize {
        self.members.count(now).max(self.current().covered(now))
    }

    /// Returns the number of routers among which fleet-wide limits are divided: this one, its peers, and
    /// one that may not have been discovered yet.
    pub(super) fn assumed_routers(&self, now: Time) -> usize {
        Self::assumed_fleet(self.count(now))
    }

    /// Returns the number of routers where `others` are known: those, this one, and one that may not
    /// have been discovered yet.
    pub(super) fn assumed_fleet(others: usize) -> usize {
        others + 2
    }

    /// Returns whether another router was heard lately.
    pub(super) fn has_known_any(&self) -> bool {
        self.most.0 > 0 || !self.members.is_empty()
    }

    /// Returns the largest recent number of other routers, those that may be cut off included.
    pub(super) fn most_known(&self, now: Time) -> usize {
        self.count(now).max(self.most.0)
    }

    /// Records how many other routers there are now.
    pub(super) fn remember_count(&mut self, now: Time) {
        let count = self.count(now);
        if count >= self.most.0 || now.since(self.most.1) > Self::COUNT_MEMORY {
            self.most = (count, now);
        }
    }

    /// Returns whether the registry answers the relay whose sums this router uses; none without one.
    pub(super) fn is_relay_fresh(&self, now: Time) -> Option<bool> {
        self.received.is_relay_fresh(now)
    }

    /// Returns the router with the newest registry version, if it is newer than `version`.
    pub fn find_newer(&self, now: Time, version: RegistryVersion) -> Option<u64> {
        self.current().find_newer(now, version)
    }

    /// Returns the newest registry version of another router.
    pub fn newest_version(&self, now: Time) -> Option<RegistryVersion> {
        self.current().newest_version(now)
    }

    /// Returns the newest registry version that the other routers report after `since`; none if reports
    /// of some that were heard lately are missing.
    pub fn newest_version_since(&self, now: Time, since: Time) -> Option<RegistryVersion> {
        self.current().newest_version_since(since, self.members.count_live(now))
    }

    /// Returns the router with the newest configuration, if it is newer than `version`.
    pub fn find_newer_config(&self, now: Time, version: u64) -> Option<u64> {
        self.current().find_newer_config(now, version)
    }

    /// Returns the total work of all other routers at an upstream.
    pub fn load(&self, now: Time, upstream: u32) -> UpstreamLoad {
        self.current().load(now, upstream)
    }

    /// Returns the usage of workspaces at the other routers, as of the last call of
    /// [`expire`](Self::expire).
    pub fn usage(&self) -> impl Iterator<Item = WorkspaceUsage> {
        self.current().usage()
    }

    /// Returns the sums of the pressures that the other routers have measured for a service.
    pub fn pressure(&self, now: Time, service: u32) -> ServicePressure {
        self.current().pressure(now, service)
    }

    /// Returns the requests and retries for a service at the other routers.
    pub fn demand(&self, now: Time, service: u32) -> ServiceDemand {
        self.current().demand(now, service)
    }

    /// Returns the responses by version at the other routers, as of the last call of
    /// [`expire`](Self::expire).
    pub fn rollouts(&self) -> impl Iterator<Item = RolloutEvidence> {
        self.current().rollouts()
    }

    /// Clears all reported work, because it is outdated after this process was paused. The routers
    /// themselves still count as peers.
    pub fn clear_reports(&mut self) {
        self.received.clear();
        self.relayed.clear();
    }

    fn current(&self) -> &ReportStore {
        if self.uses_relayed { &self.relayed } else { &self.received }
    }
}
