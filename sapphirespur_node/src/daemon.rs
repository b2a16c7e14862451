//! Frame of both daemons: arguments, settings check, exit code and shutdown.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use actix_rt::signal::unix::{Signal, SignalKind, signal};
use argh::FromArgs;

use crate::settings::SettingsError;
use crate::start::StartError;

/// Exit code of refused settings.
const INVALID_SETTINGS_EXIT_CODE: u8 = 2;

/// Runs a daemon of a sapphirespur fleet.
#[derive(Debug, FromArgs)]
struct Args {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

/// Reads the settings that the arguments name and runs a daemon with them, or only checks them.
pub fn main<S, F>(
    read: impl FnOnce(&Path) -> Result<S, SettingsError>,
    run: impl FnOnce(S) -> F,
) -> ExitCode
where
    F: Future<Output = Result<(), StartError>>,
{
    let args: Args = argh::from_env();
    let settings = match read(&args.settings) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(INVALID_SETTINGS_EXIT_CODE);
        }
    };
    if args.check {
        println!("{}: settings are correct", args.settings.display());
        return ExitCode::SUCCESS;
    }

    match actix_rt::System::new().block_on(run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

/// Requests to shut down, and the time that a drain may take.
#[derive(Debug)]
pub struct Shutdown {
    terminate: Signal,
    interrupt: Signal,
    drain_timeout: Duration,
    deadline: Option<Instant>,
}

impl Shutdown {
    /// Starts to listen for signals; a drain may take `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error when the system does not deliver signals.
    pub fn new(drain_timeout: Duration) -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            drain_timeout,
            deadline: None,
        })
    }

    /// Waits for a request; the first one starts the time of the drain.
    pub async fn requested(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }

        self.deadline.get_or_insert_with(|| Instant::now() + self.drain_timeout);
    }

    /// Tells whether the time of the drain is over.
    pub fn is_past_deadline(&self) -> bool {
        self.deadline.is_some_and(|deadline| deadline <= Instant::now())
    }
}
