//! Counter of the requests that a runner runs.

use std::cell::Cell;
use std::rc::Rc;

/// Request that is running; it counts as such until it is dropped.
#[derive(Debug)]
pub(super) struct RunningRequest {
    count: Rc<Cell<usize>>,
}

impl RunningRequest {
    /// Counts a request.
    pub fn begin(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self { count: Rc::clone(count) }
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}
