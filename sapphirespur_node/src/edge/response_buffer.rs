//! Body of a response while it is being received.

use std::collections::VecDeque;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};

use super::buffer_guard::BufferGuard;
use super::buffers::{BufferKind, Buffers};

/// Size of the parts in which a body is kept, in bytes. Parts of one size need no copy to grow, and their
/// memory fits the next body.
const PART_BYTES: usize = 16 * 1024;

/// Body in parts, whose memory is counted when it is allocated.
#[derive(Debug)]
pub(super) struct ResponseBuffer {
    guard: BufferGuard,
    full: VecDeque<Bytes>,
    last: BytesMut,
    /// Bytes in all parts.
    len: usize,
    /// Bytes that the head of the response says that the body has; zero when it does not.
    declared: usize,
}

impl ResponseBuffer {
    /// Creates an empty body of which the head says that it has `declared` bytes.
    pub fn new(buffers: &Rc<Buffers>, declared: usize) -> Self {
        let guard = BufferGuard::new(buffers, BufferKind::Response);
        Self { guard, full: VecDeque::new(), last: BytesMut::new(), len: 0, declared }
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Appends bytes; returns `false` when there is no memory for them.
    pub fn try_push(&mut self, mut bytes: &[u8]) -> bool {
        while !bytes.is_empty() {
            let room = self.last.capacity() - self.last.len();
            if room == 0 && !self.try_add_part() {
                return false;
            }
            let room = self.last.capacity() - self.last.len();
            let (now, later) = bytes.split_at(room.min(bytes.len()));
            self.last.extend_from_slice(now);
            self.len += now.len();
            bytes = later;
        }
        true
    }

    /// Returns the parts of the complete body.
    pub fn into_parts(mut self) -> VecDeque<Bytes> {
        if !self.last.is_empty() {
            self.full.push_back(std::mem::take(&mut self.last).freeze());
        }
        self.full
    }

    /// Begins the next part. One of a body whose length is not known is as long as all before it, so that a
    /// short body takes little.
    fn try_add_part(&mut self) -> bool {
        const FIRST_PART_BYTES: usize = 1024;

        let expected = match self.declared.saturating_sub(self.len) {
            0 => self.len.max(FIRST_PART_BYTES),
            left => left,
        };
        let capacity = expected.min(PART_BYTES);
        if !self.guard.try_grow(capacity) {
            return false;
        }
        let full = std::mem::replace(&mut self.last, BytesMut::with_capacity(capacity));
        if !full.is_empty() {
            self.full.push_back(full.freeze());
        }
        true
    }
}
