//! Origins of streams at one router: what it remembers, infers and records.

use crate::edge::{StreamBases, StreamLog, StreamMemory};

/// What a router knows of the versions that began streams, and what it has to tell the store.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    /// Streams that this router began or took up.
    pub memory: StreamMemory,
    /// Versions of streams without a record.
    pub bases: StreamBases,
    /// Records that this router writes.
    pub log: StreamLog,
    /// Whether the last call to the registry failed, which the same store holds.
    pub is_store_failing: bool,
}
