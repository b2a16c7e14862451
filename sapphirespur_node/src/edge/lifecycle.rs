//! Life of the process: signals, drain and end.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::signal::unix::{Signal, SignalKind, signal};

use super::shared::{Phase, Shared};
use super::ticker::reload;

/// Time after a request to stop in which the balancer still sends connections: it asks once a
/// second and goes by two answers.
const BALANCER_DETECTION_DELAY: Duration = Duration::from_millis(2_500);

/// Time before the process is killed at which it ends by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// Pause between two looks at the requests that are left.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Signals of the process.
#[derive(Debug)]
pub(super) struct Lifecycle {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Lifecycle {
    /// Starts to listen for signals.
    ///
    /// # Errors
    ///
    /// Returns an error when the system does not deliver signals.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Runs until the process may end.
    pub async fn run(&mut self, cx: &Rc<Shared>) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => break,
                _ = self.interrupt.recv() => break,
                _ = self.hangup.recv() => reload(cx),
            }
        }

        log::info!(in_flight = cx.in_flight.get(); "draining");
        cx.phase.set(Phase::Draining);
        let drain_started = cx.now();
        let grace = cx.settings().limits.grace.saturating_sub(EXIT_MARGIN);
        tokio::time::sleep(BALANCER_DETECTION_DELAY.min(grace)).await;

        cx.phase.set(Phase::Closing);
        cx.closing.notify_waiters();
        log::info!(in_flight = cx.in_flight.get(); "closing");
        while cx.in_flight.get() > 0 && cx.now().since(drain_started) < grace {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}
