//! Interface to the items of the platform's store that the routers themselves write.

use std::time::Duration;

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

/// Items that are written together, or not at all.
#[derive(Clone, Debug, Default)]
pub struct Transaction {
    /// Keys with the revisions that they must have; zero when there must be no such item.
    pub expected: Vec<(String, u64)>,
    /// Keys with their new values.
    pub writes: Vec<(String, Vec<u8>)>,
    /// Lease that removes the items when it ends; none for items that stay.
    pub lease: Option<u64>,
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
