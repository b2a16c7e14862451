//! Launcher for the real processes of a fleet and its stand-ins, for the demo and the end-to-end
//! tests.

mod addresses;
mod error;
mod layout;
mod process;
mod process_fleet;
mod settings;

pub use error::ProcessError;
pub use layout::Layout;
pub use process::Signal;
pub use process_fleet::ProcessFleet;
