//! Whether a request may have run.

use std::cell::Cell;

/// Whether a request may have run, for the answer to a client whose request is ended early.
#[derive(Debug, Default)]
pub(super) struct RunState {
    /// Sends whose upstream has not said that it did not run the request.
    open_sends: Cell<u32>,
}

impl RunState {
    /// Records that the request is sent to an upstream.
    pub fn on_send(&self) {
        self.open_sends.set(self.open_sends.get() + 1);
    }

    /// Records that the last send did not run the request.
    pub fn on_not_run(&self) {
        self.open_sends.set(self.open_sends.get().saturating_sub(1));
    }

    /// Returns whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        self.open_sends.get() > 0
    }
}
