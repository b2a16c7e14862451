//! Router daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use sapphirespur_node::settings::RouterSettings;

/// Routes callers' requests to the sidecars of a sapphirespur fleet.
#[derive(Debug, FromArgs)]
struct Args {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let settings = match RouterSettings::read(&args.settings) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(2);
        }
    };
    if args.check {
        println!("{}: settings are correct", args.settings.display());
        return ExitCode::SUCCESS;
    }

    match actix_rt::System::new().block_on(sapphirespur_node::router::run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}
