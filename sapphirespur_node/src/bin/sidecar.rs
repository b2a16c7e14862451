//! Sidecar daemon.

use std::process::ExitCode;

use sapphirespur_node::settings::SidecarSettings;
use sapphirespur_node::{daemon, sidecar};

fn main() -> ExitCode {
    daemon::main(SidecarSettings::read, sidecar::run)
}
