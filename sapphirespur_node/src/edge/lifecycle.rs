//! Lifecycle of the process: signals, graceful drain and exit.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::signal::unix::{Signal, SignalKind, signal};
use sapphirespur_core::edge::StopSchedule;
use sapphirespur_core::time::Time;

use super::shared::{Phase, Shared};
use super::ticker::reload;

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

        let stop = StopSchedule::new(cx.now(), cx.settings().limits.grace);
        cx.stop.set(Some(stop));
        log::info!(in_flight = cx.in_flight.get(); "draining");
        cx.phase.set(Phase::Draining);
        tokio::time::sleep(stop.refuse_at.since(cx.now())).await;

        cx.phase.set(Phase::Closing);
        cx.closing.notify_waiters();
        cx.deliveries.wake_blocked();
        log::info!(in_flight = cx.in_flight.get(); "closing");
        wait_while(cx, || cx.in_flight.get() > 0, stop.answer_by).await;

        // Connections that were accepted until now still get their responses.
        cx.stop_accepting.notify_one();
        cx.closing.notify_waiters();
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        let has_connections = || cx.connections.get() > 0;
        wait_while(cx, has_connections, stop.answer_by).await;

        if has_connections() {
            log::warn!(in_flight = cx.in_flight.get(), connections = cx.connections.get(); "last answers");
        }
        cx.answers_due.cancel();
        wait_while(cx, has_connections, stop.exit_at).await;
    }
}

/// Waits for as long as something is to be finished, until a time at the latest.
async fn wait_while(cx: &Shared, is_unfinished: impl Fn() -> bool, until: Time) {
    while is_unfinished() && cx.now() < until {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}
