//! Client that checks that every response is complete and belongs to its request.

mod call;
mod load;
mod report;

pub use call::{CallError, Response, call_model, call_service, complete, count_runs};
pub use load::{LoadOptions, run as run_load};
pub use report::LoadReport;
