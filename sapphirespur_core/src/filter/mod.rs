//! Filter chain that every request passes before it waits.

mod chain;

pub use chain::{Filter, FilterContext, run};
