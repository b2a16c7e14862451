//! Interface to the platform's registry of configuration, upstreams and data centres.

use std::time::Duration;

use sapphirespur_core::edge::{RegistryChanges, RegistryEntry, RegistryVersion};
use thiserror::Error;

use super::skipped_names::SkippedNames;

/// All entries of the registry as of a version.
#[derive(Clone, Debug, Default)]
pub struct RegistryListing {
    /// Version after which to watch for changes.
    pub version: RegistryVersion,
    /// Entries in no particular order.
    pub entries: Vec<RegistryEntry>,
    /// Entries that the registry may have although they are not listed.
    pub skipped: Vec<SkippedNames>,
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
    /// The response has more than this number of bytes.
    #[error("response of more than {0} bytes")]
    TooLarge(usize),
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
