//! Guards for the resources that a request holds, released when dropped.

use std::rc::Rc;

use sapphirespur_core::edge::{InFlightRequest, SendOutcome};

use super::dialect::ResponseHead;
use super::shared::Shared;

/// Reservation at an upstream for one send; ends as abandoned when dropped before it is finished.
pub(super) struct UpstreamReservation {
    cx: Rc<Shared>,
    request: InFlightRequest,
    is_finished: bool,
}

impl UpstreamReservation {
    /// Wraps the reservation that admission made.
    pub fn new(cx: &Rc<Shared>, request: InFlightRequest) -> Self {
        Self { cx: Rc::clone(cx), request, is_finished: false }
    }

    /// Returns the name of the upstream.
    pub fn upstream(&self) -> &str {
        self.request.upstream.as_str()
    }

    /// Records the head of a response, which arrives with its first event, and what it says of the
    /// upstream.
    pub fn on_head(&mut self, head: &ResponseHead) {
        let now = self.cx.now();
        let mut router = self.cx.router.borrow_mut();
        router.on_first_event(now, &mut self.request);
        // A different instance has responded; nothing is known of the one that was meant.
        if head.is_misdirected {
            return;
        }
        if head.is_leaving && router.on_leaving(&self.request) {
            log::info!(upstream = self.request.upstream.as_str(); "upstream leaves, as it responded");
        }
        if let Some(pause) = head.pause {
            router.on_pause_requested(now, &self.request, pause);
            if self.cx.may_log_failure() {
                log::info!(upstream = self.request.upstream.as_str(), pause_ms = pause.as_millis() as u64; "upstream asked for a pause");
            }
        }
    }

    /// Records `count` complete events of a stream.
    pub fn on_events(&mut self, count: u32) {
        let now = self.cx.now();
        self.cx.router.borrow_mut().on_events(now, &mut self.request, count);
    }

    /// Ends the reservation with the outcome of the send.
    pub fn finish(mut self, outcome: SendOutcome) {
        self.finish_once(outcome);
    }

    fn finish_once(&mut self, outcome: SendOutcome) {
        if !self.is_finished {
            self.is_finished = true;
            self.cx.router.borrow_mut().finish(self.cx.now(), &self.request, outcome);
        }
    }
}

impl Drop for UpstreamReservation {
    fn drop(&mut self) {
        self.finish_once(SendOutcome::Abandoned);
    }
}

/// Counts one request and its buffered body bytes while it is in the process.
pub(super) struct RequestGuard {
    cx: Rc<Shared>,
    buffered_bytes: usize,
}

impl RequestGuard {
    /// Counts a new request as in flight until the guard is dropped.
    pub fn new(cx: &Rc<Shared>) -> Self {
        cx.in_flight.set(cx.in_flight.get() + 1);

        Self { cx: Rc::clone(cx), buffered_bytes: 0 }
    }

    /// Returns the number of requests that the process is serving.
    pub fn in_flight(&self) -> usize {
        self.cx.in_flight.get()
    }

    /// Counts `bytes` of the request body if the buffer limit of the process allows it; returns
    /// `false` without counting them otherwise.
    pub fn try_buffer(&mut self, bytes: usize) -> bool {
        let total = self.cx.buffered_bytes.get() + bytes;
        if total > self.cx.settings().limits.max_buffered_bytes {
            return false;
        }
        self.cx.buffered_bytes.set(total);
        self.buffered_bytes += bytes;
        true
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.cx.in_flight.set(self.cx.in_flight.get() - 1);
        self.cx.buffered_bytes.set(self.cx.buffered_bytes.get() - self.buffered_bytes);
    }
}
