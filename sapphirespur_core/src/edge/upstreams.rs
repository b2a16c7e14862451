//! Set of all upstreams of a router.

use std::time::Duration;

use crate::collections::{HashMap, HashSet};
use crate::edge::departed::Departed;
use crate::edge::exchange::take_in_turn;
use crate::edge::unproven_starts::UnprovenStarts;
use crate::edge::upstream_index::UpstreamIndex;
use crate::edge::{
    CallInfo, Condition, FleetNews, LimitReport, Load, ServiceLoad, ServiceSpec, Upstream,
    UpstreamEntry, UpstreamState,
};
use crate::name::Name;
use crate::time::Time;

/// Upstreams with indexes, and the data centres that are out.
#[derive(Clone, Debug, Default)]
pub struct Upstreams {
    all: Vec<Upstream>,
    index: UpstreamIndex,
    data_centres_out: HashSet<Name>,
    departed: Departed,
    unproven: UnprovenStarts,
    /// Number of reports of limits so far.
    limit_reports: u32,
    /// What was learned of services whose upstreams report their load.
    pub(super) service_loads: HashMap<Name, ServiceLoad>,
}

impl Upstreams {
    /// Largest number of changed limits in a report.
    const NEW_LIMITS_PER_REPORT: usize = 32;

    /// Limits in a report beyond the changed ones, in turn, for routers that have just started.
    const OTHER_LIMITS_PER_REPORT: usize = 4;

    /// Applies a registry entry. A new process instance starts without the load, cache and health
    /// of the previous one, and replaces any other upstream at the same address. An entry that is
    /// older than the known one, as from a restored registry, changes nothing; one whose start is earlier
    /// than that of the known instance changes something only when it stays or others follow it, as the
    /// clock of its VM may have been set back. One without a start changes nothing of an instance that has one.
    ///
    /// Returns whether the entry belongs to a new process instance.
    pub fn apply_entry(
        &mut self,
        now: Time,
        entry: UpstreamEntry,
        spec: Option<&ServiceSpec>,
        is_from_copy: bool,
    ) -> bool {
        let cold_until = now + cold_time(&entry, spec);
        if let Some(existing) = self.get_mut(entry.id.as_str())
            && existing.entry.is_same_instance(&entry)
        {
            // A copy of the registry may hold the last entry of an instance that has left since.
            let has_left = existing.gone_at.is_some_and(|at| at <= now);
            let is_old_copy = is_from_copy && has_left && !existing.entry.precedes(&entry);
            if entry.precedes(&existing.entry) || is_old_copy {
                return false;
            }
            existing.gone_at = None;
            existing.cold_until = existing.cold_until.max(cold_until);
            let previous = std::mem::replace(&mut existing.entry, entry);
            if previous.service != existing.entry.service {
                self.index = UpstreamIndex::new(&self.all);
            }
            self.unproven.forget(previous.id.as_str());
            return false;
        }
        if self.departed.contains(&entry, is_from_copy) || self.lacks_start(&entry) {
            return false;
        }

        // A heartbeat of an instance that was replaced may have been written late.
        let known = self.get(entry.id.as_str()).map(|known| &known.entry);
        let has_left = self.departed.has_start(&entry);
        if known.is_some() && has_left {
            return false;
        }
        let is_earlier = known.is_some_and(|known| known.started_after(&entry))
            || self.departed.is_of_earlier_start(&entry);
        if is_earlier
            && (is_from_copy || has_left || !self.unproven.record(now, &entry, cold_until))
        {
            return false;
        }
        self.replace_with(now, entry, cold_until);
        true
    }

    /// Returns whether an entry says nothing of its start although an instance of its upstream has: an upstream
    /// always says so or never, so the entry is of another writer.
    fn lacks_start(&self, entry: &UpstreamEntry) -> bool {
        let known = self.get(entry.id.as_str()).and_then(|known| known.entry.started_ms);
        entry.started_ms.is_none() && (known.is_some() || self.departed.has_any_start(&entry.id))
    }

    /// Adds a new instance, in place of those with its identity or address.
    fn replace_with(&mut self, now: Time, entry: UpstreamEntry, cold_until: Time) {
        self.unproven.forget(entry.id.as_str());
        self.departed.forget(&entry.id);
        self.remove_replaced(now, &entry);
        let upstream = Upstream::new(now, entry, Load::new(), cold_until);
        self.index.insert(self.all.len(), &upstream);
        self.all.push(upstream);
    }

    /// Removes the upstreams with the identity or the address of `entry`.
    fn remove_replaced(&mut self, now: Time, entry: &UpstreamEntry) {
        self.remove_if(now, |other| {
            other.entry.id == entry.id || other.entry.address == entry.address
        });
    }

