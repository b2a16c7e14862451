//! Keys of the store under which the routers record streams.

use sapphirespur_core::edge::{RecordWrite, Shares};
use sapphirespur_core::name::Name;

/// Prefix of the records of streams, which are written several times a second: watches of the registry
/// leave them out.
pub const RECORDS_PREFIX: &str = "sapphirespur/streams/";

/// Prefix of the base versions of services.
const BASES_PREFIX: &str = "sapphirespur/bases/";

/// Returns the key of the base version of a service.
pub(super) fn base_key(service: &Name) -> String {
    format!("{BASES_PREFIX}{:08x}", Shares::name_hash(service))
}

/// Returns the prefix of the records of one shard of a service.
pub(super) fn shard_prefix(service: &Name, shard: u8) -> String {
    // Names may have characters that keys may not.
    format!("{RECORDS_PREFIX}{:08x}/{shard:x}/", Shares::name_hash(service))
}

/// Returns the key of a record that the process of a router writes which started at `started_ms`.
pub(super) fn record_key(write: &RecordWrite, router: &Name, started_ms: u64) -> String {
    let prefix = shard_prefix(&write.id.service, write.id.shard);
    let (router, span, generation) = (Shares::name_hash(router), write.id.span, write.generation);
    format!("{prefix}{router:08x}-{started_ms:x}-{span:x}-{generation:x}")
}
