//! Sidecar daemon: serves routers' attempts as the sidecar's state machine in core decides.

mod answer_channel;
mod answer_registry;
mod command;
mod control;
mod serve;
mod traffic_handler;
mod upstream;
mod upstream_connector;

pub use control::run;
