//! Daemon of a sidecar, which fronts one upstream.

use std::process::ExitCode;

use sapphirespur_node::settings::SidecarSettings;
use sapphirespur_node::{daemon, sidecar};

fn main() -> ExitCode {
    daemon::main(SidecarSettings::read, sidecar::run)
}
