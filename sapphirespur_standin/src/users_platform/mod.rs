//! Stand-ins for the users' platform: its metadata store and runners.
//!
//! They run inside a test's process; the names of the platform's protocols are written out here a
//! second time, so that the adapter is tested against its pages and not against itself.

mod metadata_store;
mod runner;

pub use metadata_store::{MetadataStore, StoreFault};
pub use runner::{Behaviour, ReceivedRequest, Runner};
