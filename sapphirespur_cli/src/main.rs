//! Entry point of the operators' command line.

use std::process::ExitCode;

use sapphirespur_cli::args::Args;
use sapphirespur_cli::commands;

fn main() -> ExitCode {
    let args: Args = argh::from_env();

    let result = actix_rt::System::new().block_on(commands::run(&args));
    match result {
        Ok(exit) => exit.into(),
        Err(e) => {
            eprintln!("sapphirespur: {e}");
            e.exit().into()
        }
    }
}
