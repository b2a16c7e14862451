//! Fake servers that a sapphirespur fleet runs against, a client that checks responses, and a
//! process launcher.
//!
//! For the demo and the tests only: no product crate depends on this one.

pub mod client;
pub mod demo;
pub mod engine;
pub mod loopback;
pub mod processes;
pub mod serve;
pub mod service;
pub mod store;
pub mod users_platform;
pub mod vm_list;
