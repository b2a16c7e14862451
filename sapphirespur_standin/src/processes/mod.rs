//! Real processes of a fleet with its stand-ins, for the demo and the end-to-end tests.

mod error;
mod fleet;
mod layout;
mod settings;

pub use error::ProcessError;
pub use fleet::{ProcessFleet, Signal};
pub use layout::Layout;
