//! Interface to the items of the platform's store that the routers themselves write.

use std::time::Duration;

use sapphirespur_core::edge::{BootstrapWrite, RolloutState};
use sapphirespur_core::name::Name;

use super::registry::RegistryError;

/// Response of the store with its era: the number of times it was restored from an older copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stored<T> {
    /// Era of the store.
    pub era: u64,
    /// What the store responded.
    pub value: T,
}

/// Item of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredItem {
    /// Bytes of the item.
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: u64,
}

/// Revision that an item must have.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExpectedItem {
    /// Key of the item.
    pub key: String,
    /// Revision of the item; zero when there must be no such item.
    pub revision: u64,
}

/// New value of an item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ItemWrite {
    /// Key of the item.
    pub key: String,
    /// Bytes of the item.
    pub value: Vec<u8>,
    /// Lease that removes the item when it ends; none for items that stay.
    pub lease: Option<u64>,
}

/// New state of a roll-out for the operator who ordered it. The adapter of the platform knows its key and its
/// form.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StateWrite {
    /// Service whose traffic is moved.
    pub service: Name,
    /// How far the roll-out is.
    pub state: RolloutState,
    /// Version to which the traffic is moved.
    pub target: Name,
}

/// Items that are changed together, or not at all.
#[derive(Clone, Debug, Default)]
pub struct Transaction {
    /// Revisions that items must have.
    pub expected: Vec<ExpectedItem>,
    /// Items that are written.
    pub writes: Vec<ItemWrite>,
    /// Keys of items that are deleted.
    pub removals: Vec<String>,
    /// States of roll-outs that are written.
    pub states: Vec<StateWrite>,
    /// Entry by which a router names itself; the adapter of the platform knows its key and its form.
    pub bootstrap: Option<BootstrapWrite>,
}

/// State of a lease, as the store tells it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseState {
    /// It holds, for its whole time from now on.
    Holds,
    /// It has ended, with the items that are attached to it.
    Ended,
}

/// Result of a transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The items are written, at this revision.
    Written(u64),
    /// An item did not have the expected revision; nothing was written.
    Conflict,
    /// The lease has ended; nothing was written.
    LeaseEnded,
}

/// Client of the store for items of the routers; implemented by the adapter of a platform.
pub trait RecordStore {
    /// Reads an item; none when there is none.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer.
    fn get(
        &mut self,
        key: &str,
    ) -> impl Future<Output = Result<Stored<Option<StoredItem>>, RegistryError>>;

    /// Reads all items whose keys begin with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer, or was restored between two pages.
    fn range(
        &mut self,
        prefix: &str,
    ) -> impl Future<Output = Result<Stored<Vec<StoredItem>>, RegistryError>>;

    /// Writes items in one transaction. After an error it may have been executed, or be executed later.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer.
    fn write(
        &mut self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<Stored<WriteOutcome>, RegistryError>>;

    /// Renews a lease for its whole time.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer.
    fn renew_lease(
        &mut self,
        lease: u64,
    ) -> impl Future<Output = Result<Stored<LeaseState>, RegistryError>>;

    /// Ends a lease, which deletes its items; one that has ended already is left as it is.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer.
    fn end_lease(&mut self, lease: u64) -> impl Future<Output = Result<Stored<()>, RegistryError>>;

    /// Grants a lease of about `ttl`.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer.
    fn grant_lease(
        &mut self,
        ttl: Duration,
    ) -> impl Future<Output = Result<Stored<u64>, RegistryError>>;
}
