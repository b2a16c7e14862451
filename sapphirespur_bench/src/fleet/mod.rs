//! Simulation of a fleet in simulated time.

mod attempts;
mod clients;
mod faults;
mod fleet;
mod links;
mod nodes;
mod platform;
mod upstreams;

pub use fleet::{Fleet, FleetOptions, START};
pub use nodes::{Node, NodeInput, StateMachine};
pub use platform::PLATFORM;
