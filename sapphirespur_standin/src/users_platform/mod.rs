//! Stand-ins for the users' platform: its metadata store and runners.
//!
//! They run inside the process of the test. The names of the platform's protocols are repeated here
//! on purpose, so that the adapter is tested against their documentation and not against itself.

mod behaviour;
mod early_cut;
mod early_end;
mod endless_part;
mod metadata_store;
mod received_request;
mod resumption;
mod runner;
mod running_request;
mod version_fault;

pub use behaviour::Behaviour;
pub use early_cut::EarlyCut;
pub use early_end::EarlyEnd;
pub use endless_part::EndlessPart;
pub use metadata_store::{MetadataStore, StoreCopy, StoreFault};
pub use received_request::ReceivedRequest;
pub use resumption::{Framing, Resumption};
pub use runner::Runner;
pub use version_fault::VersionFault;
