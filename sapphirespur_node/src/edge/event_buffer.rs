//! Splitting of a server-sent event stream into complete events.

use bytes::{Bytes, BytesMut};
use sapphirespur_core::edge::EventId;

/// Complete server-sent event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Bytes of the event, including the blank line that ends it.
    pub bytes: Bytes,
    /// Number from the `id` field.
    pub id: EventId,
}

/// Buffer of received bytes from which complete events are taken.
#[derive(Debug, Default)]
pub struct EventBuffer {
    buf: BytesMut,
    /// Offset in `buf` from which the search for the end of an event resumes.
    scanned: usize,
}

impl EventBuffer {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        self.scanned = 0;
        let bytes = self.buf.split_to(end).freeze();
        let id = event_id(&bytes);

        Some(Event { bytes, id })
    }

    /// Returns whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Returns the number of buffered bytes.
    pub fn len(&self) -> usize {
        self.buf.len()
    }

    /// Returns the most bytes of memory that the buffer takes with `bytes` more. It doubles when it grows, and
    /// those that it has outgrown come to as much again: they rarely fit another use at once.
    pub fn memory_with(&self, bytes: usize) -> usize {
        let (capacity, len) = (self.buf.capacity(), self.buf.len() + bytes);
        let capacity = if len <= capacity { capacity } else { len.max(2 * capacity) };
        2 * capacity
    }

    /// Returns the offset after the first blank line, where the first event ends.
    fn find_end(&mut self) -> Option<usize> {
        let mut at = self.scanned;
        while let Some(offset) = self.buf[at..].iter().position(|byte| *byte == b'\n') {
            let line_end = at + offset + 1;
            match self.buf[line_end..] {
                [b'\n', ..] => return Some(line_end + 1),
                [b'\r', b'\n', ..] => return Some(line_end + 2),
                // The next byte decides whether this is a blank line.
                [] | [b'\r'] => {
                    self.scanned = line_end - 1;
                    return None;
                }
                _ => at = line_end,
            }
        }
        self.scanned = self.buf.len();
        None
    }
}

/// Returns the number in the first `id` field, or whether the lines are no event.
fn event_id(bytes: &[u8]) -> EventId {
    let mut lines = bytes.split(|byte| *byte == b'\n');
    if lines.clone().all(is_no_content) {
        return EventId::NoEvent;
    }
    lines
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|value| value.trim().parse().ok())
        .map_or(EventId::Unknown, EventId::Number)
}

/// Returns whether a line is blank, a comment or a delay of the client's next connection.
fn is_no_content(line: &[u8]) -> bool {
    matches!(line, [] | b"\r" | [b':', ..]) || line.starts_with(b"retry:")
}
