//! One running process with its log.

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::processes::ProcessError;

/// Time within which a process must listen.
pub(super) const LISTEN_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause between two looks at a log.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What a process says whose port another one holds.
const PORT_IN_USE_ERROR: &str = "Address already in use";

/// Signal to a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Ends it at once.
    Kill,
    /// Asks it to shut down.
    Terminate,
    /// Pauses it.
    Stop,
    /// Lets it go on.
    Continue,
}

/// Process with its log; it ends when the value is dropped.
pub(super) struct Process {
    name: String,
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a program that writes to the log of `name` in `dir`.
    ///
    /// # Errors
    ///
    /// Returns an error when the process cannot be started.
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

    /// Waits for a whole line of the log with `mark` in it.
    ///
    /// # Errors
    ///
    /// Returns an error when there is none in time or the port is taken.
    pub fn wait_for_line(&self, pattern: &str) -> Result<String, ProcessError> {
        let end = Instant::now() + LISTEN_TIMEOUT;
        while Instant::now() < end {
            let text = fs::read_to_string(&self.log)?;
            // A line without its end may not be whole yet.
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

    /// Sends a signal; a killed process has ended afterwards.
    ///
    /// # Errors
    ///
    /// Returns an error when the signal cannot be sent.
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

    /// Waits until the process has ended and returns its exit code.
    ///
    /// # Errors
    ///
    /// Returns an error when it cannot be waited for.
    pub fn wait(&mut self) -> Result<Option<i32>, ProcessError> {
        Ok(self.child.wait()?.code())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A process that has ended already needs no end.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
