//! Settings of the daemons, read from INI files.

mod edge;
mod error;
mod file;
mod limits;
mod listen;
mod log;
mod metrics;
mod node;
mod platform;
mod router;
mod sidecar;
mod upstream;

pub use edge::{EdgeLimits, EdgeListen, EdgeSettings};
pub use error::SettingsError;
pub use file::{SectionSchema, SettingsFile, line_of};
pub use limits::{RouterLimits, SidecarLimits};
pub use listen::{RouterListen, SidecarListen};
pub use log::LogSettings;
pub use metrics::MetricsSettings;
pub use node::NodeSettings;
pub use platform::PlatformSettings;
pub use router::RouterSettings;
pub use sidecar::SidecarSettings;
pub use upstream::UpstreamSettings;