    /// Removes the upstreams for which `is_removed` returns `true`, and records that they departed.
    fn remove_if(&mut self, now: Time, is_removed: impl Fn(&Upstream) -> bool) {
        let count = self.all.len();
        let departed = &mut self.departed;
        self.all.retain(|upstream| {
            let is_removed = is_removed(upstream);
            if is_removed {
                departed.record(now, upstream.entry.clone(), upstream.is_leaving);
            }
            !is_removed
        });
        if self.all.len() != count {
            self.index = UpstreamIndex::new(&self.all);
        }
    }

    /// Returns the last entries of the instances that have left recently.
    pub fn departed(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.departed.entries()
    }

    /// Marks the instance of `last` as gone, unless a newer entry of it is known.
    pub fn mark_departed(&mut self, now: Time, last: UpstreamEntry) {
        if let Some(existing) = self.get_mut(last.id.as_str()) {
            if existing.entry.is_same_instance(&last) && !last.precedes(&existing.entry) {
                existing.set_gone_at(now);
            }
            return;
        }
        self.departed.record(now, last, false);
    }

    /// Marks an upstream as gone from `at`, because its entry is missing.
    pub fn remove_at(&mut self, id: &str, at: Time) {
        self.unproven.forget(id);
        if let Some(upstream) = self.get_mut(id) {
            upstream.set_gone_at(at);
        }
    }

    /// Marks all upstreams that `listed` does not contain as gone from `at`.
    pub fn remove_unlisted_at(&mut self, listed: &HashSet<Name>, at: Time) {
        self.unproven.retain_listed(listed);
        for upstream in &mut self.all {
            if !listed.contains(&upstream.entry.id) {
                upstream.set_gone_at(at);
            }
        }
    }

    /// Removes upstreams that are gone and have no requests left, and adds those whose entries have proven to be of
    /// new instances.
    pub fn remove_gone(&mut self, now: Time) {
        for (entry, cold_until) in self.unproven.take_proven(now) {
            self.replace_with(now, entry, cold_until);
        }
        self.remove_if(now, |upstream| {
            upstream.gone_at.is_some_and(|at| at <= now) && upstream.load.in_flight == 0
        });
        self.departed.expire(now);
    }

    /// Marks a data centre as out, so that its upstreams get no requests.
    pub fn mark_data_centre_out(&mut self, data_centre: Name) {
        self.data_centres_out.insert(data_centre);
    }

    /// Marks a data centre as back; its upstreams count as cold for the time that `cold` returns
    /// for their service.
    pub fn mark_data_centre_back(
        &mut self,
        now: Time,
        data_centre: &str,
        cold: impl Fn(&Name) -> Duration,
    ) {
        if !self.data_centres_out.remove(data_centre) {
            return;
        }
        for upstream in &mut self.all {
            if upstream.entry.data_centre.as_str() == data_centre {
                let until = now + cold(&upstream.entry.service);
                upstream.cold_until = upstream.cold_until.max(until);
            }
        }
    }

    /// Returns the data centres that are out.
    pub fn data_centres_out(&self) -> &HashSet<Name> {
        &self.data_centres_out
    }

    /// Returns the upstream with this identity; `None` when it is unknown.
    pub fn get(&self, id: &str) -> Option<&Upstream> {
        self.index.by_id(id).map(|position| &self.all[position])
    }

