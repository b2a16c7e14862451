//! Sidecar: the only gate to its upstream.

mod attempt;
mod attempts;
mod demand_book;
mod input;
mod output;
mod permits;
mod policy;
mod ratio;
mod sidecar;
mod status;

pub use attempts::AttemptFate;
pub use input::{SidecarInput, Start, UpstreamEvent, UpstreamFailure};
pub use output::SidecarOutput;
pub use policy::SidecarPolicy;
pub use sidecar::Sidecar;
pub use status::SidecarSelfStatus;
