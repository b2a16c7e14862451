//! Splitting of a stream into whole events.

use bytes::{Bytes, BytesMut};

/// Whole event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Bytes with the blank line at their end.
    pub bytes: Bytes,
    /// Identifier, when it has one that is a number.
    pub id: Option<u64>,
}

/// Bytes of a stream that do not make a whole event yet.
#[derive(Debug, Default)]
pub struct EventBuffer {
    buf: BytesMut,
    scanned: usize,
}

impl EventBuffer {
    /// Takes bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        self.scanned = 0;
        let bytes = self.buf.split_to(end).freeze();
        let id = event_id(&bytes);

        Some(Event { bytes, id })
    }

    /// Tells whether a part of an event is left.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Returns the number of bytes that wait for the rest of their event.
    pub fn len(&self) -> usize {
        self.buf.len()
    }

    /// Returns the end of the first event: behind the first blank line.
    fn find_end(&mut self) -> Option<usize> {
        let mut at = self.scanned;
        while let Some(offset) = self.buf[at..].iter().position(|byte| *byte == b'\n') {
            let line_end = at + offset + 1;
            match self.buf[line_end..] {
                [b'\n', ..] => return Some(line_end + 1),
                [b'\r', b'\n', ..] => return Some(line_end + 2),
                // The next byte decides.
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

fn event_id(bytes: &[u8]) -> Option<u64> {
    bytes
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|value| value.trim().parse().ok())
}
