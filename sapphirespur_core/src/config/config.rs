//! Complete configuration of a fleet.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::collections::HashMap;
use crate::config::{
    Change, Class, ConfigError, DataCentre, DataCentreState, Model, Service, Target, Upstream,
    UpstreamState, Workspace,
};
use crate::hash::{sha256_hex, stable_hash};
use crate::name::Name;

/// Highest share of a workspace or weight of a class.
pub const MAX_WEIGHT: u32 = 1_000_000;

/// Highest number of slots of one upstream.
pub const MAX_SLOTS: u32 = 100_000;

/// Number of chunks over which the workspaces are distributed by hash.
const WORKSPACE_CHUNKS: u64 = 64;

/// Accepted configuration; its maps are ordered so that it has one canonical encoding.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Config {
    /// Revision, one higher with each accepted plan; zero before the first.
    #[serde(default)]
    pub revision: u64,
    /// Classes of requests, by name.
    #[serde(default)]
    pub classes: BTreeMap<Name, Class>,
    /// Data centres, by name.
    #[serde(default)]
    pub data_centres: BTreeMap<Name, DataCentre>,
    /// Models, by name.
    #[serde(default)]
    pub models: BTreeMap<Name, Model>,
    /// Plain services, by name.
    #[serde(default)]
    pub services: BTreeMap<Name, Service>,
    /// Upstreams, by name.
    #[serde(default)]
    pub upstreams: BTreeMap<Name, Upstream>,
    /// Workspaces, by name.
    #[serde(default)]
    pub workspaces: BTreeMap<Name, Workspace>,
}

impl Config {
    /// Returns the next revision, with `changes` applied.
    ///
    /// # Errors
    ///
    /// Returns the first rule that a change or the resulting configuration violates.
    pub fn with_changes(&self, changes: &[Change]) -> Result<Self, ConfigError> {
        let mut next = self.clone();
        next.revision += 1;
        for change in changes {
            next.apply(change)?;
        }

        next.validate()?;
        Ok(next)
    }

    /// Validates names, ranges and references.
    ///
    /// # Errors
    ///
    /// Returns the first violated rule.
    pub fn validate(&self) -> Result<(), ConfigError> {
        self.validate_names()?;
        self.validate_workspaces()?;
        self.validate_classes()?;
        self.validate_upstreams()
    }

    /// Returns the SHA-256 digest of the canonical encoding, in lower-case hexadecimal.
    pub fn digest(&self) -> String {
        sha256_hex(&self.to_json())
    }

