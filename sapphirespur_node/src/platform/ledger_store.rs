//! Entries of the once-ledger in the key-value service.

use sapphirespur_core::at_most_once::{LedgerBatch, LedgerOperation, LedgerResult, Precondition};

use crate::platform::{Compare, Operation, PlatformError, Response, Store, TxnOutcome};

/// Prefix of the ledger.
const LEDGER_PREFIX: &str = "/sapphirespur/once/";

/// Days before the current one whose entries are kept.
const RETENTION_DAYS: u64 = 2;

/// Ledger in the key-value service.
#[derive(Clone)]
pub struct LedgerStore {
    store: Store,
}

impl LedgerStore {
    /// Creates a client over `store`.
    pub fn new(store: Store) -> Self {
        Self { store }
    }

    /// Runs a batch as one transaction, in which each operation takes effect or not on its own.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform gives no proper answer; the batch may take effect.
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

    /// Deletes the entries of the day that just fell out of keeping.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform gives no proper answer.
    pub async fn delete_expired(&self, today: u64) -> Result<(), PlatformError> {
        let Some(expired) = today.checked_sub(RETENTION_DAYS + 1) else { return Ok(()) };

        self.store.delete_prefix(&format!("{LEDGER_PREFIX}{expired}/")).await
    }
}

fn entry_key(day: u64, key: &str) -> String {
    format!("{LEDGER_PREFIX}{day}/{key}")
}

/// Returns the days under which an entry of a call on `day` can be stored.
fn candidate_days(day: u64) -> [u64; 3] {
    [day.saturating_sub(1), day, day + 1]
}

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
