//! Clients of the platform's key-value store and VM list.

mod config_store;
mod ledger_store;
mod platform_error;
mod store;
mod store_types;
mod vm_list;

pub use config_store::{ConfigStore, ConfirmOutcome, ROOT_KEY, StoredConfig};
pub use ledger_store::LedgerStore;
pub use platform_error::PlatformError;
pub use store::Store;
pub use store_types::{Compare, KeyValue, Operation, Response, TxnOutcome};
pub use vm_list::VmList;
