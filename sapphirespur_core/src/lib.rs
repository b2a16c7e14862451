//! Decision logic of the router fleet as state machines without I/O.
//!
//! Nothing in this crate opens a socket, starts a thread, reads a clock or keeps global state: time
//! and events are passed in as typed inputs, and effects are returned as typed outputs.

pub mod account;
pub mod answer;
pub mod at_most_once;
pub mod bounded_text;
pub mod collections;
pub mod config;
pub mod config_sync;
pub mod edge;
pub mod event;
pub mod fair_scheduler;
pub mod filter;
pub mod hash;
pub mod limiter;
pub mod message;
pub mod name;
pub mod request;
pub mod router;
pub mod sidecar;
pub mod time;
pub mod timers;
pub mod vm;
