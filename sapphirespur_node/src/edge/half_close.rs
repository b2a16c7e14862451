//! Write side of a connection, which can be closed while a response is awaited.

use std::cell::Cell;
use std::rc::Rc;
use std::task::Context;

use futures::task::AtomicWaker;

/// State of the write side of a connection.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Phase {
    #[default]
    Open,
    /// Closed with the next poll of the connection.
    Due,
    Closed,
}

#[derive(Debug, Default)]
struct State {
    phase: Cell<Phase>,
    /// Task that polls the connection.
    task: AtomicWaker,
}

/// Handle that closes the write side of a connection: its peer learns that nothing more is wanted, and that it
/// has closed the connection is told by reads.
#[derive(Clone, Debug, Default)]
pub(super) struct HalfClose(Rc<State>);

impl HalfClose {
    /// Closes the write side.
    pub fn close(&self) {
        if !self.is_closed() {
            self.0.phase.set(Phase::Due);
            self.0.task.wake();
        }
    }

    /// Returns whether the write side is closed, or about to be.
    pub fn is_closed(&self) -> bool {
        self.0.phase.get() != Phase::Open
    }

    /// Returns whether the connection is to close its write side now; if it stays open, the task is woken
    /// once that changes.
    pub fn take_due(&self, cx: &Context<'_>) -> bool {
        let phase = self.0.phase.get();
        match phase {
            Phase::Open => self.0.task.register(cx.waker()),
            Phase::Due => self.0.phase.set(Phase::Closed),
            Phase::Closed => {}
        }
        phase == Phase::Due
    }
}
