//! Clients of the platform's services.

mod config_store;
mod error;
mod ledger_store;
mod store;
mod store_types;
mod vm_list;

pub use config_store::{ConfigStore, ConfirmOutcome, ROOT_KEY, Stored};
pub use error::PlatformError;
pub use ledger_store::LedgerStore;
pub use store::Store;
pub use store_types::{Compare, KeyValue, Operation, Response, TxnOutcome};
pub use vm_list::VmList;
