//! Request and response types of the key-value store.

/// Key with its value and the revision of its last change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyValue {
    /// Key, as UTF-8 text.
    pub key: String,
    /// Value, as raw bytes.
    pub value: Vec<u8>,
    /// Store revision at which the key was last changed.
    pub mod_revision: u64,
}

/// Condition that a transaction checks on a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Compare {
    /// The key does not exist.
    Absent(String),
    /// The key was last changed at the given revision.
    Unchanged {
        /// Key to check.
        key: String,
        /// Expected store revision of its last change.
        mod_revision: u64,
    },
}

/// Operation within a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Operation {
    /// Writes a value.
    Put {
        /// Key to write.
        key: String,
        /// Value to store.
        value: Vec<u8>,
    },
    /// Reads a key.
    Get(String),
    /// Deletes a key.
    Delete(String),
    /// Runs a nested transaction.
    Txn {
        /// Conditions to check.
        compare: Vec<Compare>,
        /// Operations to run when all conditions hold.
        success: Vec<Operation>,
        /// Operations to run when a condition does not hold.
        failure: Vec<Operation>,
    },
}

/// Response to one operation of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Response {
    /// Response to a write or a deletion.
    Done,
    /// Response to a read: the key with its value, or nothing when it does not exist.
    Found(Vec<KeyValue>),
    /// Response to a nested transaction.
    Txn(TxnOutcome),
}

/// Outcome of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TxnOutcome {
    /// Whether all conditions held.
    pub succeeded: bool,
    /// Store revision after the transaction.
    pub revision: u64,
    /// Responses to the operations that ran, in their order.
    pub responses: Vec<Response>,
}
