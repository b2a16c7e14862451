//! Deterministic simulation of a fleet of routers and sidecars in one process and in simulated time.
//!
//! The state machines of routers and sidecars are the real ones; everything around them is
//! simulated: links that lose, duplicate and delay messages, engines with slots and cold starts, a
//! key-value service that is down, slow or loses responses. The same seed gives the same run.

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
