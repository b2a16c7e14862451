//! Client that checks whether every answer is whole and its own.

mod call;
mod load;
mod report;

pub use call::{Answer, CallError, call_model, call_service, complete, runs};
pub use load::{LoadOptions, run as run_load};
pub use report::LoadReport;
