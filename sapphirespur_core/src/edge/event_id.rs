//! Identifier of a part of an event stream.

/// What a part of an event stream, up to a blank line, says of its place in the stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventId {
    /// It is no event: only comments, or the delay of the client's next connection.
    NoEvent,
    /// Event of this number.
    Number(u64),
    /// It has content and no number, so it cannot be told whether it belongs to the stream.
    Unknown,
}
