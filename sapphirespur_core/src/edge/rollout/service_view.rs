//! What a router knows of the upstreams of a service with a roll-out.

use crate::collections::HashSet;
use crate::edge::{RegistryState, Upstream, UpstreamEntry};
use crate::hash::rendezvous;
use crate::name::Name;
use crate::time::Time;

/// Upstreams of a service, by their part in a roll-out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceView<'a> {
    /// Current time.
    pub now: Time,
    /// State of the registry.
    pub registry: &'a RegistryState,
    /// Name of the service.
    pub service: &'a Name,
}

impl<'a> ServiceView<'a> {
    /// Returns whether the service is configured, or has upstreams.
    pub fn is_known(&self) -> bool {
        self.registry.service_spec(self.service).is_some() || self.present().next().is_some()
    }

    /// Returns the number of upstreams of a version.
    pub fn count(&self, version: &Name) -> usize {
        self.present().filter(|entry| entry.version == *version).count()
    }

    /// Returns the number of upstreams of versions that are not in `versions`.
    pub fn count_others(&self, versions: &[Name]) -> usize {
        self.present().filter(|entry| !versions.contains(&entry.version)).count()
    }

    /// Returns whether the service has an upstream of the version.
    pub fn has(&self, version: &Name) -> bool {
        self.present().any(|entry| entry.version == *version)
    }

    /// Returns whether the service has, or had until lately, an upstream of a version that is neither
    /// this one nor withdrawn.
    pub fn has_other(&self, version: &Name, withdrawn: &[Name]) -> bool {
        let departed = self.registry.upstreams().departed();
        let departed = departed.filter(|entry| entry.service == *self.service);
        let is_other = |entry: &UpstreamEntry| {
            entry.version != *version && !withdrawn.contains(&entry.version)
        };
        self.present().chain(departed).any(is_other)
    }

    /// Returns the keys of `count` upstreams of a version, the same at all routers.
    pub fn subset(&self, version: &Name, count: usize) -> HashSet<u32> {
        let upstreams = self.registry.upstreams();
        let ids = self.present().filter(|entry| entry.version == *version).map(|entry| &entry.id);
        let chosen = rendezvous(version.as_str().as_bytes(), ids, count);
        chosen.into_iter().filter_map(|id| Some(upstreams.get(id.as_str())?.key)).collect()
    }

    /// Returns the upstreams of the service; those whose entry is missing, as after a restore of the
    /// store, until they count as gone.
    fn present(&self) -> impl Iterator<Item = &'a UpstreamEntry> {
        let Self { now, service, .. } = *self;
        let is_present = move |upstream: &&Upstream| {
            upstream.entry.service == *service && upstream.gone_at.is_none_or(|at| at > now)
        };
        self.registry.upstreams().iter().filter(is_present).map(|upstream| &upstream.entry)
    }
}
