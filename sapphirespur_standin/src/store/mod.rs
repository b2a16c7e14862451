//! Key-value service over the published JSON gateway of etcd v3.

mod data;
mod fault;
mod gateway;

pub use data::{Data, Entry};
pub use fault::{Fault, FaultState};
pub use gateway::run;
