//! Measurements of the system's stated goals.
//!
//! `fairness` has baselines: other kinds of scheduling, run with the same topology and seed.
//! `departure` compares each run with its own phase before the absence, and `ledger` counts the
//! operations that would each be a call to the platform without batching. `capacity` and `control`
//! have no baseline: they report costs at different sizes.

pub mod capacity;
pub mod control;
pub mod departure;
pub mod fairness;
pub mod ledger;
pub mod load;
pub mod rpc;
