//! Demo that starts a whole fleet, sends requests through every router and checks the responses.

use std::fmt;
use std::path::Path;
use std::time::Duration;

use actix_rt::signal::unix::{SignalKind, signal};
use awc::Client;

use crate::client::{CallError, call_service, complete, count_runs};
use crate::processes::{Layout, ProcessError, ProcessFleet};

/// Model that the demo calls.
const MODEL: &str = "profile-writer";

/// Length of a response, in tokens.
const TOKENS_PER_RESPONSE: u64 = 12;

/// Workspaces whose keys the demo uses.
const WORKSPACES: [&str; 2] = ["agenzia", "katharotis"];

/// Reason why the demo fails.
#[derive(Debug)]
pub enum DemoError {
    /// A process could not be started or driven.
    Process(ProcessError),
    /// A call failed or got a wrong response.
    Call(CallError),
    /// The number of booking runs differs from the number of idempotency keys.
    RunCount {
        /// Runs that the services counted.
        actual: u64,
        /// Number of idempotency keys.
        expected: u64,
    },
}

impl fmt::Display for DemoError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Process(e) => write!(f, "{e}"),
            Self::Call(e) => write!(f, "{e}"),
            Self::RunCount { actual, expected } => {
                write!(f, "bookings ran {actual} times instead of {expected}")
            }
        }
    }
}

impl From<ProcessError> for DemoError {
    fn from(e: ProcessError) -> Self {
        Self::Process(e)
    }
}

impl From<CallError> for DemoError {
    fn from(e: CallError) -> Self {
        Self::Call(e)
    }
}

/// Runs the demo in `dir`; with `keep`, leaves the fleet running until interrupted.
///
/// # Errors
///
/// Returns the first failure of a process, call or check.
pub async fn run(dir: &Path, keep: bool) -> Result<(), DemoError> {
    let bin = std::env::current_exe().map_err(ProcessError::Io)?;
    let bin = bin.parent().map(Path::to_owned).unwrap_or_default();
    let fleet = ProcessFleet::start(Layout::default(), &bin, dir)?;
    fleet.configure()?;
    fleet.write_endpoints(&dir.join("endpoints.ini"))?;
    println!("{}", fleet.run_cli(&["history"])?);

    for workspace in WORKSPACES {
        for router in fleet.layout.router_names() {
            make_calls(&fleet, workspace, &router).await?;
        }
    }
    check_booking_runs(&fleet).await?;
    println!("{}", fleet.run_cli(&["status", "--wait-s", "5"])?);

    if keep {
        println!("running until interrupted; endpoints are in {}", dir.display());
        wait_for_interrupt().await?;
    }
    Ok(())
}

/// Waits for SIGINT or SIGTERM.
async fn wait_for_interrupt() -> Result<(), ProcessError> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }

    Ok(())
}

/// Makes a streamed and a plain completion, a lookup and a booking through `router`, and prints the
/// responses.
async fn make_calls(fleet: &ProcessFleet, workspace: &str, router: &str) -> Result<(), DemoError> {
    let client = Client::builder().timeout(Duration::from_secs(60)).finish();
    let url = fleet.router_url(router);
    let key = format!("{workspace}-demo-key");
    let service = format!("{url}/services/registry");

    println!("{workspace} through {router}");
    for (stream, kind) in [(true, "streamed"), (false, "whole")] {
        let prompt = format!("{workspace} asks {router} for a {kind} answer");
        let response =
            complete(&client, &url, &key, MODEL, &prompt, TOKENS_PER_RESPONSE, stream).await?;
        println!("  {kind}: {}", response.text.trim());
    }
    let lookup = format!("{service}/lookup");
    let text = format!("{workspace} at {router}");
    println!("  lookup: {}", call_service(&client, &lookup, &key, None, &text).await?.text);
    let bookings = format!("{service}/bookings");
    let booking = format!("booking-of-{workspace}");
    let text = format!("one booking of {workspace}");
    let response = call_service(&client, &bookings, &key, Some(&booking), &text).await?;
    println!("  booking: {}", response.text);
    Ok(())
}

/// Checks that the bookings ran once per key, although each key was sent through every router.
async fn check_booking_runs(fleet: &ProcessFleet) -> Result<(), DemoError> {
    let mut actual = 0;
    for name in fleet.layout.service_names() {
        actual += count_runs(&fleet.standin_url(&name), "POST /bookings").await?;
    }
    let expected = WORKSPACES.len() as u64;
    let routers = fleet.layout.router_names().len();

    println!(
        "bookings that ran: {actual}, for {expected} keys sent through {routers} routers each"
    );
    if actual == expected { Ok(()) } else { Err(DemoError::RunCount { actual, expected }) }
}
