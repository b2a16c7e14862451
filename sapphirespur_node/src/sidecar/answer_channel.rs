//! Buffered answer of one attempt, between the call to the upstream and the routers' connections.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use sapphirespur_core::answer::AnswerLog;
use sapphirespur_wire::FrameBody;
use tokio::sync::Notify;

/// Number of bytes of an answer that are retained for resumption.
const MAX_RETAINED_BYTES: usize = 256 * 1024;

/// Number of unread frames at which the writer waits for a slow router.
const MAX_UNREAD_FRAMES: u64 = 256;

/// Time without a reader after which no router is expected to resume.
const ABANDON_TIMEOUT: Duration = Duration::from_secs(10);

/// Result of reading a frame.
#[derive(Clone, Debug)]
pub(super) enum ReadResult {
    /// The requested frame.
    Frame(FrameBody),
    /// The requested frame is not written yet.
    Empty,
    /// The answer is complete and the requested number is past its last frame.
    End,
    /// The requested frame is no longer retained.
    Evicted,
}

#[derive(Debug)]
struct State {
    log: AnswerLog<FrameBody>,
    /// Highest frame number that a reader has requested.
    read_position: u64,
    ended: bool,
    /// Number of connected readers.
    readers: u32,
    /// Time at which a reader last disconnected; at first, the creation of the channel.
    last_disconnect: Instant,
}

/// Answer of one attempt, with one writer and readers that may resume.
#[derive(Debug)]
pub(super) struct AnswerChannel {
    state: Mutex<State>,
    /// Notifies readers that a frame was written or the answer is complete.
    frame_written: Notify,
    /// Notifies the writer that a reader made progress.
    frame_read: Notify,
}

impl AnswerChannel {
    /// Creates the channel of an empty answer.
    pub fn new() -> Self {
        let state = State {
            log: AnswerLog::new(MAX_RETAINED_BYTES),
            read_position: 0,
            ended: false,
            readers: 0,
            last_disconnect: Instant::now(),
        };

        Self { state: Mutex::new(state), frame_written: Notify::new(), frame_read: Notify::new() }
    }

    /// Appends a frame to the answer and wakes the readers.
    pub fn push(&self, body: FrameBody) {
        let bytes = match &body {
            FrameBody::Data(data) => data.len(),
            _ => 0,
        };
        self.with_state(|state| state.log.push(bytes, body));

        self.frame_written.notify_waiters();
    }

    /// Marks the answer as complete.
    pub fn end(&self) {
        self.with_state(|state| state.ended = true);

        self.frame_written.notify_waiters();
    }

    /// Waits while `MAX_UNREAD_FRAMES` or more frames are unread.
    pub async fn wait_for_capacity(&self) {
        loop {
            let read = self.frame_read.notified();
            let unread = self
                .with_state(|state| state.log.next() - state.read_position.min(state.log.next()));
            if unread < MAX_UNREAD_FRAMES {
                return;
            }
            read.await;
        }
    }

    /// Reads frame `number`, and records the position for `wait_for_capacity`.
    pub fn read(&self, number: u64) -> ReadResult {
        let read = self.with_state(|state| {
            state.read_position = state.read_position.max(number);
            if number < state.log.next() {
                return state.log.get(number).map_or(ReadResult::Evicted, ReadResult::Frame);
            }
            if state.ended { ReadResult::End } else { ReadResult::Empty }
        });

        self.frame_read.notify_waiters();
        read
    }

    /// Waits until frame `number` is written or the answer is complete, at most for `limit`.
    pub async fn wait_for_frame(&self, number: u64, limit: Duration) {
        let written = self.frame_written.notified();
        let is_available = self.with_state(|state| state.ended || number < state.log.next());
        if !is_available {
            // A timeout needs no handling: the reader checks again in either case.
            let _ = tokio::time::timeout(limit, written).await;
        }
    }

    /// Returns whether a reader can resume at frame `number`.
    pub fn can_resume(&self, number: u64) -> bool {
        self.with_state(|state| state.log.can_resume(number))
    }

    /// Records that a reader connected.
    pub fn add_reader(&self) {
        self.with_state(|state| state.readers += 1);
    }

    /// Records that a reader disconnected.
    pub fn remove_reader(&self) {
        self.with_state(|state| {
            state.readers = state.readers.saturating_sub(1);
            state.last_disconnect = Instant::now();
        });
    }

    /// Returns whether the answer has had no reader for `ABANDON_TIMEOUT`.
    pub fn is_abandoned(&self) -> bool {
        self.with_state(|state| {
            state.readers == 0 && state.last_disconnect.elapsed() >= ABANDON_TIMEOUT
        })
    }

    fn with_state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        // The state stays valid when a thread panics while it holds the lock.
        let mut state = self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner);

        f(&mut state)
    }
}
