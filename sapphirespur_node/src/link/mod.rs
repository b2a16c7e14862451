//! Control links between routers and sidecars, over Cap'n Proto RPC.

mod connection;
mod control_server;
mod links;

pub use links::{LinkEvent, Links};
