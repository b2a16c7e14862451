//! Writer that never waits for its reader.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Bytes that may wait for the reader.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Pause in which lines gather before they are written together.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// Pause between two looks at whether the last lines are written, and the most looks.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(10);

const MAX_FLUSH_POLLS: u32 = 30;

/// Lines that wait to be written.
#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
    is_writing: bool,
}

/// Handle by which the process waits for its last lines.
#[derive(Clone, Debug)]
pub struct FlushHandle(Arc<Mutex<Buffer>>);

impl FlushHandle {
    /// Waits until all lines are written, but no longer than a stuck reader deserves.
    pub fn wait(&self) {
        for _ in 0..MAX_FLUSH_POLLS {
            let buffer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            if buffer.bytes.is_empty() && !buffer.is_writing {
                return;
            }
            drop(buffer);
            thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

/// Writer that hands lines to a thread and drops them when too many wait.
#[derive(Debug)]
pub struct LineWriter {
    buffer: Arc<Mutex<Buffer>>,
    wake_tx: SyncSender<()>,
}

impl LineWriter {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// Returns an error when the thread cannot start.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let buffer = Arc::<Mutex<Buffer>>::default();
        let (wake_tx, wake_rx) = sync_channel(1);
        let shared = Arc::clone(&buffer);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_batches(&shared, &wake_rx, out))?;

        Ok(Self { buffer, wake_tx })
    }

    /// Returns the handle by which the process waits for its last lines.
    pub fn flush_handle(&self) -> FlushHandle {
        FlushHandle(Arc::clone(&self.buffer))
    }
}

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() + bytes.len() > MAX_BUFFERED_BYTES {
            buffer.dropped += 1;
            return Ok(bytes.len());
        }

        let was_empty = buffer.bytes.is_empty();
        buffer.bytes.extend_from_slice(bytes);
        drop(buffer);
        if was_empty {
            match self.wake_tx.try_send(()) {
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

fn write_batches(buffer: &Mutex<Buffer>, wake_rx: &Receiver<()>, mut out: impl Write) {
    let lock = || buffer.lock().unwrap_or_else(PoisonError::into_inner);
    while wake_rx.recv().is_ok() {
        thread::sleep(BATCH_DELAY);
        let (bytes, dropped) = {
            let mut buffer = lock();
            buffer.is_writing = true;
            (std::mem::take(&mut buffer.bytes), std::mem::take(&mut buffer.dropped))
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
