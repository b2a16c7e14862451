//! Writes the entry of the platform's store by which this router names itself to those whose seeds do not answer.

use std::rc::Rc;

use sapphirespur_core::edge::{BootstrapEntry, BootstrapWrite};

use super::record_store::{RecordStore, Stored, Transaction, WriteOutcome};
use super::registry::RegistryError;
use super::shared::Shared;
use super::store_call::in_time;

/// Writes the entry whenever it is due, until the process exits.
pub(super) async fn run(cx: Rc<Shared>, mut store: impl RecordStore) {
    loop {
        cx.bootstrap_due.notified().await;
        let write = cx.router.borrow_mut().take_bootstrap_write(cx.now());
        let Some(write) = write else { continue };
        let result = in_time(write_entry(&cx, &mut store, write)).await;
        cx.metrics.record_registry_call(result.is_ok());
        match result {
            Ok(is_written) => {
                log::info!(is_written = is_written; "router names itself in the record")
            }
            Err(e) => {
                log::warn!(error = e.to_string().as_str(); "router not named in the record");
            }
        }
    }
}

/// Writes the entry; returns whether no other router was faster, whose entry the watch then shows.
async fn write_entry(
    cx: &Shared,
    store: &mut impl RecordStore,
    write: BootstrapWrite,
) -> Result<bool, RegistryError> {
    let transaction = Transaction { bootstrap: Some(write), ..Transaction::default() };
    let Stored { era, value } = store.write(&transaction).await?;
    cx.check_record_era(era);
    match value {
        WriteOutcome::Written(revision) => {
            let entry = BootstrapEntry { contact: Some(write.contact), revision };
            cx.router.borrow_mut().set_bootstrap_entry(cx.now(), entry);
            Ok(true)
        }
        WriteOutcome::Conflict | WriteOutcome::LeaseEnded => Ok(false),
    }
}
