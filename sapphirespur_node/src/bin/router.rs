//! Daemon of a router that sends requests to sidecars.

use std::process::ExitCode;

use sapphirespur_node::settings::RouterSettings;
use sapphirespur_node::{daemon, router};

fn main() -> ExitCode {
    daemon::main(RouterSettings::read, router::run)
}
