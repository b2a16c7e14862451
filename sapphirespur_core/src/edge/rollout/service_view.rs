//! What a router knows of the upstreams of a service with a roll-out.

use crate::collections::HashSet;
use crate::edge::{RegistryState, UpstreamEntry};
use crate::hash::rendezvous;
use crate::name::Name;

/// Upstreams of a service, by their part in a roll-out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceView<'a> {
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

    /// Returns whether the service has, or had until lately, an upstream of another version.
    pub fn has_other(&self, version: &Name) -> bool {
        let departed = self.registry.upstreams().departed();
        let departed = departed.filter(|entry| entry.service == *self.service);
        self.present().chain(departed).any(|entry| entry.version != *version)
    }

    /// Returns the keys of `count` upstreams of a version, the same at all routers.
    pub fn subset(&self, version: &Name, count: usize) -> HashSet<u32> {
        let upstreams = self.registry.upstreams();
        let ids = self.present().filter(|entry| entry.version == *version).map(|entry| &entry.id);
        let chosen = rendezvous(version.as_str().as_bytes(), ids, count);
        chosen.into_iter().filter_map(|id| Some(upstreams.get(id.as_str())?.key)).collect()
    }

    fn present(&self) -> impl Iterator<Item = &'a UpstreamEntry> {
        self.registry.upstreams().present(self.service).map(|upstream| &upstream.entry)
    }
}