    /// Returns the upstream with this identity for modification; `None` when it is unknown.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Upstream> {
        self.index.by_id(id).map(|position| &mut self.all[position])
    }

    /// Returns the upstream with a hash from reports.
    pub fn get_by_key(&self, key: u32) -> Option<&Upstream> {
        self.index.by_key(key).map(|position| &self.all[position])
    }

    /// Returns the upstream with a hash from reports, for modification.
    pub fn get_by_key_mut(&mut self, key: u32) -> Option<&mut Upstream> {
        self.index.by_key(key).map(|position| &mut self.all[position])
    }

    /// Returns all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.all.iter()
    }

    /// Returns all upstreams for modification of what does not identify them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Upstream> {
        self.all.iter_mut()
    }

    /// Returns the upstream at a position, as [`visit_mut`](Self::visit_mut) passes them on.
    pub(super) fn at(&self, position: usize) -> &Upstream {
        &self.all[position]
    }

    /// Returns the upstream at a position for modification.
    pub(super) fn at_mut(&mut self, position: usize) -> &mut Upstream {
        &mut self.all[position]
    }

    /// Calls `visit` with the position of each upstream of a service, the upstream and its condition.
    pub(super) fn visit_mut(
        &mut self,
        now: Time,
        service: &Name,
        mut visit: impl FnMut(usize, &mut Upstream, Condition),
    ) {
        for (_, position) in self.index.of_service(service) {
            let upstream = &mut self.all[*position];
            let condition = condition(now, upstream, &self.data_centres_out);
            visit(*position, upstream, condition);
        }
    }

    /// Returns all known upstreams of a service, ordered by key.
    pub fn of_service(&self, service: &Name) -> impl Iterator<Item = &Upstream> {
        self.index.of_service(service).iter().map(|(_, position)| &self.all[*position])
    }

    /// Returns the number of known upstreams of a service.
    pub fn count(&self, service: &Name) -> usize {
        self.index.of_service(service).len()
    }

    /// Returns the key of the upstream of a service that owns the prompt segment with hash `chain`.
    pub(super) fn segment_owner(&mut self, service: &Name, chain: u64) -> Option<u32> {
        self.index.owner(service, chain)
    }

    /// Returns the upstreams of a service that have a registry entry.
    pub fn present<'a>(&'a self, service: &'a Name) -> impl Iterator<Item = &'a Upstream> + 'a {
        self.of_service(service).filter(|upstream| upstream.gone_at.is_none())
    }

    /// Returns the upstreams of a service that may receive requests.
    pub fn available<'a>(
        &'a self,
        now: Time,
        service: &'a Name,
    ) -> impl Iterator<Item = &'a Upstream> + 'a {
        self.of_service(service).filter(move |upstream| self.accepts_requests(now, upstream))
    }

    /// Returns whether an upstream of the version that a call needs serves, or may again: it is known
    /// and stays, or has left without having said that it would, as after a crash.
    pub fn may_serve_version(&self, call: &CallInfo) -> bool {
        let known = self.of_service(&call.service);
        let present = known.filter(|upstream| !upstream.is_leaving);
        let departed = self.departed.entries();
        present.map(|upstream| &upstream.entry).chain(departed).any(|entry| {
            entry.service == call.service
                && entry.state == UpstreamState::Ready
                && call.fits_version(entry)
        })
    }

    /// Returns what to tell the other routers of named limits: those that changed recently, and the
    /// others in turn.
    pub fn limit_reports(&mut self, now: Time) -> Vec<LimitReport> {
        self.limit_reports = self.limit_reports.wrapping_add(1);
        let is_new = |upstream: &Upstream| {
            upstream.limit_told_at > Time::default()
                && now.since(upstream.limit_changed_at) < FleetNews::CHANGE_TIME
        };
        let (mut news, mut others): (Vec<_>, Vec<_>) = self
            .all
            .iter()
            .filter(|upstream| upstream.limit.is_some() || is_new(upstream))
            .partition(|upstream| is_new(upstream));
        news.sort_unstable_by_key(|upstream| std::cmp::Reverse(upstream.limit_changed_at));
        others.sort_unstable_by_key(|upstream| upstream.key);

        let in_turn = take_in_turn(&others, self.limit_reports, Self::OTHER_LIMITS_PER_REPORT);
        let told = news.into_iter().take(Self::NEW_LIMITS_PER_REPORT).chain(in_turn);
        told.map(|upstream| upstream.limit_report(now)).collect()
    }

    /// Takes over limits that other routers report, where their responses are newer.
    pub fn merge_limits(&mut self, now: Time, reports: &[LimitReport]) {
        for report in reports {
            let told_at = now - Duration::from_millis(u64::from(report.age_ms));
            let Some(upstream) = self.get_by_key_mut(report.upstream) else { continue };
            if told_at > upstream.limit_told_at + FleetNews::SAME_MOMENT {
                let per_s = report.per_s_milli.map(|milli| f64::from(milli) / 1_000.0);
                upstream.set_limit(now, told_at, per_s);
            }
        }
    }

    /// Returns whether an upstream may receive requests.
    pub fn accepts_requests(&self, now: Time, upstream: &Upstream) -> bool {
        self.condition(now, upstream).accepts_requests()
    }

    /// Returns the condition of an upstream; it is closed while its data centre is out.
    pub(super) fn condition(&self, now: Time, upstream: &Upstream) -> Condition {
        condition(now, upstream, &self.data_centres_out)
    }

    /// Returns the time until the first paused upstream of a service accepts requests again; none
    /// when no upstream is paused.
    pub fn shortest_pause(&self, now: Time, service: &Name) -> Option<Duration> {
        self.of_service(service)
            .filter(|upstream| upstream.condition(now) == Condition::Paused)
            .map(|upstream| upstream.paused_until.since(now))
            .min()
    }
}

fn condition(now: Time, upstream: &Upstream, data_centres_out: &HashSet<Name>) -> Condition {
    if data_centres_out.contains(&upstream.entry.data_centre) {
        return Condition::Closed;
    }
    upstream.condition(now)
}

fn cold_time(entry: &UpstreamEntry, spec: Option<&ServiceSpec>) -> Duration {
    match spec {
        Some(ServiceSpec { cold_per_s: None, .. }) => Duration::ZERO,
        _ => entry.cold,
    }
}
