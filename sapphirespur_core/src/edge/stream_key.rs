//! Identity of a stream over the attempts of its client.

use crate::hash::stable_hash;
use crate::name::Name;

/// Hash of a workspace and of the attempt that brought the first event of one of its streams: no
/// workspace finds the streams of another one.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Number of parts into which the records of streams are divided, so that a look-up reads one.
    pub const SHARDS: u8 = 16;

    /// Creates the key of a stream from its workspace, if it has one, and its first attempt.
    pub fn new(workspace: Option<&Name>, attempt_id: &str) -> Self {
        let workspace = workspace.map_or("", Name::as_str);
        Self(stable_hash(&[workspace.as_bytes(), attempt_id.as_bytes()]))
    }

    /// Creates a key from its hash.
    pub fn from_hash(hash: u64) -> Self {
        Self(hash)
    }

    /// Returns the hash.
    pub fn hash(self) -> u64 {
        self.0
    }

    /// Returns the part of the records that holds the stream.
    pub fn shard(self) -> u8 {
        (self.0 % u64::from(Self::SHARDS)) as u8
    }
}
