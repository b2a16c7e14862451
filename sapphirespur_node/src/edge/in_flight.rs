//! Claims on what a request holds, given back when dropped.

use std::rc::Rc;

use sapphirespur_core::edge::{InFlightRequest, SendOutcome};

use super::shared::Shared;

/// Claim on an upstream.
pub(super) struct Claim {
    cx: Rc<Shared>,
    ticket: InFlightRequest,
    is_finished: bool,
}

impl Claim {
    /// Takes the claim that was placed.
    pub fn new(cx: &Rc<Shared>, ticket: InFlightRequest) -> Self {
        Self { cx: Rc::clone(cx), ticket, is_finished: false }
    }

    /// Returns the name of the upstream.
    pub fn upstream(&self) -> &str {
        self.ticket.upstream.as_str()
    }

    /// Notes the head of an answer, which comes with its first event.
    pub fn first_event(&mut self) {
        let now = self.cx.now();
        self.cx.router.borrow_mut().on_first_event(now, &mut self.ticket);
    }

    /// Notes whole events of a stream.
    pub fn events(&mut self, count: u32) {
        let now = self.cx.now();
        self.cx.router.borrow_mut().on_events(now, &mut self.ticket, count);
    }

    /// Ends the claim.
    pub fn finish(mut self, outcome: SendOutcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: SendOutcome) {
        if !self.is_finished {
            self.is_finished = true;
            self.cx.router.borrow_mut().finish(self.cx.now(), &self.ticket, outcome);
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.end(SendOutcome::Abandoned);
    }
}

/// Presence of a request in the process.
pub(super) struct Presence {
    cx: Rc<Shared>,
    buffered: usize,
}

impl Presence {
    /// Counts a request.
    pub fn new(cx: &Rc<Shared>) -> Self {
        cx.in_flight.set(cx.in_flight.get() + 1);

        Self { cx: Rc::clone(cx), buffered: 0 }
    }

    /// Returns the number of requests in the process.
    pub fn count(&self) -> usize {
        self.cx.in_flight.get()
    }

    /// Counts bytes of its body; tells whether the process has room for them.
    pub fn buffer(&mut self, bytes: usize) -> bool {
        let total = self.cx.buffered.get() + bytes;
        if total > self.cx.settings().limits.max_buffered_bytes {
            return false;
        }
        self.cx.buffered.set(total);
        self.buffered += bytes;
        true
    }
}

impl Drop for Presence {
    fn drop(&mut self) {
        self.cx.in_flight.set(self.cx.in_flight.get() - 1);
        self.cx.buffered.set(self.cx.buffered.get() - self.buffered);
    }
}
