//! Framing of an answer: ordering and resumption at the reader, replay buffer at the writer.
//!
//! An answer is what a router delivers to a caller. It is sent from the sidecar in frames, so that
//! it can be resumed on a new connection.

use std::collections::VecDeque;
use std::time::Duration;

use crate::request::AttemptId;
use crate::time::Time;

/// Time without a frame after which a reader treats its connection as lost.
pub const FRAME_TIMEOUT: Duration = Duration::from_secs(3);

/// Time between two keep-alive frames of a writer.
pub const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of consecutive resumptions of one answer without a new content frame.
const MAX_RESUMES: u32 = 3;

/// Kind of an answer frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FrameKind {
    /// Status line and content type, or data.
    Content,
    /// Keep-alive; carries the number of the next content frame.
    KeepAlive,
    /// Last frame; carries the number of content frames before it.
    End,
}

/// What a reader does with a frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FrameAction {
    /// Passes the content to the caller.
    Deliver,
    /// Drops the frame: it belongs to another attempt, is repeated or has no content.
    Drop,
    /// Ends the answer as complete.
    Complete,
    /// Reads again from the next expected number, because frames are missing.
    Resume,
}

/// What a reader does when its connection ended, timed out or lost frames.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Recovery {
    /// Opens a new connection and reads on.
    Resume {
        /// Number of the next expected frame.
        from: u64,
    },
    /// Ends the answer as lost.
    GiveUp,
}

/// Reader of one answer; puts its frames in order and bounds the resumptions.
#[derive(Clone, Debug)]
pub struct AnswerReader {
    attempt: AttemptId,
    next: u64,
    resumes: u32,
    last_frame: Time,
    dropped: u64,
}

impl AnswerReader {
    /// Creates a reader that expects the first frame.
    pub fn new(now: Time, attempt: AttemptId) -> Self {
        Self { attempt, next: 0, resumes: 0, last_frame: now, dropped: 0 }
    }

    /// Handles a frame and returns what to do with it.
    pub fn on_frame(
        &mut self,
        now: Time,
        attempt: AttemptId,
        number: u64,
        kind: FrameKind,
    ) -> FrameAction {
        if attempt != self.attempt {
            self.dropped += 1;
            return FrameAction::Drop;
        }

        self.last_frame = now;
        if number > self.next {
            return FrameAction::Resume;
        }
        match kind {
            FrameKind::KeepAlive => FrameAction::Drop,
            FrameKind::End if number == self.next => FrameAction::Complete,
            FrameKind::Content if number == self.next => {
                self.next += 1;
                self.resumes = 0;
                FrameAction::Deliver
            }
            FrameKind::Content | FrameKind::End => {
                self.dropped += 1;
                FrameAction::Drop
            }
        }
    }

    /// Returns how to recover after the connection ended, timed out or lost frames.
    pub fn on_interrupted(&mut self, now: Time) -> Recovery {
        if self.resumes >= MAX_RESUMES {
            return Recovery::GiveUp;
        }

        self.resumes += 1;
        self.last_frame = now;
        Recovery::Resume { from: self.next }
    }

    /// Returns the time at which the connection counts as lost, unless a frame arrives before.
    pub fn idle_deadline(&self) -> Time {
        self.last_frame + FRAME_TIMEOUT
    }

    /// Returns the number of content frames that were delivered.
    pub fn delivered(&self) -> u64 {
        self.next
    }

    /// Returns the number of frames that were dropped because they were repeated or belonged to
    /// another attempt.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

/// Content frames that a writer retains so that a reader can resume; bounded in bytes.
#[derive(Clone, Debug)]
pub struct AnswerLog<T> {
    frames: VecDeque<(usize, T)>,
    first: u64,
    bytes: usize,
    max_bytes: usize,
}

impl<T: Clone> AnswerLog<T> {
    /// Creates a log that retains at most `max_bytes` bytes, and always the last frame.
    pub fn new(max_bytes: usize) -> Self {
        Self { frames: VecDeque::new(), first: 0, bytes: 0, max_bytes }
    }

    /// Appends a frame of `bytes` bytes and returns its number.
    pub fn push(&mut self, bytes: usize, frame: T) -> u64 {
        self.frames.push_back((bytes, frame));
        self.bytes += bytes;
        while self.bytes > self.max_bytes && self.frames.len() > 1 {
            if let Some((bytes, _)) = self.frames.pop_front() {
                self.bytes -= bytes;
                self.first += 1;
            }
        }

        self.next() - 1
    }

    /// Returns the number of the next frame.
    pub fn next(&self) -> u64 {
        self.first + self.frames.len() as u64
    }

    /// Returns frame `number`; `None` when it is evicted or not yet written.
    pub fn get(&self, number: u64) -> Option<T> {
        let index = number.checked_sub(self.first)?;

        self.frames.get(index as usize).map(|(_, frame)| frame.clone())
    }

    /// Returns whether a reader can resume at frame `number`.
    pub fn can_resume(&self, number: u64) -> bool {
        (self.first..=self.next()).contains(&number)
    }
}
