//! Sidecar daemon: attempts of routers around the sidecar's decisions.

mod answer_channel;
mod answer_registry;
mod command;
mod control;
mod serve;
mod traffic_handler;
mod upstream;

pub use control::run;
