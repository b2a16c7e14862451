//! Whether the request of a connection is written.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether a request is still being written; shared by the stream that it is written to and the body of its
/// response.
///
/// An upstream can't have run a request that it has not read, and closes a connection with unread bytes by a
/// reset. So a body that ends with its connection is incomplete when this end comes before the request is
/// written, even if an end was read in place of the reset.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestProgress(Arc<AtomicBool>);

impl RequestProgress {
    /// Records that bytes of a request are to be written.
    pub fn on_write(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Records that all bytes of the request are written.
    pub fn on_written(&self) {
        self.0.store(false, Ordering::Relaxed);
    }

    /// Returns whether bytes of the request still wait to be written.
    pub fn is_writing(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}
