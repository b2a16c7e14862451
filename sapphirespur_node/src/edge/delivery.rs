//! Response bytes that wait to be written to their clients.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::task::Waker;
use std::time::Duration;

use sapphirespur_core::edge::ReaderWatch;
use sapphirespur_core::time::Time;
use thiserror::Error;

use super::buffers::BufferKind;
use super::response_phase::ResponsePhase;
use super::shared::{Phase, Shared};

/// Divisor of the limit on buffered response bytes that gives the limit on those that wait for their
/// clients; the rest is for responses that are still being received.
const UNDELIVERED_DIVISOR: usize = 2;

/// Largest room in the system for what an upstream still sends of a response that is left to the system, in bytes.
const MAX_SYSTEM_ROOM_BYTES: usize = 128 * 1024;

/// Reason why a response that its client does not read is ended.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub(super) enum UnreadReason {
    /// Nothing could be written for [`ReaderWatch::STALL_TIMEOUT`], and the deadline has passed.
    #[error("the client reads nothing")]
    Stalled,
    /// The client's system has acknowledged nothing, or left no room, for so long that the router's has
    /// given the connection up.
    #[error("the client's system acknowledges nothing")]
    Unacknowledged,
    /// The process holds too many bytes for clients that read slowly.
    #[error("too many bytes wait for clients that read slowly")]
    Memory,
}

impl UnreadReason {
    /// Returns a short name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stalled => "stalled",
            Self::Unacknowledged => "unacknowledged",
            Self::Memory => "memory",
        }
    }
}

/// Responses of the process that wait for their clients.
#[derive(Debug, Default)]
pub(super) struct Deliveries {
    /// Bytes that wait.
    bytes: Cell<usize>,
    /// Connections that have not taken what waited for them at some time.
    slow: RefCell<Vec<Weak<Delivery>>>,
}

impl Deliveries {
    /// Returns the number of bytes that wait.
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Wakes the connections that are blocked.
    pub fn wake_blocked(&self) {
        for delivery in self.slow.borrow().iter().filter_map(Weak::upgrade) {
            delivery.wake();
        }
    }
}

/// Response bytes of one client connection that wait to be written.
pub(super) struct Delivery {
    cx: Rc<Shared>,
    /// Bytes of bodies, without their framing.
    bytes: Cell<usize>,
    watch: Cell<ReaderWatch>,
    unread: Cell<Option<UnreadReason>>,
    response: Cell<ResponsePhase>,
    /// Time until which the client waits for the response; zero when it has no deadline.
    deadline: Cell<Time>,
    /// Whether the connection is listed as slow.
    is_listed: Cell<bool>,
    /// Wakes the task of the connection while it is blocked.
    waker: RefCell<Option<Waker>>,
}

impl Delivery {
    /// Creates the state of a connection without a response.
    pub fn new(cx: &Rc<Shared>) -> Rc<Self> {
        Rc::new(Self {
            cx: Rc::clone(cx),
            bytes: Cell::new(0),
            watch: Cell::default(),
            unread: Cell::default(),
            response: Cell::default(),
            deadline: Cell::default(),
            is_listed: Cell::default(),
            waker: RefCell::default(),
        })
    }

    /// Returns why the response was ended; none when it was not.
    pub fn unread_reason(&self) -> Option<UnreadReason> {
        self.unread.get()
    }

    /// Returns the number of bytes that wait.
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Returns for how long nothing could be written.
    pub fn blocked_for(&self) -> Duration {
        self.watch.get().blocked_for(self.cx.now())
    }

