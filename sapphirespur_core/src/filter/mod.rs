//! Filter chain that every request passes before it is queued.

mod chain;

pub use chain::{Filter, FilterContext, run};
