//! Bytes that are held for one message.

use std::rc::Rc;

use super::buffers::{BufferKind, Buffers};

/// Counts the bytes of a message until it is dropped.
#[derive(Debug)]
pub(super) struct BufferGuard {
    buffers: Rc<Buffers>,
    kind: BufferKind,
    bytes: usize,
}

impl BufferGuard {
    /// Counts a message of a kind, of which nothing is held yet.
    pub fn new(buffers: &Rc<Buffers>, kind: BufferKind) -> Self {
        Self { buffers: Rc::clone(buffers), kind, bytes: 0 }
    }

    /// Moves what is counted to a guard of its own.
    pub fn take(&mut self) -> Self {
        let bytes = std::mem::take(&mut self.bytes);
        Self { buffers: Rc::clone(&self.buffers), kind: self.kind, bytes }
    }

    /// Counts `bytes` more if that is allowed; returns `false` without counting them otherwise.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let is_allowed = self.buffers.try_grow(self.kind, self.bytes, bytes);
        if is_allowed {
            self.bytes += bytes;
        }
        is_allowed
    }

    /// Counts `bytes` instead of those so far if that is allowed, as fewer always are; returns `false`
    /// otherwise.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        if bytes > self.bytes {
            return self.try_grow(bytes - self.bytes);
        }
        self.buffers.release(self.kind, self.bytes - bytes);
        self.bytes = bytes;
        true
    }
}

impl Drop for BufferGuard {
    fn drop(&mut self) {
        self.buffers.release(self.kind, self.bytes);
    }
}
