//! Exchange of reports with the other routers.

use std::net::SocketAddr;

use crate::edge::{
    BootstrapEntry, BootstrapWrite, Contact, Exchange, FleetNews, OutgoingMessage, PeerMessage,
    PeerReport, Peers, PrefilledSegments, RetryBudget, Router, ServiceDemand, Shares, Upstream,
};
use crate::name::Name;
use crate::time::Time;

impl Router {
    /// Sets whether the registry answered recently, which reports tell the other routers.
    pub fn set_registry_fresh(&mut self, is_fresh: bool) {
        self.is_registry_fresh = is_fresh;
    }

    /// Returns the reports of the other routers.
    pub fn peers(&self) -> &Peers {
        self.exchange.peers()
    }

    /// Returns the exchange of reports.
    pub fn exchange(&self) -> &Exchange {
        &self.exchange
    }

    /// Sets the address of this router for the exchange of reports, and the first routers to
    /// contact.
    pub fn start_exchange(&mut self, address: SocketAddr, seeds: &[SocketAddr]) {
        let data_centre = Shares::name_hash(&self.settings.data_centre);
        self.exchange.start(Contact { router: self.name_hash(), address, data_centre }, seeds);
    }

    /// Replaces the first routers to contact.
    pub fn update_seeds(&mut self, seeds: &[SocketAddr]) {
        self.exchange.set_seeds(seeds);
    }

    /// Sets the entry of the registry that names a router for those whose seeds do not answer.
    pub fn set_bootstrap_entry(&mut self, now: Time, entry: BootstrapEntry) {
        self.exchange.set_bootstrap_entry(now, entry);
    }

    /// Returns the entry to write now, by which this router names itself in the registry; records the write.
    pub fn take_bootstrap_write(&mut self, now: Time) -> Option<BootstrapWrite> {
        self.exchange.take_bootstrap_write(now)
    }

    /// Returns the messages to the other routers that are due.
    pub fn exchange_messages(&mut self, now: Time) -> Vec<OutgoingMessage> {
        let report = self.report(now);
        let limits = self.registry.upstreams_mut().limit_reports(now);
        let is_plain = |service: &Name| self.registry.is_plain(service);
        let loads = self.registry.upstreams().load_reports(now, self.exchange.role(), is_plain);
        let mut news = FleetNews { limits, loads, ..FleetNews::default() };
        self.quarantine.write_news(now, &mut news);
        self.exchange.tick(now, report, news)
    }

    /// Applies a message of another router and returns the answer, if there is one.
    pub fn on_peer_message(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: PeerMessage,
    ) -> Option<OutgoingMessage> {
        self.quarantine.merge(now, &message.news);
        self.registry.upstreams_mut().merge_limits(now, &message.news.limits);
        self.registry.upstreams_mut().merge_loads(now, &message.news.loads);
        let (report, answer) = self.exchange.on_message(now, from, message);
        if let Some(report) = report {
            self.record_prefills(now, &report);
        }
        answer
    }

    /// Applies the report of another router. Returns whether it was newer than the previous one.
    pub fn apply_report(&mut self, now: Time, report: PeerReport) -> bool {
        let Some(report) = self.exchange.peers_mut().insert(now, report).cloned() else {
            return false;
        };
        self.record_prefills(now, &report);
        true
    }

    /// Records the prompt tokens that other routers have sent to upstreams.
    fn record_prefills(&mut self, now: Time, report: &PeerReport) {
        for load in report.upstreams.iter().filter(|load| load.unshared_tokens > 0) {
            self.registry.record_unshared_prefill(now, load.upstream, load.unshared_tokens);
        }
        for prefilled in &report.reads {
            self.registry.record_prefill(now, prefilled);
        }
    }

    /// Creates the next report to the other routers and resets what has been reported.
    pub fn report(&mut self, now: Time) -> PeerReport {
        self.sequence += 1;
        let uses_work = self.settings.uses_work_estimates;
        let load = |upstream: &mut Upstream| upstream.report(uses_work);
        let upstreams = self.registry.upstreams_mut().iter_mut().filter_map(load).collect();
        let reads = self.prefilled.drain();
        let reads = reads.map(|(upstream, parts)| PrefilledSegments { upstream, parts }).collect();

        PeerReport {
            router: self.name_hash(),
            started_ms: self.settings.started_ms,
            sequence: self.sequence,
            routers: 1,
            version: self.registry.version(),
            version_router: self.name_hash(),
            is_registry_fresh: self.is_registry_fresh,
            config_version: self.registry.table().map_or(0, |table| table.version),
            config_router: self.name_hash(),
            upstreams,
            workspaces: self.shares.usage(now),
            pressures: self.pressures.reports(now),
            reads,
            demands: self.demands(now),
            rollouts: self.rollouts.evidence(),
        }
    }

    /// Records the reported demand of the other routers, and returns that of this one by service.
    fn demands(&mut self, now: Time) -> Vec<ServiceDemand> {
        let limits = self.settings.retries;
        let peers = self.exchange.peers();
        let demand = |(name, budget): (&Name, &mut RetryBudget)| {
            let service = Shares::name_hash(name);
            budget.observe(now, limits, peers.demand(now, service));
            let requests = budget.requests(now, limits) as u32;
            ServiceDemand { service, requests, retries: budget.retries(now, limits) as u32 }
        };
        let is_used = |demand: &ServiceDemand| demand.requests > 0 || demand.retries > 0;
        self.retry_budgets.iter_mut().map(demand).filter(is_used).collect()
    }

    /// Returns the hash of the router's name, which identifies it in reports.
    pub(super) fn name_hash(&self) -> u64 {
        self.name_hash
    }
}
