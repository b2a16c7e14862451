//! Stand-in for the key-value store of the platform, with the public JSON gateway of etcd v3.

mod fault;
mod gateway;
mod kv_store;

pub use fault::{Fault, FaultState};
pub use gateway::run;
pub use kv_store::{Entry, KvStore};
