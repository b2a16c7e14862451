//! Command line of the stand-ins, the client and the demo, with one subcommand each.

use std::io;
use std::net::TcpListener;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use awc::Client;
use sapphirespur_standin::client::{self, LoadOptions};
use sapphirespur_standin::engine::{self, EngineOptions};
use sapphirespur_standin::{demo, service, store, vm_list};

/// Runs one stand-in for the demo and the tests of sapphirespur.
#[derive(Debug, FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Call(CallArgs),
    Demo(DemoArgs),
    Engine(EngineArgs),
    Load(LoadArgs),
    Runs(RunsArgs),
    Service(ServiceArgs),
    Store(StoreArgs),
    VmList(VmListArgs),
}

/// Starts a fleet, sends requests, checks every answer and stops all.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
struct DemoArgs {
    /// folder for settings and logs
    #[argh(option)]
    dir: std::path::PathBuf,
    /// leave the fleet running until interrupted
    #[argh(switch)]
    keep: bool,
}

/// Prints how often the calls that start with a prefix ran at a plain service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "runs")]
struct RunsArgs {
    /// URL of the service
    #[argh(option)]
    url: String,
    /// method and start of the path
    #[argh(option)]
    prefix: String,
}

/// Key-value service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "store")]
struct StoreArgs {
    /// address to listen on
    #[argh(option)]
    listen: String,
}

/// VM list.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "vm-list")]
struct VmListArgs {
    /// address to listen on
    #[argh(option)]
    listen: String,
    /// file with the first list
    #[argh(option)]
    file: String,
    /// time until a change shows, in milliseconds
    #[argh(option, default = "0")]
    lag_ms: u64,
}

/// Model engine.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArgs {
    /// address to listen on
    #[argh(option)]
    listen: String,
    /// options as JSON
    #[argh(option, default = "String::from(\"{}\")")]
    options: String,
}

/// Plain service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "service")]
struct ServiceArgs {
    /// address to listen on
    #[argh(option)]
    listen: String,
    /// time of a call, in milliseconds
    #[argh(option, default = "5")]
    latency_ms: u64,
}

/// Makes one call and checks its answer.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "call")]
struct CallArgs {
    /// URL of the router, or of the service call
    #[argh(option)]
    url: String,
    /// bearer key
    #[argh(option)]
    key: String,
    /// model; without it a plain service is called
    #[argh(option)]
    model: Option<String>,
    /// prompt or body
    #[argh(option)]
    text: String,
    /// tokens of the answer
    #[argh(option, default = "12")]
    tokens: u64,
    /// ask for a stream
    #[argh(switch)]
    stream: bool,
    /// idempotency key
    #[argh(option)]
    idempotency_key: Option<String>,
}

/// Makes a closed-loop load and prints its figures as JSON.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
struct LoadArgs {
    /// URL of the router or engine
    #[argh(option)]
    url: String,
    /// bearer key
    #[argh(option, default = "String::from(\"none\")")]
    key: String,
    /// model
    #[argh(option)]
    model: String,
    /// requests under way at once
    #[argh(option, default = "8")]
    streams: usize,
    /// requests in all
    #[argh(option, default = "400")]
    requests: usize,
    /// tokens of each answer
    #[argh(option, default = "16")]
    tokens: u64,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match actix_rt::System::new().block_on(run(args.command)) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> io::Result<ExitCode> {
    match command {
        Command::Call(args) => return Ok(call(args).await),
        Command::Load(args) => return Ok(load(args).await),
        Command::Runs(args) => match client::count_runs(&args.url, &args.prefix).await {
            Ok(count) => println!("{count}"),
            Err(e) => {
                eprintln!("{e}");
                return Ok(ExitCode::FAILURE);
            }
        },
        Command::Demo(args) => match demo::run(&args.dir, args.keep).await {
            Ok(()) => println!("every answer was whole and its own"),
            Err(e) => {
                eprintln!("{e}");
                return Ok(ExitCode::FAILURE);
            }
        },
        Command::Store(args) => store::run(listen(&args.listen)?).await?,
        Command::VmList(args) => {
            let list = std::fs::read(args.file)?;
            let lag = Duration::from_millis(args.lag_ms);
            vm_list::run(listen(&args.listen)?, lag, list).await?;
        }
        Command::Engine(args) => {
            let options: EngineOptions = serde_json::from_str(&args.options)?;
            engine::run(listen(&args.listen)?, options).await?;
        }
        Command::Service(args) => {
            let latency = Duration::from_millis(args.latency_ms);
            service::run(listen(&args.listen)?, latency).await?;
        }
    }

    Ok(ExitCode::SUCCESS)
}

/// Binds to `address` and prints the bound address, as the system picks the port when it is 0.
fn listen(address: &str) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    println!("listening {}", listener.local_addr()?);

    Ok(listener)
}

/// Makes one call and prints the response text.
async fn call(args: CallArgs) -> ExitCode {
    let client = Client::builder().timeout(Duration::from_secs(60)).finish();
    let CallArgs { url, key, text, tokens, stream, .. } = &args;
    let response = match &args.model {
        Some(model) => client::complete(&client, url, key, model, text, *tokens, *stream).await,
        None => {
            client::call_service(&client, url, key, args.idempotency_key.as_deref(), text).await
        }
    };
    match response {
        Ok(response) => {
            println!("{}", response.text.trim());
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a load and prints its report; fails when a request failed.
async fn load(args: LoadArgs) -> ExitCode {
    let options = LoadOptions {
        base_url: args.url,
        key: args.key,
        model: args.model,
        concurrency: args.streams,
        requests: args.requests,
        tokens_per_response: args.tokens,
    };
    let report = client::run_load(&options).await;
    println!("{}", serde_json::to_string(&report).unwrap_or_default());
    if report.failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
