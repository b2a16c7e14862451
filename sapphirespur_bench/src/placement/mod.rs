//! Simulation of routers that place requests on inference engines.
//!
//! The engines are modelled on those of the operators: they run requests in batches, prefill
//! prompts in chunks between the decode steps of other requests, and cache prompt segments in
//! limited memory. Routers decide with the production code of the edge router, or with one of the
//! baseline policies that it is compared with.

mod engine;
mod outcome;
mod policy;
mod simulation;
mod workload;

pub use engine::{Engine, EngineModel};
pub use outcome::{Outcome, RunSummary};
pub use policy::Policy;
pub use simulation::{Deployment, run};
pub use workload::{Request, TrafficPattern, Workload};
