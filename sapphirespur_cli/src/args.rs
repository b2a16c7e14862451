//! Command-line arguments; the doc comments of types and fields are the help texts.

use std::path::PathBuf;

use argh::FromArgs;

/// Operates a sapphirespur fleet: plans changes, confirms them and shows what is in force.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// settings file of the operator
    #[argh(option, default = "PathBuf::from(\"/etc/sapphirespur/operator.ini\")")]
    pub settings: PathBuf,
    /// print JSON in place of tables
    #[argh(switch)]
    pub json: bool,
    /// command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// Command to run.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Confirms a plan.
    Confirm(ConfirmArgs),
    /// Plans to take a data centre out or back in.
    DataCentre(DataCentreArgs),
    /// Prints the configuration as an intent.
    Export(ExportArgs),
    /// Prints the record of changes.
    History(HistoryArgs),
    /// Prints the digest of a bearer key.
    KeyDigest(KeyDigestArgs),
    /// Plans the changes of an intent.
    Plan(PlanArgs),
    /// Shows what one router believes.
    Router(RouterArgs),
    /// Shows what is in force where.
    Status(StatusArgs),
}

/// Plans the changes of an intent; nothing takes effect before the plan is confirmed.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plan")]
pub struct PlanArgs {
    /// intent file in INI
    #[argh(positional)]
    pub intent: PathBuf,
    /// why the changes are wanted, for the record
    #[argh(option, default = "String::new()")]
    pub reason: String,
}

/// Plans to take a data centre out or back in; confirm the plan afterwards.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "data-centre")]
pub struct DataCentreArgs {
    /// state: 'out' or 'in'
    #[argh(positional, from_str_fn(parse_state))]
    pub state: sapphirespur_core::config::DataCentreState,
    /// name of the data centre
    #[argh(positional)]
    pub name: String,
    /// why the change is wanted, for the record
    #[argh(option, default = "String::new()")]
    pub reason: String,
}

/// Confirms a plan, so that it takes effect; confirming again tells whether it did.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "confirm")]
pub struct ConfirmArgs {
    /// identifier that 'plan' printed
    #[argh(positional)]
    pub plan: String,
}

/// Shows which revision is accepted and which processes have it in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// wait so many seconds for all processes to have the accepted revision
    #[argh(option, default = "0")]
    pub wait_s: u64,
}

/// Shows what a router without sidecars believes: configuration, other routers and upstreams.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "router")]
pub struct RouterArgs {
    /// address for operators, the router's 'peers' setting, as ip:port
    #[argh(positional)]
    pub address: std::net::SocketAddr,
}

/// Prints the record of changes: who, when, why and what.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct HistoryArgs {}

/// Prints the accepted configuration as an intent that creates it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "export")]
pub struct ExportArgs {}

/// Reads a bearer key from standard input and prints its digest for an intent.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "key-digest")]
pub struct KeyDigestArgs {}

fn parse_state(text: &str) -> Result<sapphirespur_core::config::DataCentreState, String> {
    use sapphirespur_core::config::DataCentreState;

    match text {
        "in" => Ok(DataCentreState::In),
        "out" => Ok(DataCentreState::Out),
        _ => Err("expected 'in' or 'out'".to_owned()),
    }
}
