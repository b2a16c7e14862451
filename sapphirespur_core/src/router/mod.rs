//! Router that queues requests and binds each one to an upstream late, when its permit arrives.

mod demand_controller;
mod dispatching;
mod input;
mod links;
mod output;
mod policy;
mod queue;
mod request_controller;
mod retry_budget;
mod router;
mod sidecar_view;
mod status;
mod topology;

pub use input::{AttemptEvent, RouterInput};
pub use output::{Dispatch, RouterOutput};
pub use policy::RouterPolicy;
pub use router::Router;
pub use status::{RouterStatus, SidecarStatus};
