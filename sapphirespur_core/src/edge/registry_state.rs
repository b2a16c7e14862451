//! Local copy of the platform's registry.

use std::sync::Arc;
use std::time::Duration;

use crate::collections::HashSet;
use crate::edge::{
    CallInfo, InFlightRequest, PrefilledSegments, RegistryVersion, RolloutSnapshot, RouteTable,
    ServiceRoutes, ServiceSpec, Snapshot, TableIndex, Upstream, UpstreamEntry, UpstreamState,
    Upstreams,
};
use crate::name::Name;
use crate::time::Time;

/// Configuration, upstreams and data centres that are out, as of a registry version.
#[derive(Debug, Default)]
pub struct RegistryState {
    table: Option<Arc<RouteTable>>,
    index: TableIndex,
    upstreams: Upstreams,
    version: RegistryVersion,
    /// End of the time after a restore in which upstreams and operators write again what the
    /// restored copy lacks.
    restored_until: Time,
    /// Data centres that are out although the restored copy does not say so.
    unconfirmed_out: HashSet<Name>,
}

impl RegistryState {
    /// Prefill speed assumed when no capacity is configured, in tokens per millisecond.
    const DEFAULT_PREFILL_TOKENS_PER_MS: f64 = 20.0;

    /// Time after a restore in which a data centre stays out whose entry the restored copy lacks.
    const RESTORE_GRACE: Duration = Duration::from_secs(3);

    /// Returns the configuration in force; none before the first one.
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// Returns the routes of a service; none when no route leads to it.
    pub fn routes(&self, service: &Name) -> Option<&ServiceRoutes> {
        self.index.routes(service)
    }

    /// Returns the services with streams that can be taken up.
    pub fn resumable_services(&self) -> impl Iterator<Item = &Name> {
        self.index.resumable_services()
    }

    /// Returns whether a service is configured and its upstreams run no model engine.
    pub fn is_plain(&self, service: &Name) -> bool {
        self.service_spec(service).is_some_and(|spec| spec.engine.is_none())
    }

    /// Returns the registered upstreams and the data centres that are out.
    pub fn upstreams(&self) -> &Upstreams {
        &self.upstreams
    }

    /// Returns the upstreams for modification.
    pub fn upstreams_mut(&mut self) -> &mut Upstreams {
        &mut self.upstreams
    }

    /// Applies a configuration if it is newer than the one in force. Returns whether it was.
    pub fn apply_table(&mut self, table: RouteTable) -> bool {
        if self.table.as_ref().is_some_and(|current| current.version >= table.version) {
            return false;
        }

        self.index = TableIndex::new(&table);
        self.table = Some(Arc::new(table));
        true
    }

    /// Applies the registry entry of an upstream. Returns whether it belongs to a new process
    /// instance.
    pub fn apply_upstream(&mut self, now: Time, entry: UpstreamEntry) -> bool {
        let spec = self.service_spec(&entry.service).copied();
        let is_from_copy = now < self.restored_until;

        self.upstreams.apply_entry(now, entry, spec.as_ref(), is_from_copy)
    }

    /// Schedules the removal of an upstream at `at`; it is cancelled if the upstream's entry is
    /// applied again before then.
    pub fn remove_upstream_at(&mut self, id: &str, at: Time) {
        self.upstreams.remove_at(id, at);
    }

    /// Schedules the removal at `at` of all upstreams that are not in `listed`.
    pub fn remove_unlisted_at(&mut self, listed: &HashSet<Name>, at: Time) {
        self.upstreams.remove_unlisted_at(listed, at);
    }

    /// Replaces the set of data centres that are out. Shortly after a restore, data centres that
    /// `out` lacks stay out until the end of the grace period.
    pub fn set_data_centres_out(&mut self, now: Time, out: &HashSet<Name>) {
        let returned: Vec<Name> =
            self.upstreams.data_centres_out().difference(out).cloned().collect();
        if now < self.restored_until {
            self.unconfirmed_out.extend(returned);
        } else {
            for data_centre in returned {
                self.mark_data_centre_back(now, data_centre.as_str());
            }
        }
        for data_centre in out {
            self.mark_data_centre_out(data_centre.clone());
        }
    }

    /// Records that the registry was restored from an older copy: what the copy lacks is written
    /// again soon, so nothing is taken from its absence until then.
    pub fn on_restored(&mut self, now: Time) {
        self.restored_until = now + Self::RESTORE_GRACE;
    }

    /// Removes upstreams that are gone, and ends the grace period after a restore.
    pub fn tick(&mut self, now: Time) {
        self.upstreams.remove_gone(now);
        if now < self.restored_until {
            return;
        }
        for data_centre in std::mem::take(&mut self.unconfirmed_out) {
            self.mark_data_centre_back(now, data_centre.as_str());
        }
    }

    /// Marks a data centre as out; its upstreams get no requests.
    pub fn mark_data_centre_out(&mut self, data_centre: Name) {
        self.unconfirmed_out.remove(&data_centre);
        self.upstreams.mark_data_centre_out(data_centre);
    }

    /// Marks a data centre as back; its upstreams count as cold for the cold start time of their
    /// service.
    pub fn mark_data_centre_back(&mut self, now: Time, data_centre: &str) {
        self.unconfirmed_out.remove(data_centre);
        let table = self.table.clone();
        let cold = |service: &Name| {
            let spec = table.as_ref().and_then(|table| table.services.get(service));
            spec.filter(|spec| spec.cold_per_s.is_some())
                .map_or(Duration::ZERO, |spec| spec.cold_start)
        };

        self.upstreams.mark_data_centre_back(now, data_centre, cold);
    }

