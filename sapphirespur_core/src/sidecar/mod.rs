//! Sidecar: state machine through which all calls to one upstream pass.

mod admission;
mod attempt;
mod attempts;
mod cost_ratios;
mod demand_table;
mod input;
mod links;
mod output;
mod permits;
mod policy;
mod serving;
mod sidecar;
mod status;

pub use attempts::AttemptStatus;
pub use input::{AttemptStart, SidecarInput, UpstreamEvent, UpstreamFailure};
pub use output::SidecarOutput;
pub use policy::SidecarPolicy;
pub use sidecar::Sidecar;
pub use status::SidecarSelfStatus;
