//! Real processes of a fleet with its stand-ins, for the demo and the end-to-end tests.

mod addresses;
mod error;
mod fleet;
mod layout;
mod process;
mod settings;

pub use error::ProcessError;
pub use fleet::ProcessFleet;
pub use layout::Layout;
pub use process::Signal;
