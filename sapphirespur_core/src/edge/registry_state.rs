//! What one router knows of the platform's record.

use std::sync::Arc;
use std::time::Duration;

use crate::collections::HashSet;
use crate::edge::{
    CallInfo, Load, PrefilledSegments, RouteTable, ServiceRoutes, ServiceSpec, Snapshot,
    TableIndex, Upstream, UpstreamEntry, Upstreams,
};
use crate::hash::stable_hash;
use crate::name::Name;
use crate::time::Time;

/// Configuration, upstreams and data centres that are out, up to a revision.
#[derive(Debug, Default)]
pub struct RegistryState {
    table: Option<Arc<RouteTable>>,
    index: TableIndex,
    upstreams: Upstreams,
    revision: u64,
}

impl RegistryState {
    /// First guess of the time that an answer takes, in milliseconds.
    const INITIAL_SERVICE_MS: f64 = 1_000.0;

    /// Reading speed when the configuration does not tell what upstreams give, in tokens.
    const DEFAULT_TOKENS_PER_MS: f64 = 20.0;

    /// Returns the configuration in force.
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// Returns the routes of a service.
    pub fn routes(&self, service: &Name) -> Option<&ServiceRoutes> {
        self.index.routes(service)
    }

    /// Returns the upstreams.
    pub fn upstreams(&self) -> &Upstreams {
        &self.upstreams
    }

    /// Returns the upstreams, to change them.
    pub fn upstreams_mut(&mut self) -> &mut Upstreams {
        &mut self.upstreams
    }

    /// Takes a configuration, and tells whether it is newer than the one in force.
    pub fn apply_table(&mut self, table: RouteTable) -> bool {
        if self.table.as_ref().is_some_and(|known| known.version >= table.version) {
            return false;
        }

        self.index = TableIndex::new(&table);
        self.table = Some(Arc::new(table));
        true
    }

    /// Takes the entry of an upstream, and tells whether this start of it is new.
    pub fn apply_upstream(&mut self, now: Time, entry: UpstreamEntry) -> bool {
        let spec = self.service_spec(&entry.service).copied();
        let load = Load::new(Self::INITIAL_SERVICE_MS);

        self.upstreams.apply_entry(now, entry, spec.as_ref(), load)
    }

    /// Takes an upstream for gone from `at` on, unless its entry comes back before.
    pub fn remove_upstream_at(&mut self, id: &str, at: Time) {
        self.upstreams.remove_at(id, at);
    }

    /// Takes all upstreams for gone from `at` on that `listed` does not name.
    pub fn remove_unlisted_at(&mut self, listed: &HashSet<Name>, at: Time) {
        self.upstreams.remove_unlisted_at(listed, at);
    }

    /// Takes the set of data centres that are out.
    pub fn set_data_centres_out(&mut self, now: Time, out: &HashSet<Name>) {
        let back: Vec<Name> = self.upstreams.data_centres_out().difference(out).cloned().collect();
        for data_centre in back {
            self.mark_data_centre_back(now, data_centre.as_str());
        }
        for data_centre in out {
            self.upstreams.mark_data_centre_out(data_centre.clone());
        }
    }

    /// Takes a data centre out.
    pub fn mark_data_centre_out(&mut self, data_centre: Name) {
        self.upstreams.mark_data_centre_out(data_centre);
    }

    /// Takes a data centre back, whose upstreams may be cold.
    pub fn mark_data_centre_back(&mut self, now: Time, data_centre: &str) {
        let table = self.table.clone();
        let cold = |service: &Name| {
            let spec = table.as_ref().and_then(|table| table.services.get(service));
            spec.filter(|spec| spec.cold_per_s.is_some())
                .map_or(Duration::ZERO, |spec| spec.cold_start)
        };

        self.upstreams.mark_data_centre_back(now, data_centre, cold);
    }

    /// Returns the revision of the platform's record up to which it is known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Notes the revision of the platform's record up to which it is known.
    pub fn set_revision(&mut self, revision: u64) {
        self.revision = revision;
    }

