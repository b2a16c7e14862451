//! Model of routers that place requests at model engines, with loads and experiments.
//!
//! The engines follow what operators tell of theirs: batches, prompts read in chunks between the
//! tokens of others, prompt parts kept in limited memory. Routers decide with the product's own
//! code, or by one of the plain policies that it is compared with.

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
