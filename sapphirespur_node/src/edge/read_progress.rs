//! Bytes of a connection that complete no part of a response.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;

use super::buffer_guard::BufferGuard;
use super::buffers::{BufferKind, Buffers};
use super::connect::MAX_READ_BUFFER_BYTES;
use super::metered_stream::MAX_READ_BYTES;

/// Bytes that were read of a connection since the last part of a response that was of use: its head or a piece
/// of its body. Shared by the stream that reads them and the body that they belong to.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadProgress(Rc<Unused>);

#[derive(Debug, Default)]
struct Unused {
    bytes: Cell<usize>,
    /// Counts the buffer with these bytes; absent where they count toward no limit.
    buffer: Option<RefCell<BufferGuard>>,
}

impl ReadProgress {
    /// Most bytes without such a part: twice the read buffer of a connection, which also bounds a head.
    const MAX_BYTES: usize = 2 * MAX_READ_BUFFER_BYTES;

    /// Creates the state of a connection whose bytes count as part of a response.
    pub fn counted(buffers: &Rc<Buffers>) -> Self {
        let guard = BufferGuard::new(buffers, BufferKind::Response);
        Self(Rc::new(Unused { bytes: Cell::new(0), buffer: Some(RefCell::new(guard)) }))
    }

    /// Records bytes that were read.
    ///
    /// # Errors
    ///
    /// Returns an error when too many came without a part of a response, for example a chunk size of endless
    /// zeros: reading on would take all processor time until the deadline. It is the same when the process has
    /// no memory for them.
    pub fn on_read(&self, bytes: usize) -> io::Result<()> {
        let unused = &self.0.bytes;
        unused.set(unused.get().saturating_add(bytes));
        if unused.get() > Self::MAX_BYTES || !self.try_hold(unused.get()) {
            let message = "too many bytes without a part of a response";
            return Err(io::Error::new(io::ErrorKind::InvalidData, message));
        }
        Ok(())
    }

    /// Records a part of a response.
    pub fn on_part(&self) {
        self.0.bytes.set(0);
        self.try_hold(0);
    }

    /// Records the head of a response, and returns what counts its bytes.
    pub fn on_head(&self) -> Option<BufferGuard> {
        self.0.bytes.set(0);
        self.0.buffer.as_ref().map(|buffer| buffer.borrow_mut().take())
    }

    /// Counts the buffer for `bytes`, which doubles as it grows. The first one belongs to the connection.
    fn try_hold(&self, bytes: usize) -> bool {
        let capacity = if bytes <= MAX_READ_BYTES { 0 } else { bytes.next_power_of_two() };
        self.0.buffer.as_ref().is_none_or(|buffer| buffer.borrow_mut().try_resize(capacity))
    }
}
