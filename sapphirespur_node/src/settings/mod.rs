//! Settings of the daemons, read from INI files and validated.

mod edge;
mod limits;
mod listen;
mod log;
mod metrics;
mod node;
mod platform;
mod rollouts;
mod router;
mod settings_error;
mod settings_file;
mod sidecar;
mod upstream;

pub use edge::{EdgeLimits, EdgeListen, EdgeSettings};
pub use limits::{RouterLimits, SidecarLimits};
pub use listen::{RouterListen, SidecarListen};
pub use log::LogSettings;
pub use metrics::MetricsSettings;
pub use node::NodeSettings;
pub use platform::PlatformSettings;
pub use router::RouterSettings;
pub use settings_error::SettingsError;
pub use settings_file::{SectionSchema, SettingsFile, find_line};
pub use sidecar::SidecarSettings;
pub use upstream::UpstreamSettings;
