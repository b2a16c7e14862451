//! Measurements of the system's stated goals, each with its baselines in the same run.

pub mod capacity;
pub mod control;
pub mod departure;
pub mod fairness;
pub mod ledger;
pub mod load;
pub mod rpc;
