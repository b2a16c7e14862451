//! Sidecar daemon: attempts of routers around the sidecar's decisions.

mod channel;
mod command;
mod control;
mod registry;
mod serve;
mod traffic;
mod upstream;

pub use control::run;
