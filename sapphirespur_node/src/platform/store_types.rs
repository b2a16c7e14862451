//! Types of the key-value service.

/// Key with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyValue {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Revision of the service at which the key was last changed.
    pub mod_revision: u64,
}

/// Condition of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Compare {
    /// The key does not exist.
    Absent(String),
    /// The key was last changed at a revision of the service.
    Unchanged {
        /// Key.
        key: String,
        /// Revision.
        mod_revision: u64,
    },
}

/// Operation of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Operation {
    /// Writes a value.
    Put {
        /// Key.
        key: String,
        /// Value.
        value: Vec<u8>,
    },
    /// Reads a key.
    Get(String),
    /// Deletes a key.
    Delete(String),
    /// Runs a transaction within the transaction.
    Txn {
        /// Conditions.
        compare: Vec<Compare>,
        /// Operations when all hold.
        success: Vec<Operation>,
        /// Operations when one does not hold.
        failure: Vec<Operation>,
    },
}

/// Response to one operation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Response {
    /// To a write or a deletion.
    Done,
    /// To a read.
    Found(Vec<KeyValue>),
    /// To a transaction within the transaction.
    Txn(TxnOutcome),
}

/// Outcome of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TxnOutcome {
    /// Whether all conditions held.
    pub succeeded: bool,
    /// Revision of the service after the transaction.
    pub revision: u64,
    /// Responses to the operations that ran.
    pub responses: Vec<Response>,
}
