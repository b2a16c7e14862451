//! Answer of one attempt between the upstream and the routers' connections.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use sapphirespur_core::answer::AnswerLog;
use sapphirespur_wire::FrameBody;
use tokio::sync::Notify;

/// Bytes of an answer that are kept for resuming.
const MAX_RETAINED_BYTES: usize = 256 * 1024;

/// Frames that may wait for a slow router.
const MAX_UNREAD_FRAMES: u64 = 256;

/// Time without a reader after which nobody is expected to resume.
const ABANDON_TIMEOUT: Duration = Duration::from_secs(10);

/// What a reader gets.
#[derive(Clone, Debug)]
pub(super) enum ReadResult {
    /// Frame with the requested number.
    Frame(FrameBody),
    /// Nothing yet.
    Empty,
    /// The answer is whole and read.
    End,
    /// The requested frame is no longer kept.
    Evicted,
}

#[derive(Debug)]
struct State {
    log: AnswerLog<FrameBody>,
    read_position: u64,
    ended: bool,
    readers: u32,
    last_disconnect: Instant,
}

/// Answer of one attempt; one writer, and readers that may resume.
#[derive(Debug)]
pub(super) struct AnswerChannel {
    state: Mutex<State>,
    frame_written: Notify,
    frame_read: Notify,
}

impl AnswerChannel {
    /// Creates an empty answer.
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

    /// Appends a frame.
    pub fn push(&self, body: FrameBody) {
        let bytes = match &body {
            FrameBody::Data(data) => data.len(),
            _ => 0,
        };
        self.with_state(|state| state.log.push(bytes, body));

        self.frame_written.notify_waiters();
    }

    /// Marks the answer as whole.
    pub fn end(&self) {
        self.with_state(|state| state.ended = true);

        self.frame_written.notify_waiters();
    }

    /// Waits while the readers are far behind.
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

    /// Returns frame `number`.
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

    /// Waits until something was written after `number`, at most for `limit`.
    pub async fn wait_for_frame(&self, number: u64, limit: Duration) {
        let written = self.frame_written.notified();
        let is_available = self.with_state(|state| state.ended || number < state.log.next());
        if !is_available {
            // Running out of time is as good as a frame: the reader looks again.
            let _ = tokio::time::timeout(limit, written).await;
        }
    }

    /// Tells whether reading can go on at `number`.
    pub fn can_resume(&self, number: u64) -> bool {
        self.with_state(|state| state.log.can_resume(number))
    }

    /// Notes a new reader.
    pub fn add_reader(&self) {
        self.with_state(|state| state.readers += 1);
    }

    /// Notes that a reader has gone.
    pub fn remove_reader(&self) {
        self.with_state(|state| {
            state.readers = state.readers.saturating_sub(1);
            state.last_disconnect = Instant::now();
        });
    }

    /// Tells whether nobody reads or is expected to resume.
    pub fn is_abandoned(&self) -> bool {
        self.with_state(|state| {
            state.readers == 0 && state.last_disconnect.elapsed() >= ABANDON_TIMEOUT
        })
    }

    fn with_state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        // A panic while the lock is held leaves the plain values usable.
        let mut state = self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner);

        f(&mut state)
    }
}
