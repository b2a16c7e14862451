//! Child process with a log file.

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::processes::ProcessError;

/// Time within which a process must report its address.
pub(super) const LISTEN_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between reads of a log, and between attempts to start a process whose port is in use.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Text in the log of a process whose port is in use.
const PORT_IN_USE_ERROR: &str = "Address already in use";

/// Signal that can be sent to a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// SIGKILL: ends the process immediately.
    Kill,
    /// SIGTERM: asks the process to shut down.
    Terminate,
    /// SIGSTOP: pauses the process.
    Stop,
    /// SIGCONT: resumes a paused process.
    Continue,
}

/// Child process with a log file; killed when the value is dropped.
pub(super) struct Process {
    name: String,
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a program whose output goes to `{name}.log` in `dir`.
    ///
    /// # Errors
    ///
    /// Returns an error if the log cannot be created or the process cannot be started.
    pub fn spawn(
        name: &str,
        program: &Path,
        args: &[&str],
        dir: &Path,
    ) -> Result<Self, ProcessError> {
        let log = dir.join(format!("{name}.log"));
        let f = File::create(&log)?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(f.try_clone()?)
            .stderr(f)
            .spawn()?;

        Ok(Self { name: name.to_owned(), child, log })
    }

    /// Waits for a line of the log that contains `pattern` and returns it.
    ///
    /// # Errors
    ///
    /// Returns an error if there is none within `LISTEN_TIMEOUT`, the port is in use or the log
    /// cannot be read.
    pub fn wait_for_line(&self, pattern: &str) -> Result<String, ProcessError> {
        let deadline = Instant::now() + LISTEN_TIMEOUT;
        while Instant::now() < deadline {
            let text = fs::read_to_string(&self.log)?;
            // A line without a line break may still be incomplete.
            let complete_lines =
                text.rsplit_once('\n').map_or("", |(complete_lines, _)| complete_lines);
            if let Some(line) = complete_lines.lines().find(|line| line.contains(pattern)) {
                return Ok(line.to_owned());
            }
            if complete_lines.contains(PORT_IN_USE_ERROR) {
                return Err(ProcessError::PortInUse(self.name.clone()));
            }
            std::thread::sleep(POLL_INTERVAL);
        }

        Err(ProcessError::NotListening(self.name.clone()))
    }

    /// Sends a signal; for [`Signal::Kill`], also waits until the process has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the `kill` command cannot be started or waiting fails.
    pub fn signal(&mut self, signal: Signal) -> Result<(), ProcessError> {
        let flag = match signal {
            Signal::Kill => "-KILL",
            Signal::Terminate => "-TERM",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
        };

        Command::new("kill").arg(flag).arg(self.child.id().to_string()).status()?;
        if signal == Signal::Kill {
            self.child.wait()?;
        }
        Ok(())
    }

    /// Waits until the process has ended; returns its exit code, or `None` when a signal ended it.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be waited for.
    pub fn wait(&mut self) -> Result<Option<i32>, ProcessError> {
        Ok(self.child.wait()?.code())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both calls fail harmlessly when the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
