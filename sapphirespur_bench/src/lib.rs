//! Runs the decisions of many routers and sidecars in one process and in virtual time.
//!
//! The fakes at the interfaces are small: links that lose, repeat and delay messages, engines with
//! slots and cold starts, a key-value service that is down, slow or loses answers. The same seed
//! leads to the same run.

pub mod client;
pub mod engine;
pub mod fleet;
pub mod history;
pub mod invariants;
pub mod links;
pub mod measure;
pub mod placement;
pub mod platform;
pub mod rng;
pub mod sim_event;
pub mod topology;
