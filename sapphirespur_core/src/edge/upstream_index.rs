//! Positions of upstreams by identity, by key and by service.

use crate::collections::HashMap;
use crate::edge::Upstream;
use crate::hash::stable_hash;
use crate::name::Name;

/// Upstreams of one service.
#[derive(Clone, Debug, Default)]
struct ServiceUpstreams {
    /// Keys and positions, ordered by key, so that the order does not depend on the past.
    members: Vec<(u32, usize)>,
    /// Keys of the owners of prompt segments, by the hash of the segment.
    owners: HashMap<u64, u32>,
}

/// Positions of upstreams in the list that holds them.
#[derive(Clone, Debug, Default)]
pub(super) struct UpstreamIndex {
    by_id: HashMap<Name, usize>,
    by_key: HashMap<u32, usize>,
    by_service: HashMap<Name, ServiceUpstreams>,
}

impl UpstreamIndex {
    /// Largest number of owners that are remembered for a service.
    const MAX_OWNERS: usize = 4_096;

    /// Creates the index of a list of upstreams.
    pub fn new(upstreams: &[Upstream]) -> Self {
        let mut index = Self::default();
        for (position, upstream) in upstreams.iter().enumerate() {
            index.insert(position, upstream);
        }
        index
    }

    /// Adds the upstream at a position.
    pub fn insert(&mut self, position: usize, upstream: &Upstream) {
        self.by_id.insert(upstream.entry.id.clone(), position);
        self.by_key.insert(upstream.key, position);
        let service = self.by_service.entry(upstream.entry.service.clone()).or_default();
        let member = (upstream.key, position);
        let place = service.members.partition_point(|other| *other < member);
        service.members.insert(place, member);
        service.owners.clear();
    }

    /// Returns the position of the upstream with this identity.
    pub fn by_id(&self, id: &str) -> Option<usize> {
        self.by_id.get(id).copied()
    }

    /// Returns the position of the upstream with a hash from reports.
    pub fn by_key(&self, key: u32) -> Option<usize> {
        self.by_key.get(&key).copied()
    }

    /// Returns the keys and positions of the upstreams of a service.
    pub fn of_service(&self, service: &Name) -> &[(u32, usize)] {
        self.by_service.get(service).map_or(&[], |service| &service.members)
    }

    /// Returns the key of the upstream of a service that owns the prompt segment with hash `chain`, by
    /// rendezvous hashing.
    pub fn owner(&mut self, service: &Name, chain: u64) -> Option<u32> {
        let service = self.by_service.get_mut(service)?;
        if let Some(owner) = service.owners.get(&chain) {
            return Some(*owner);
        }
        let weight = |key: &u32| stable_hash(&[&chain.to_le_bytes(), &key.to_le_bytes()]);
        let owner = service.members.iter().map(|(key, _)| *key).max_by_key(weight)?;
        if service.owners.len() >= Self::MAX_OWNERS {
            service.owners.clear();
        }
        service.owners.insert(chain, owner);
        Some(owner)
    }
}
