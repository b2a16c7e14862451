//! Writer for log lines that never blocks its caller.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Maximum number of buffered bytes; lines beyond it are dropped.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Delay for which lines are collected before they are written together.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// Interval at which a flush checks whether all lines are written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum number of checks of a flush.
const MAX_FLUSH_POLLS: u32 = 30;

/// Lines that the writer thread has not written yet.
#[derive(Debug, Default)]
struct Buffer {
    /// Lines in the order in which they were logged, at most `MAX_BUFFERED_BYTES` in all.
    bytes: Vec<u8>,
    /// Number of lines dropped since the thread last took the buffer.
    dropped: u64,
    /// Whether the thread is writing lines that it took.
    is_writing: bool,
}

/// Handle that waits until the lines of a [`LineWriter`] are written.
#[derive(Clone, Debug)]
pub struct FlushHandle(Arc<Mutex<Buffer>>);

impl FlushHandle {
    /// Waits until all lines are written, at most 300 ms, so that a reader that has stopped reading
    /// cannot block the exit of the process.
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

/// Writer that passes lines to a thread and drops lines when its buffer is full.
#[derive(Debug)]
pub struct LineWriter {
    buffer: Arc<Mutex<Buffer>>,
    /// Beginning of the line that is being written: a line comes in several parts, and is buffered or dropped as a
    /// whole.
    line: Vec<u8>,
    /// Whether the line is too long for the buffer.
    is_too_long: bool,
    /// Channel that wakes the thread when the buffer is no longer empty.
    wake_tx: SyncSender<()>,
}

impl LineWriter {
    /// Creates a writer and starts the thread that writes its lines to `out`.
    ///
    /// # Errors
    ///
    /// Returns an error when the thread cannot be started.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let buffer = Arc::<Mutex<Buffer>>::default();
        let (wake_tx, wake_rx) = sync_channel(1);
        let shared = Arc::clone(&buffer);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_batches(&shared, &wake_rx, out))?;

        Ok(Self { buffer, line: Vec::new(), is_too_long: false, wake_tx })
    }

    /// Returns a handle that waits until the lines are written.
    pub fn flush_handle(&self) -> FlushHandle {
        FlushHandle(Arc::clone(&self.buffer))
    }

    /// Moves the complete line to the buffer, or drops it. Returns whether the thread is to be woken, which has
    /// taken all that was there before.
    fn buffer_line(&mut self) -> bool {
        let is_too_long = std::mem::take(&mut self.is_too_long);
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let was_empty = buffer.bytes.is_empty();
        let is_dropped = is_too_long || buffer.bytes.len() + self.line.len() > MAX_BUFFERED_BYTES;
        if is_dropped {
            buffer.dropped += 1;
        } else {
            buffer.bytes.extend_from_slice(&self.line);
        }
        self.line.clear();
        was_empty
    }
}

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.is_too_long |= self.line.len() + bytes.len() > MAX_BUFFERED_BYTES;
        if !self.is_too_long {
            self.line.extend_from_slice(bytes);
        }
        if bytes.ends_with(b"\n") && self.buffer_line() {
            match self.wake_tx.try_send(()) {
                // When the channel is full, the thread has a wake-up pending.
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

/// Writes buffered lines in batches until the writer is dropped or a write fails.
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

/// Writes a batch, followed by a log line with the number of dropped lines, if any.
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