    /// Returns the canonical JSON encoding.
    ///
    /// # Panics
    ///
    /// Never: every field can be serialised.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a configuration has an encoding")
    }

    /// Splits the configuration into encoded chunks, each below the platform's value limit.
    ///
    /// The first chunk holds everything except the workspaces.
    ///
    /// # Panics
    ///
    /// Never: every field can be serialised.
    pub fn to_chunks(&self) -> Vec<Vec<u8>> {
        let mut workspaces = vec![BTreeMap::new(); WORKSPACE_CHUNKS as usize];
        for (name, workspace) in &self.workspaces {
            let chunk = stable_hash(&[name.as_str().as_bytes()]) % WORKSPACE_CHUNKS;
            workspaces[chunk as usize].insert(name.clone(), workspace.clone());
        }

        let base = Self { workspaces: BTreeMap::new(), ..self.clone() };
        let rest = workspaces
            .into_iter()
            .filter(|workspaces| !workspaces.is_empty())
            .map(|workspaces| Self { workspaces, ..Self::default() });
        std::iter::once(base).chain(rest).map(|chunk| chunk.to_json()).collect()
    }

    /// Joins chunks from `to_chunks` into one configuration.
    ///
    /// # Errors
    ///
    /// Returns the decoder's error when a chunk is malformed.
    pub fn from_chunks<'a>(
        chunks: impl Iterator<Item = &'a [u8]>,
    ) -> Result<Self, serde_json::Error> {
        let mut config = Self::default();
        for (index, chunk) in chunks.enumerate() {
            let chunk: Self = serde_json::from_slice(chunk)?;
            if index == 0 {
                config = chunk;
            } else {
                config.workspaces.extend(chunk.workspaces);
            }
        }

        Ok(config)
    }

    /// Returns a map from key digest to workspace.
    pub fn key_index(&self) -> HashMap<String, Name> {
        let mut index = HashMap::default();
        for (name, workspace) in &self.workspaces {
            for digest in &workspace.key_digests {
                index.insert(digest.clone(), name.clone());
            }
        }

        index
    }

    /// Returns the class of requests that name none; `None` without classes.
    pub fn default_class(&self) -> Option<&Name> {
        self.classes.iter().find(|(_, class)| class.default).map(|(name, _)| name)
    }

    /// Returns whether `upstream` and its data centre are configured to accept new work.
    pub fn accepts_work(&self, upstream: &Upstream) -> bool {
        let data_centre = self.data_centres.get(&upstream.data_centre);

        upstream.state == UpstreamState::Active
            && data_centre.is_some_and(|data_centre| data_centre.state == DataCentreState::In)
    }

    /// Returns whether `target` is configured.
    pub fn has_target(&self, target: &Target) -> bool {
        match target {
            Target::Model(name) => self.models.contains_key(name),
            Target::Service(name) => self.services.contains_key(name),
        }
    }

    fn apply(&mut self, change: &Change) -> Result<(), ConfigError> {
        let name = change.name().clone();
        let found = match change {
            Change::SetWorkspace(_, value) => set(&mut self.workspaces, name, value),
            Change::RemoveWorkspace(name) => self.workspaces.remove(name).is_some(),
            Change::SetClass(_, value) => set(&mut self.classes, name, value),
            Change::RemoveClass(name) => self.classes.remove(name).is_some(),
            Change::SetDataCentre(_, value) => set(&mut self.data_centres, name, value),
            Change::RemoveDataCentre(name) => self.data_centres.remove(name).is_some(),
            Change::SetModel(_, value) => set(&mut self.models, name, value),
            Change::RemoveModel(name) => self.models.remove(name).is_some(),
            Change::SetService(_, value) => set(&mut self.services, name, value),
            Change::RemoveService(name) => self.services.remove(name).is_some(),
            Change::SetUpstream(_, value) => set(&mut self.upstreams, name, value),
            Change::RemoveUpstream(name) => self.upstreams.remove(name).is_some(),
        };
        if found {
            return Ok(());
        }

        Err(ConfigError::Missing { kind: change.kind(), name: change.name().clone() })
    }

    fn validate_names(&self) -> Result<(), ConfigError> {
        let names = self
            .workspaces
            .keys()
            .chain(self.classes.keys())
            .chain(self.data_centres.keys())
            .chain(self.models.keys())
            .chain(self.services.keys())
            .chain(self.upstreams.keys());
        for name in names {
            if !name.is_valid() {
                return Err(ConfigError::InvalidName(name.clone()));
            }
        }

        Ok(())
    }

    fn validate_workspaces(&self) -> Result<(), ConfigError> {
        let mut owners: HashMap<&str, &Name> = HashMap::default();
        for (name, workspace) in &self.workspaces {
            check_range(name, "share", workspace.share, MAX_WEIGHT)?;

            for digest in &workspace.key_digests {
                let is_hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
                if digest.len() != 64 || !digest.chars().all(is_hex) {
                    return Err(ConfigError::InvalidKeyDigest(name.clone()));
                }
                if let Some(owner) = owners.insert(digest, name).filter(|owner| *owner != name) {
                    return Err(ConfigError::DuplicateKey(owner.clone(), name.clone()));
                }
            }
        }

        Ok(())
    }

    fn validate_classes(&self) -> Result<(), ConfigError> {
        for (name, class) in &self.classes {
            check_range(name, "weight", class.weight, MAX_WEIGHT)?;
        }

        let defaults = self.classes.values().filter(|class| class.default).count();
        if !self.classes.is_empty() && defaults != 1 {
            return Err(ConfigError::DefaultClassCount(defaults));
        }

        Ok(())
    }

    fn validate_upstreams(&self) -> Result<(), ConfigError> {
        let mut owners: HashMap<&Name, &Name> = HashMap::default();
        for (name, upstream) in &self.upstreams {
            check_range(name, "slots", upstream.slots, MAX_SLOTS)?;
            check_range(name, "cold-slots", upstream.cold_slots, MAX_SLOTS)?;
            if upstream.cold_slots > upstream.slots {
                return Err(ConfigError::ColdSlotsAboveSlots(name.clone()));
            }
            if !self.data_centres.contains_key(&upstream.data_centre) {
                return Err(ConfigError::UnknownDataCentre {
                    upstream: name.clone(),
                    data_centre: upstream.data_centre.clone(),
                });
            }
            if !self.has_target(&upstream.target) {
                return Err(ConfigError::UnknownTarget {
                    upstream: name.clone(),
                    target: upstream.target.clone(),
                });
            }
            if let Some(owner) = owners.insert(&upstream.control, name) {
                return Err(ConfigError::DuplicateControlAddress(owner.clone(), name.clone()));
            }
        }

        Ok(())
    }
}

/// Inserts or replaces an entry; always returns true.
fn set<V: Clone>(map: &mut BTreeMap<Name, V>, name: Name, value: &V) -> bool {
    map.insert(name, value.clone());
    true
}

fn check_range(name: &Name, field: &'static str, value: u32, max: u32) -> Result<(), ConfigError> {
    if (1..=max).contains(&value) {
        return Ok(());
    }

    Err(ConfigError::OutOfRange { name: name.clone(), field, max })
}