    /// Counts bytes that are to be written.
    pub fn add(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() + bytes);
        self.cx.buffers.hold(BufferKind::Response, bytes);
        let total = &self.cx.deliveries.bytes;
        total.set(total.get() + bytes);
        if total.get() > self.cx.settings().limits.max_buffered_bytes / UNDELIVERED_DIVISOR {
            end_costliest(&self.cx);
        }
    }

    /// Records that bytes were written, framing included.
    pub fn on_written(&self, bytes: usize) {
        self.remove(bytes);
        let mut watch = self.watch.get();
        if watch.on_written() {
            self.watch.set(watch);
            self.waker.take();
        }
    }

    /// Records that bytes wait and the connection takes none.
    pub fn on_blocked(self: &Rc<Self>, waker: &Waker) {
        let mut watch = self.watch.get();
        watch.on_blocked(self.cx.now());
        self.watch.set(watch);
        self.waker.replace(Some(waker.clone()));
        if !self.is_listed.replace(true) {
            let mut slow = self.cx.deliveries.slow.borrow_mut();
            slow.retain(|delivery| delivery.strong_count() > 0);
            slow.push(Rc::downgrade(self));
        }
    }

    /// Ends the response if its client has stalled. During a stop, the time of the exit limits the wait.
    pub fn check(&self) {
        if self.unread.get().is_some() || self.cx.stop.get().is_some() {
            return;
        }
        if self.watch.get().has_stalled(self.cx.now(), self.deadline.get()) {
            self.unread.set(Some(UnreadReason::Stalled));
        }
    }

    /// Records a request, which the client sends when it has the response to the one before.
    pub fn on_request(&self) {
        self.response.set(ResponsePhase::Awaited);
        self.deadline.set(Time::default());
    }

    /// Records until when the client waits for the response.
    pub fn set_deadline(&self, deadline: Time) {
        self.deadline.set(deadline);
    }

    /// Returns the time until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.get().since(self.cx.now())
    }

    /// Returns whether a request has no response yet.
    pub fn is_awaited(&self) -> bool {
        self.response.get() == ResponsePhase::Awaited
    }

    /// Records that the body of a response begins.
    pub fn on_body(&self) {
        self.response.set(ResponsePhase::InProgress);
    }

    /// Records that the body of the response is complete, or is not sent any further.
    pub fn on_body_end(&self) {
        self.response.set(ResponsePhase::Complete);
    }

    /// Returns whether all that waits is to be left to the system, which delivers it also after the exit of
    /// the process.
    pub fn is_left_to_system(&self) -> bool {
        self.cx.phase.get() == Phase::Closing
    }

    /// Returns the size of the system's buffer, in bytes, for a response that is left to it: what waits, and a part
    /// of the process's memory for what its upstream still sends.
    pub fn system_room(&self) -> usize {
        let portion =
            self.cx.settings().limits.max_buffered_bytes / self.cx.connections.get().max(1);
        self.bytes.get() + portion.min(MAX_SYSTEM_ROOM_BYTES)
    }

    /// Wakes the task of the connection if it is blocked.
    fn wake(&self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Records that the system has given the connection up; without a response, this is no matter of
    /// reading.
    pub fn on_unacknowledged(&self) {
        let has_response = self.response.get() == ResponsePhase::InProgress || self.bytes.get() > 0;
        if has_response && self.unread.get().is_none() {
            self.unread.set(Some(UnreadReason::Unacknowledged));
        }
    }

    /// Counts bytes less that were written, or are not to be written after all.
    pub fn remove(&self, bytes: usize) {
        let written = bytes.min(self.bytes.get());
        self.bytes.set(self.bytes.get() - written);
        self.cx.buffers.release(BufferKind::Response, written);
        let total = &self.cx.deliveries.bytes;
        total.set(total.get() - written);
    }
}

impl Drop for Delivery {
    fn drop(&mut self) {
        self.remove(self.bytes.get());
    }
}

/// Ends the response that holds most bytes for a client that does not read.
fn end_costliest(cx: &Shared) {
    let slow = cx.deliveries.slow.borrow();
    let readers: Vec<_> =
        slow.iter().filter_map(Weak::upgrade).filter(|d| d.unread.get().is_none()).collect();
    drop(slow);

    let watched = readers.iter().map(|d| (d, d.watch.get(), d.bytes.get()));
    if let Some(delivery) = ReaderWatch::costliest(cx.now(), watched) {
        delivery.unread.set(Some(UnreadReason::Memory));
        delivery.wake();
    }
}
