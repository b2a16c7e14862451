//! Implementations of the commands, and the context that they share.

mod confirm;
mod export;
mod history;
mod key_digest;
mod plan;
mod router;
mod status;

use serde::Serialize;

use sapphirespur_node::platform::{ConfigStore, Store, VmList};

use crate::args::{Args, Command};
use crate::error::CommandError;
use crate::exit::Exit;
use crate::settings::OperatorSettings;

/// Settings, platform clients and output format that the commands share.
struct Context {
    settings: OperatorSettings,
    store: ConfigStore,
    vm_list: VmList,
    /// Whether to print JSON in place of tables.
    json: bool,
}

/// Runs the command that the arguments select.
///
/// # Errors
///
/// Returns the error of the command, which also determines the exit code.
pub async fn run(args: &Args) -> Result<Exit, CommandError> {
    match &args.command {
        Command::KeyDigest(_) => key_digest::run(),
        Command::Router(router) => router::run(router, args.json).await,
        Command::Confirm(confirm) => confirm::run(&Context::new(args)?, confirm).await,
        Command::DataCentre(change) => plan::run_data_centre(&Context::new(args)?, change).await,
        Command::Export(_) => export::run(&Context::new(args)?).await,
        Command::History(_) => history::run(&Context::new(args)?).await,
        Command::Plan(plan) => plan::run(&Context::new(args)?, plan).await,
        Command::Status(status) => status::run(&Context::new(args)?, status).await,
    }
}

impl Context {
    /// Reads the operator's settings and creates the platform clients.
    fn new(args: &Args) -> Result<Self, CommandError> {
        let settings = OperatorSettings::read(&args.settings)?;

        Ok(Self {
            store: ConfigStore::new(Store::new(&settings.platform.store_url, None)),
            vm_list: VmList::new(&settings.platform.vm_list_url),
            settings,
            json: args.json,
        })
    }

    /// Prints `value` as JSON or, by default, `text`.
    fn print(&self, value: &impl Serialize, text: &str) -> Result<(), CommandError> {
        if self.json {
            println!("{}", serde_json::to_string(value)?);
        } else {
            print!("{text}");
        }
        Ok(())
    }
}
