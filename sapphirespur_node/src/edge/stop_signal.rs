//! Signal to the requests of a process that stops.

use std::cell::Cell;

use tokio::sync::Notify;

/// Signal that is sent once, also to those who wait for it later.
#[derive(Debug, Default)]
pub(super) struct StopSignal {
    is_sent: Cell<bool>,
    sent: Notify,
}

impl StopSignal {
    /// Sends the signal.
    pub fn send(&self) {
        self.is_sent.set(true);
        self.sent.notify_waiters();
    }

    /// Waits until the signal is sent.
    pub async fn wait(&self) {
        // Nothing else runs on the thread between the check and the wait.
        if !self.is_sent.get() {
            self.sent.notified().await;
        }
    }
}
