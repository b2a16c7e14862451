//! Send of a stream to an upstream, as its record sees it.

use crate::edge::{RecordTicket, StreamKey};
use crate::name::Name;

/// Send of a stream that can be taken up.
#[derive(Clone, Debug)]
pub struct StreamSend {
    /// Service that runs the stream.
    pub service: Name,
    /// Key under which the stream is recorded.
    pub key: StreamKey,
    /// Version of the upstream.
    pub version: Name,
    /// Number of sends of the same attempt before.
    pub ordinal: u8,
    /// Whether one of these is on record, or may be.
    pub has_record: bool,
}

/// Whether the version of a stream that is sent to an upstream will be known at other routers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SendRecord {
    /// They infer it.
    NotNeeded,
    /// It is being recorded.
    Waiting(RecordTicket),
    /// It cannot be recorded.
    Impossible,
}

/// Whether a stream whose upstream has responded may be passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BeginVerdict {
    /// It may: other routers know its version, or will not let it go on.
    PassOn,
    /// It has no record, and may begin at the base version instead.
    Elsewhere,
    /// Which version is on record is not certain, so it must not be passed on at any.
    Unknown,
}
