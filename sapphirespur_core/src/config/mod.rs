//! Operators' configuration: its entries, changes and validation rules.

mod change;
mod class;
mod config;
mod data_centre;
mod error;
mod record;
mod service;
mod target;
mod upstream;
mod workspace;

pub use change::Change;
pub use class::Class;
pub use config::Config;
pub use data_centre::{DataCentre, DataCentreState};
pub use error::ConfigError;
pub use record::{ConfigRoot, Plan, RevisionRecord};
pub use service::{CallPattern, Model, Service};
pub use target::Target;
pub use upstream::{Upstream, UpstreamState};
pub use workspace::Workspace;
