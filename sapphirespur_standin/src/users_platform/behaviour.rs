//! Ways in which the stand-in of a runner responds.

use super::early_cut::EarlyCut;
use super::endless_part::EndlessPart;
use super::resumption::{Framing, Resumption};

/// Way in which a runner responds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behaviour {
    /// Responds completely and correctly.
    Normal,
    /// Closes the connection within the event that follows this event number.
    CloseAfter(u64),
    /// Closes the connection within the event that follows event `break_after`, and gives this response to a
    /// stream that goes on.
    BreaksAndResumesAs {
        /// Number of the last event of a new stream.
        break_after: u64,
        /// Response to a stream that goes on.
        resumption: Resumption,
    },
    /// Sends this many bytes of a response with all headers, and then closes or resets the connection.
    CutAt {
        /// Number of bytes.
        bytes: usize,
        /// Framing of the body.
        framing: Framing,
        /// Whether the connection is reset.
        is_reset: bool,
    },
    /// Runs the request and closes the connection without a response.
    DropResponse,
    /// Refuses with 503 and marks the request as not executed, as a runner at capacity does.
    Full,
    /// Refuses with 503, marks the request as not executed and asks for a pause of this many
    /// milliseconds.
    PauseRequested(u64),
    /// Responds correctly and states that it is leaving.
    Leaving,
    /// Responds correctly and names the limit of requests that it takes, in thousandths a second.
    LimitNamed(u32),
    /// Responds correctly and reports its load with this value of the header.
    LoadReported(&'static str),
    /// Refuses as at capacity and states that it is leaving.
    LeavingAndFull,
    /// Refuses with 421, as if the request was meant for another runner.
    Misdirected,
    /// Responds with a signed 500.
    ServerError,
    /// Reads the request and sends no response.
    NoResponse,
    /// Sends a second response directly after the first one.
    ExtraResponse,
    /// Sends a second response this many milliseconds after the first one; streams are normal.
    DelayedExtraResponse(u64),
    /// Sends a refusal for the same request this many milliseconds after the response.
    DelayedExtraRefusal(u64),
    /// Refuses as at capacity without the attempt identifier, and sends the refusal once more this many
    /// milliseconds later.
    RefusalTwice(u64),
    /// Sends three events of a stream, then one byte every this many milliseconds without ever
    /// completing an event.
    Trickle(u64),
    /// Waits this many milliseconds before it responds; streams are normal.
    DelayedResponse(u64),
    /// Begins a response before it has read the body, and does not complete it.
    EarlyCut(EarlyCut),
    /// Responds with this status, code and reason; streams as well.
    Status(&'static str),
    /// Responds before it has read the body, and reads the body this many milliseconds later.
    EarlyResponse(u64),
    /// Sends no content length and ends the response by closing the connection; streams are normal.
    NoContentLength,
    /// Sends streams, too, without chunks and ends them by closing the connection.
    UnframedStream,
    /// Sends the head of such a stream and closes the connection before the first event.
    UnframedEmptyStream,
    /// Sends such a stream and closes the connection within the event that follows this event number.
    UnframedStreamCutAfter(u64),
    /// Responds without the server signature.
    Unsigned,
    /// Responds with the attempt identifier of another request.
    WrongAttemptId,
    /// Leaves out event 5 of a stream.
    MissingEvent,
    /// Sends events 1 to 6 of a stream at once, with the identifier of event `event` replaced by `id`.
    WrongEventId {
        /// Number of the event.
        event: u64,
        /// Identifier that it gets.
        id: u64,
    },
    /// Spoils the identifier of this event of a stream, so that it is no number.
    SpoiltEventId(u64),
    /// Waits this many milliseconds before each event.
    SlowEvents(u64),
    /// Sends a stream that stands still once for [`Runner::STALL`](super::Runner::STALL).
    StallsOnce {
        /// Last event before; 0 for the time before the head.
        after: u64,
        /// Whether it drops the request when its client closes the connection meanwhile. Otherwise it notices
        /// that when it writes.
        notices_close: bool,
        /// Whether the response says where it ends, rather than ending with its connection.
        is_framed: bool,
    },
    /// Sends streams of `events` events with a pause before each.
    Paced {
        /// Number of events.
        events: u64,
        /// Pause before each event, in milliseconds.
        pause_ms: u64,
        /// Bytes that are added to each event.
        padding: usize,
    },
    /// Crashes when it begins to respond to a request with this prompt segment before the last one,
    /// like a process that ends: all its connections close, and its port refuses new ones.
    CrashOn(u64),
    /// Crashes in the same way when it begins to run a request whose path ends with
    /// [`Runner::HARMFUL_PATH`], before it sends anything.
    CrashOnPath,
    /// Sends bytes without end in one part of the response.
    Endless {
        /// Part that does not end.
        part: EndlessPart,
        /// Pause between the pieces, in milliseconds; without one, they come as fast as they are read.
        pause_ms: u64,
    },
    /// Responds with a body of this many bytes; streams are normal.
    LargeBody(usize),
    /// Reads request bodies at 1 KB for each this many milliseconds.
    SlowBody(u64),
    /// Sends an endless stream of events, padded by this many bytes each, without a pause.
    LargeEvents(usize),
}