    /// Returns whether a request that was placed before may still be sent: its upstream is the same
    /// instance and accepts requests.
    pub fn may_send(&self, now: Time, request: &InFlightRequest) -> bool {
        self.upstreams.get(request.upstream.as_str()).is_some_and(|upstream| {
            upstream.entry.started_ms == request.started_ms
                && self.upstreams.accepts_requests(now, upstream)
        })
    }

    /// Returns the registry version that has been applied.
    pub fn version(&self) -> RegistryVersion {
        self.version
    }

    /// Sets the registry version that has been applied.
    pub fn set_version(&mut self, version: RegistryVersion) {
        self.version = version;
    }

    /// Returns whether a version belongs to a later era than the one that has been applied.
    pub fn is_restored_at(&self, version: RegistryVersion) -> bool {
        self.version != RegistryVersion::default() && version.era > self.version.era
    }

    /// Returns a copy of the state for other routers, without base versions and roll-outs; none without a
    /// configuration.
    pub fn snapshot(&self, now: Time) -> Option<Snapshot> {
        let table = self.table.as_ref()?.as_ref().clone();
        let upstreams = self
            .upstreams
            .iter()
            .filter(|upstream| upstream.gone_at.is_none())
            .map(|upstream| UpstreamEntry {
                cold: upstream.cold_until.since(now),
                state: if upstream.is_leaving {
                    UpstreamState::Draining
                } else {
                    upstream.entry.state
                },
                ..upstream.entry.clone()
            })
            .collect();

        let out = self.upstreams.data_centres_out().iter().cloned().collect();
        let departed = self.upstreams.departed().cloned().collect();
        Some(Snapshot {
            version: self.version,
            table,
            upstreams,
            departed,
            out,
            bases: Vec::new(),
            rollouts: RolloutSnapshot::default(),
        })
    }

    /// Applies the state of another router if its version is newer. Returns whether it was.
    pub fn apply_snapshot(&mut self, now: Time, snapshot: Snapshot) -> bool {
        if snapshot.version <= self.version {
            return false;
        }
        if self.is_restored_at(snapshot.version) {
            self.on_restored(now);
        }

        self.apply_table(snapshot.table);
        let listed = snapshot.upstreams.iter().map(|entry| entry.id.clone()).collect();
        for entry in snapshot.upstreams {
            self.apply_upstream(now, entry);
        }
        for last in snapshot.departed {
            self.upstreams.mark_departed(now, last);
        }
        self.remove_unlisted_at(&listed, now.max(self.restored_until));
        self.set_data_centres_out(now, &snapshot.out.into_iter().collect());
        self.version = snapshot.version;
        true
    }

    /// Takes a newer configuration from another router, with what it knows of upstreams that leave or
    /// have left: a registry that was restored may have an older copy of both. Returns whether the
    /// configuration was newer.
    pub fn merge_snapshot(&mut self, now: Time, snapshot: Snapshot) -> bool {
        let is_newer = self.apply_table(snapshot.table);
        for entry in snapshot.upstreams {
            if entry.state == UpstreamState::Draining {
                self.apply_upstream(now, entry);
            }
        }
        for last in snapshot.departed {
            self.upstreams.mark_departed(now, last);
        }
        is_newer
    }

    /// Records shared prompt segments that another router has sent to an upstream.
    pub fn record_prefill(&mut self, now: Time, prefilled: &PrefilledSegments) {
        if let Some((upstream, capacity)) = self.upstream_with_capacity_mut(prefilled.upstream) {
            upstream.cache.insert(now, &prefilled.parts, capacity);
        }
    }

    /// Records unshared prompt tokens that another router has sent to an upstream; they evict
    /// shared segments from its cache.
    pub fn record_unshared_prefill(&mut self, now: Time, upstream: u32, tokens: u32) {
        if let Some((upstream, capacity)) = self.upstream_with_capacity_mut(upstream) {
            upstream.cache.insert_unshared(now, tokens, capacity);
        }
    }

    /// Returns an upstream by its key, with the capacity of its cache in tokens.
    fn upstream_with_capacity_mut(&mut self, key: u32) -> Option<(&mut Upstream, u64)> {
        let upstream = self.upstreams.get_by_key_mut(key)?;
        let services = self.table.as_ref().map(|table| &table.services);
        let spec = services.and_then(|services| services.get(&upstream.entry.service));
        let capacity = spec.and_then(|spec| spec.engine).map_or(0, |engine| engine.cache_tokens);

        Some((upstream, capacity))
    }

    /// Returns the specification of a service; none when it is not configured.
    pub fn service_spec(&self, service: &Name) -> Option<&ServiceSpec> {
        self.table.as_ref()?.services.get(service)
    }

    /// Returns the expected prefill speed of an upstream, in tokens per millisecond.
    ///
    /// The configured capacity is the tokens that all upstreams prefill and generate per second;
    /// prefill takes about half of their time.
    pub fn expected_prefill_speed(&self, service: &Name) -> f64 {
        let capacity = self.table.as_ref().and_then(|table| table.tokens_per_s);
        let count = self.upstreams.count(service);
        match capacity {
            Some(capacity) if count > 0 => 2.0 * capacity as f64 / count as f64 / 1_000.0,
            _ => Self::DEFAULT_PREFILL_TOKENS_PER_MS,
        }
    }

    /// Returns the key of the upstream that owns the last shared segment of a prompt, by rendezvous
    /// hashing.
    ///
    /// All routers compute the same owner without communication, so requests with the same segment
    /// prefer the same upstream, which then has the segment cached.
    pub fn prefix_owner(&mut self, call: &CallInfo) -> Option<u32> {
        let segment = call.prompt.as_ref()?.shared_segments().last()?;
        self.upstreams.segment_owner(&call.service, segment.chain)
    }
}
