//! Writer that never waits for its reader.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Bytes that may wait for the reader.
const MAX_WAITING_BYTES: usize = 256 * 1024;

/// Pause in which lines gather before they are written together.
const GATHER: Duration = Duration::from_millis(100);

/// Pause between two looks at whether the last lines are written, and the most looks.
const LAST_LINES_PAUSE: Duration = Duration::from_millis(10);
const LAST_LINES_POLLS: u32 = 30;

/// Lines that wait to be written.
#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped: u64,
    is_writing: bool,
}

/// Handle by which the process waits for its last lines.
#[derive(Clone, Debug)]
pub struct FlushHandle(Arc<Mutex<Waiting>>);

impl FlushHandle {
    /// Waits until all lines are written, but no longer than a stuck reader deserves.
    pub fn wait(&self) {
        for _ in 0..LAST_LINES_POLLS {
            let waiting = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            if waiting.bytes.is_empty() && !waiting.is_writing {
                return;
            }
            drop(waiting);
            thread::sleep(LAST_LINES_PAUSE);
        }
    }
}

/// Writer that hands lines to a thread and drops them when too many wait.
#[derive(Debug)]
pub struct LineWriter {
    waiting: Arc<Mutex<Waiting>>,
    wake: SyncSender<()>,
}

impl LineWriter {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// Returns an error when the thread cannot start.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let waiting = Arc::<Mutex<Waiting>>::default();
        let (wake, woken) = sync_channel(1);
        let shared = Arc::clone(&waiting);
        thread::Builder::new().name("log".to_owned()).spawn(move || drain(&shared, &woken, out))?;

        Ok(Self { waiting, wake })
    }

    /// Returns the handle by which the process waits for its last lines.
    pub fn flush_handle(&self) -> FlushHandle {
        FlushHandle(Arc::clone(&self.waiting))
    }
}

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.bytes.len() + bytes.len() > MAX_WAITING_BYTES {
            waiting.dropped += 1;
            return Ok(bytes.len());
        }

        let was_empty = waiting.bytes.is_empty();
        waiting.bytes.extend_from_slice(bytes);
        drop(waiting);
        if was_empty {
            match self.wake.try_send(()) {
                // The thread is awake already.
                Ok(()) | Err(TrySendError::Full(())) => {}
                Err(TrySendError::Disconnected(())) => return Err(io::ErrorKind::BrokenPipe.into()),
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn drain(waiting: &Mutex<Waiting>, woken: &Receiver<()>, mut out: impl Write) {
    let lock = || waiting.lock().unwrap_or_else(PoisonError::into_inner);
    while woken.recv().is_ok() {
        thread::sleep(GATHER);
        let (bytes, dropped) = {
            let mut waiting = lock();
            waiting.is_writing = true;
            (std::mem::take(&mut waiting.bytes), std::mem::take(&mut waiting.dropped))
        };
        let written = write_lines(&mut out, &bytes, dropped);
        lock().is_writing = false;
        if written.is_err() {
            return;
        }
    }
}

fn write_lines(out: &mut impl Write, bytes: &[u8], dropped: u64) -> io::Result<()> {
    out.write_all(bytes)?;
    if dropped > 0 {
        writeln!(
            out,
            "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"lines\":{dropped}}}"
        )?;
    }
    out.flush()
}
