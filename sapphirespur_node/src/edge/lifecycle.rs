//! Lifecycle of the process: signals, graceful drain and exit.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::signal::unix::{Signal, SignalKind, signal};

use super::shared::{Phase, Shared};
use super::ticker::reload;

/// Time after a stop signal in which the load balancer still opens connections: it checks readiness
/// once a second and acts on two consecutive responses.
const BALANCER_DETECTION_DELAY: Duration = Duration::from_millis(2_500);

/// Time by which the process exits before the end of its grace period, when it would be killed.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// Interval between checks for requests still in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Signal handlers of the process.
#[derive(Debug)]
pub(super) struct Lifecycle {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Lifecycle {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// Returns an error when a signal handler cannot be installed.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Runs until a stop signal, then drains; returns when the process may exit.
    ///
    /// `SIGHUP` reloads the settings.
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
        let is_in_time = || cx.now().since(drain_started) < grace;
        while cx.in_flight.get() > 0 && is_in_time() {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }

        // Connections that were accepted until now still get their responses.
        cx.stop_accepting.notify_one();
        cx.closing.notify_waiters();
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        while cx.connections.get() > 0 && is_in_time() {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}