    /// Returns what is known of the platform's record, if there is a configuration.
    pub fn snapshot(&self, now: Time) -> Option<Snapshot> {
        let table = self.table.as_ref()?.as_ref().clone();
        let upstreams = self
            .upstreams
            .iter()
            .filter(|upstream| upstream.gone_at.is_none())
            .map(|upstream| UpstreamEntry {
                cold: upstream.cold_until.since(now),
                ..upstream.entry.clone()
            })
            .collect();

        let out = self.upstreams.data_centres_out().iter().cloned().collect();
        Some(Snapshot { revision: self.revision, table, upstreams, out })
    }

    /// Takes what another router knows of the platform's record, if it is more.
    pub fn apply_snapshot(&mut self, now: Time, snapshot: Snapshot) -> bool {
        if snapshot.revision <= self.revision {
            return false;
        }

        self.apply_table(snapshot.table);
        let listed = snapshot.upstreams.iter().map(|entry| entry.id.clone()).collect();
        for entry in snapshot.upstreams {
            self.apply_upstream(now, entry);
        }
        self.remove_unlisted_at(&listed, now);
        self.set_data_centres_out(now, &snapshot.out.into_iter().collect());
        self.revision = snapshot.revision;
        true
    }

    /// Notes parts of prompts that another router has sent to an upstream.
    pub fn record_prefill(&mut self, now: Time, prefilled: &PrefilledSegments) {
        if let Some((upstream, capacity)) = self.cache_mut(prefilled.upstream) {
            upstream.cache.insert(now, &prefilled.parts, capacity);
        }
    }

    /// Notes parts of prompts that no other request shares, which another router has sent to an
    /// upstream: they take memory from the parts that are kept there.
    pub fn record_unshared_prefill(&mut self, now: Time, upstream: u32, tokens: u32) {
        if let Some((upstream, capacity)) = self.cache_mut(upstream) {
            upstream.cache.insert_unshared(now, tokens, capacity);
        }
    }

    /// Returns an upstream by its key, and the tokens that it can keep.
    fn cache_mut(&mut self, key: u32) -> Option<(&mut Upstream, u64)> {
        let upstream = self.upstreams.get_by_key_mut(key)?;
        let services = self.table.as_ref().map(|table| &table.services);
        let spec = services.and_then(|services| services.get(&upstream.entry.service));
        let capacity = spec.and_then(|spec| spec.engine).map_or(0, |engine| engine.cache_tokens);

        Some((upstream, capacity))
    }

    /// Returns a service of the configuration.
    pub fn service_spec(&self, service: &Name) -> Option<&ServiceSpec> {
        self.table.as_ref()?.services.get(service)
    }

    /// Returns the reading speed to expect of an upstream, in tokens in a millisecond.
    ///
    /// All upstreams together read and generate what the configuration says they give, and
    /// reading takes about half of their time.
    pub fn expected_prefill_speed(&self, service: &Name) -> f64 {
        let capacity = self.table.as_ref().and_then(|table| table.tokens_per_s);
        let count = self.upstreams.iter().filter(|u| u.entry.service == *service).count();
        match capacity {
            Some(capacity) if count > 0 => 2.0 * capacity as f64 / count as f64 / 1_000.0,
            _ => Self::DEFAULT_TOKENS_PER_MS,
        }
    }

    /// Returns the mean reading speed of the upstreams whose speed is known, or the expected one.
    pub fn mean_prefill_speed(&self, service: &Name) -> f64 {
        let known: Vec<f64> = self
            .upstreams
            .iter()
            .filter(|upstream| upstream.entry.service == *service)
            .filter_map(|upstream| upstream.load.prefill_tokens_per_ms)
            .collect();
        if known.is_empty() {
            return self.expected_prefill_speed(service);
        }

        known.iter().sum::<f64>() / known.len() as f64
    }

    /// Returns the upstream to which the last shared part of a prompt belongs.
    ///
    /// All routers rank the upstreams of a part alike, so they meet at one that keeps it.
    pub fn prefix_owner(&self, call: &CallInfo) -> Option<u32> {
        let segment = call.prompt.as_ref()?.shared_segments().last()?;
        let weight = |key: &u32| stable_hash(&[&segment.chain.to_le_bytes(), &key.to_le_bytes()]);

        self.upstreams
            .iter()
            .filter(|upstream| upstream.entry.service == call.service)
            .map(|upstream| upstream.key)
            .max_by_key(weight)
    }
}
