//! Identity of a request that may come again, over all routers and builds.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::name::Name;

/// What a request asks for, as a hash: attempts of the same client that ask for the same have the same
/// identity, whatever their identifiers and deadlines are.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestIdentity(u64);

impl RequestIdentity {
    /// Returns the identity of a request for `service`, where `target` is its path with the query.
    ///
    /// It is cut to 64 bits: a workspace can make two of its own requests alike with effort, and no
    /// request like that of another one.
    pub fn new(
        service: &Name,
        workspace: Option<&Name>,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> Self {
        let workspace = workspace.map_or("", Name::as_str);
        let mut hasher = Sha256::new();
        for part in [service.as_str().as_bytes(), workspace.as_bytes(), method.as_bytes()] {
            add(&mut hasher, part);
        }
        add(&mut hasher, target.as_bytes());
        add(&mut hasher, body);

        let digest = hasher.finalize();
        let head = digest.first_chunk().copied().unwrap_or_default();
        Self(u64::from_be_bytes(head))
    }

    /// Returns the identity with these bits, as another router reports it.
    pub fn from_bits(bits: u64) -> Self {
        Self(bits)
    }

    /// Returns the bits, as reports hold them.
    pub fn to_bits(self) -> u64 {
        self.0
    }
}

impl fmt::Display for RequestIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Adds a part with its length, so that the hash depends on where the parts are split.
fn add(hasher: &mut Sha256, part: &[u8]) {
    hasher.update((part.len() as u64).to_le_bytes());
    hasher.update(part);
}
