//! Interface to the platform's registry of configuration, upstreams and data centres.

use std::time::Duration;

use sapphirespur_core::edge::{RegistryVersion, RouteTable, UpstreamEntry};
use sapphirespur_core::name::Name;
use thiserror::Error;

/// Entry of the registry, decoded by kind.
#[derive(Clone, Debug)]
pub enum RegistryEntry {
    /// Routes, services and keys in force.
    Config(RouteTable),
    /// Upstream that registered itself.
    Upstream(UpstreamEntry),
    /// Data centre that is taken out of service.
    DataCentreOut(Name),
    /// Entry that cannot be decoded; it is logged and ignored.
    Invalid {
        /// Key of the entry.
        key: String,
        /// Reason why it cannot be decoded.
        reason: String,
    },
}

/// Change of one entry of the registry.
#[derive(Clone, Debug)]
pub enum RegistryChange {
    /// An entry was created or replaced.
    Written(RegistryEntry),
    /// The entry of an upstream was deleted or has expired.
    UpstreamRemoved(Name),
    /// A data centre was put back into service.
    DataCentreRestored(Name),
}

/// All entries of the registry as of a version.
#[derive(Clone, Debug, Default)]
pub struct RegistryListing {
    /// Version after which to watch for changes.
    pub version: RegistryVersion,
    /// Entries in no particular order.
    pub entries: Vec<RegistryEntry>,
}

/// Changes of the registry up to a version.
#[derive(Clone, Debug, Default)]
pub struct RegistryChanges {
    /// Version after which to continue watching.
    pub version: RegistryVersion,
    /// Version of the last change, or of the previous position without changes.
    pub changed: RegistryVersion,
    /// Changes in the order in which they were made.
    pub changes: Vec<RegistryChange>,
}

/// Reason why a call to the registry failed.
#[derive(Clone, Debug, Error)]
pub enum RegistryError {
    /// Changes since the revision have been compacted; the registry must be listed again.
    #[error("changes since the revision have been compacted")]
    Compacted,
    /// The registry was restored from an older copy; it must be listed again.
    #[error("restored from an older copy")]
    Restored,
    /// The registry cannot be reached or does not respond; holds the cause.
    #[error("unreachable: {0}")]
    Unreachable(String),
    /// The registry refused the call with this HTTP status.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The response cannot be decoded; holds the cause.
    #[error("invalid response: {0}")]
    Malformed(String),
}

/// Client of the registry; implemented by the adapter of a platform.
pub trait Registry {
    /// Reads all entries.
    ///
    /// # Errors
    ///
    /// Returns an error when the registry cannot be read.
    fn list(&mut self) -> impl Future<Output = Result<RegistryListing, RegistryError>>;

    /// Waits at most `max_wait` for changes after a version.
    ///
    /// # Errors
    ///
    /// Returns an error when the registry cannot be watched, has compacted the revision or was
    /// restored since.
    fn watch(
        &mut self,
        after: RegistryVersion,
        max_wait: Duration,
    ) -> impl Future<Output = Result<RegistryChanges, RegistryError>>;
}
