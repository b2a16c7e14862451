//! Stand-ins for the users' platform: its metadata store and runners.
//!
//! They run inside the process of the test. The names of the platform's protocols are repeated here
//! on purpose, so that the adapter is tested against their documentation and not against itself.

mod metadata_store;
mod runner;

pub use metadata_store::{MetadataStore, StoreCopy, StoreFault};
pub use runner::{Behaviour, EndlessPart, ReceivedRequest, Runner};
