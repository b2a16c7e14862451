//! Storage of the at-most-once ledger in the key-value store.

use sapphirespur_core::at_most_once::{LedgerBatch, LedgerOperation, LedgerResult, Precondition};

use crate::platform::{Compare, Operation, PlatformError, Response, Store, TxnOutcome};

/// Prefix of the keys of ledger entries.
const LEDGER_PREFIX: &str = "/sapphirespur/once/";

/// Number of days before the current one whose entries are retained.
const RETENTION_DAYS: u64 = 2;

/// Client of the at-most-once ledger in the key-value store.
#[derive(Clone)]
pub struct LedgerStore {
    store: Store,
}

impl LedgerStore {
    /// Creates a ledger client that uses `store`.
    pub fn new(store: Store) -> Self {
        Self { store }
    }

    /// Commits a batch in one transaction; each operation succeeds or fails on its own.
    ///
    /// # Errors
    ///
    /// Returns an error when the request fails or the response is invalid; the batch may still take
    /// effect.
    pub async fn commit(&self, batch: &LedgerBatch) -> Result<Vec<LedgerResult>, PlatformError> {
        let operations: Vec<Operation> =
            batch.operations.iter().map(encode_operation).collect::<Result<_, _>>()?;
        let outcome = self.store.txn(&[], &operations, &[]).await?;

        outcome
            .responses
            .into_iter()
            .zip(&batch.operations)
            .map(|(response, operation)| decode_result(response, operation))
            .collect()
    }

    /// Deletes the entries of the day that has just left the retention period.
    ///
    /// `today` is the number of days since the Unix epoch.
    ///
    /// # Errors
    ///
    /// Returns an error when the request fails or the response is invalid.
    pub async fn delete_expired(&self, today: u64) -> Result<(), PlatformError> {
        let Some(expired) = today.checked_sub(RETENTION_DAYS + 1) else { return Ok(()) };

        self.store.delete_prefix(&format!("{LEDGER_PREFIX}{expired}/")).await
    }
}

/// Returns the store key of the entry for call `key` under `day`.
fn entry_key(day: u64, key: &str) -> String {
    format!("{LEDGER_PREFIX}{day}/{key}")
}

/// Returns the days under which the entry of a call on `day` may be stored: the day itself and its
/// neighbours.
fn candidate_days(day: u64) -> [u64; 3] {
    [day.saturating_sub(1), day, day + 1]
}

/// Returns the nested transaction for a ledger operation: it writes the entry when the precondition
/// holds and reads the stored entries otherwise.
fn encode_operation(operation: &LedgerOperation) -> Result<Operation, PlatformError> {
    let key = entry_key(operation.day, &operation.key);
    let keys = || candidate_days(operation.day).map(|day| entry_key(day, &operation.key));
    let compare = match operation.precondition {
        Precondition::Absent => keys().map(Compare::Absent).to_vec(),
        Precondition::Unchanged { revision } => {
            vec![Compare::Unchanged { key: key.clone(), mod_revision: revision }]
        }
    };

    Ok(Operation::Txn {
        compare,
        success: vec![Operation::Put { key, value: serde_json::to_vec(&operation.entry)? }],
        failure: keys().map(Operation::Get).to_vec(),
    })
}

/// Returns the result of a ledger operation from the response to its transaction.
fn decode_result(
    response: Response,
    operation: &LedgerOperation,
) -> Result<LedgerResult, PlatformError> {
    let Response::Txn(TxnOutcome { succeeded, revision, responses }) = response else {
        return Err(PlatformError::MissingResult);
    };
    if succeeded {
        return Ok(LedgerResult::Written { revision });
    }

    for (response, day) in responses.into_iter().zip(candidate_days(operation.day)) {
        let Response::Found(kvs) = response else { continue };
        if let Some(kv) = kvs.first() {
            let entry = serde_json::from_slice(&kv.value)?;
            return Ok(LedgerResult::Conflict { day, revision: kv.mod_revision, entry });
        }
    }
    Ok(LedgerResult::Missing)
}
