//! Bytes of a connection that complete no part of a response.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use super::connect::MAX_READ_BUFFER_BYTES;

/// Bytes that were read of a connection since the last part of a response that was of use: its head or a piece
/// of its body. Shared by the stream that reads them and the body that they belong to.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadProgress(Rc<Cell<usize>>);

impl ReadProgress {
    /// Most bytes without such a part: twice the read buffer of a connection, which also bounds a head.
    const MAX_BYTES: usize = 2 * MAX_READ_BUFFER_BYTES;

    /// Records bytes that were read.
    ///
    /// # Errors
    ///
    /// Returns an error when too many came without a part of a response, for example a chunk size of endless
    /// zeros: reading on would take all processor time until the deadline.
    pub fn on_read(&self, bytes: usize) -> io::Result<()> {
        self.0.set(self.0.get().saturating_add(bytes));
        if self.0.get() > Self::MAX_BYTES {
            let message = "too many bytes without a part of a response";
            return Err(io::Error::new(io::ErrorKind::InvalidData, message));
        }
        Ok(())
    }

    /// Records a part of a response.
    pub fn on_part(&self) {
        self.0.set(0);
    }
}
