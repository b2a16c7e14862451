//! Entry point of the daemons: arguments, settings check, exit code and shutdown.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use actix_rt::signal::unix::{Signal, SignalKind, signal};
use argh::FromArgs;

use crate::settings::SettingsError;
use crate::start::StartError;

/// Exit code when the settings are invalid.
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

/// Reads the settings file given in the arguments and runs a daemon with it.
///
/// With `--check`, only validates the settings. Returns exit code 2 for invalid settings and 1 when
/// the daemon fails.
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

/// Shutdown signals and the deadline of the drain that follows them.
#[derive(Debug)]
pub struct Shutdown {
    terminate: Signal,
    interrupt: Signal,
    /// Maximum duration of a drain.
    drain_timeout: Duration,
    /// End of the drain; `None` until the first signal.
    deadline: Option<Instant>,
}

impl Shutdown {
    /// Registers handlers for SIGTERM and SIGINT; a drain may take at most `drain_timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error when a signal handler cannot be registered.
    pub fn new(drain_timeout: Duration) -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            drain_timeout,
            deadline: None,
        })
    }

    /// Waits for the next shutdown signal; the first one sets the deadline of the drain.
    pub async fn requested(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }

        self.deadline.get_or_insert_with(|| Instant::now() + self.drain_timeout);
    }

    /// Returns whether the deadline of the drain has passed; false before the first signal.
    pub fn is_past_deadline(&self) -> bool {
        self.deadline.is_some_and(|deadline| deadline <= Instant::now())
    }
}
