//! Record of configuration, upstreams and data centres that a platform keeps.

use std::time::Duration;

use sapphirespur_core::edge::{RouteTable, UpstreamEntry};
use sapphirespur_core::name::Name;
use thiserror::Error;

/// Entry of the record.
#[derive(Clone, Debug)]
pub enum Entry {
    /// Configuration in force.
    Config(RouteTable),
    /// Upstream that made itself known.
    Upstream(UpstreamEntry),
    /// Data centre that is taken out.
    DataCentreOut(Name),
    /// Entry that cannot be used; it names nothing.
    Invalid {
        /// Key.
        key: String,
        /// Reason.
        reason: String,
    },
}

/// Change of the record.
#[derive(Clone, Debug)]
pub enum Change {
    /// Entry was written.
    Written(Entry),
    /// Entry of an upstream is gone.
    UpstreamRemoved(Name),
    /// Data centre is taken back.
    DataCentreRestored(Name),
}

/// All entries, as of a revision.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// Revision from which changes are to be watched.
    pub revision: u64,
    /// Entries.
    pub entries: Vec<Entry>,
}

/// Changes up to a revision.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// Revision from which to watch on.
    pub revision: u64,
    /// Changes in their order.
    pub changes: Vec<Change>,
}

/// Reason why a call to the record failed.
#[derive(Clone, Debug, Error)]
pub enum RegistryError {
    /// Changes since the revision are no longer known; the record is to be listed again.
    #[error("changes since the revision are no longer kept")]
    Compacted,
    /// No connection, or none that answers.
    #[error("not reached: {0}")]
    Unreachable(String),
    /// Call was refused for now.
    #[error("refused with status {0}")]
    Refused(u16),
    /// Answer cannot be read.
    #[error("answer cannot be read: {0}")]
    Malformed(String),
}

/// Client of the record; implemented by the adapter of a platform.
pub trait Registry {
    /// Lists all entries.
    ///
    /// # Errors
    ///
    /// Returns an error when the record cannot be read.
    fn list(&mut self) -> impl Future<Output = Result<Listing, RegistryError>>;

    /// Waits at most `wait` for changes after a revision.
    ///
    /// # Errors
    ///
    /// Returns an error when the record cannot be watched or has forgotten the revision.
    fn watch(
        &mut self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, RegistryError>>;
}
