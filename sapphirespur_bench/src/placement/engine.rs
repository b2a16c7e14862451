//! Model engine: batches, prompts read in chunks, parts kept in limited memory.

use std::collections::VecDeque;

use sapphirespur_core::edge::{PrefixCache, Prompt, PromptSegment};
use sapphirespur_core::time::Time;

/// Figures of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineModel {
    /// Requests in one batch.
    pub slots: usize,
    /// Memory in tokens.
    pub memory_tokens: u64,
    /// Time of a step, in microseconds.
    pub step_us: f64,
    /// Time that each running request adds to a step, in microseconds.
    pub step_us_per_request: f64,
    /// Prompt tokens read in a microsecond.
    pub tokens_per_us: f64,
    /// Most prompt tokens read in one step.
    pub chunk_tokens: u64,
    /// Tokens in one event.
    pub tokens_per_event: u32,
    /// Memory of one token, in bytes.
    pub token_bytes: u64,
    /// Bandwidth between engines in megabits a second; zero when they hand nothing over.
    pub link_mbps: f64,
}

/// Request at an engine.
#[derive(Clone, Debug)]
struct Work {
    request: usize,
    prompt: Prompt,
    unread: u64,
    generated: u32,
    output: u32,
}

/// What a request brought in a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// Whole event; the last one ends the request.
    Event {
        /// Request.
        request: usize,
        /// Whether the answer has ended.
        is_last: bool,
    },
}

/// Engine.
#[derive(Clone, Debug)]
pub struct Engine {
    model: EngineModel,
    speed: f64,
    waiting: VecDeque<Work>,
    running: Vec<Work>,
    cache: PrefixCache,
    /// Prompt tokens that were read.
    pub read_tokens: u64,
    /// Tokens of shared parts that were read.
    pub shared_read_tokens: u64,
    /// Tokens of shared parts that were asked for.
    pub shared_tokens: u64,
}

impl Engine {
    /// Creates an idle engine whose steps take `speed` times as long as the model says.
    pub fn new(model: EngineModel, speed: f64) -> Self {
        Self {
            model,
            speed,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: PrefixCache::default(),
            read_tokens: 0,
            shared_read_tokens: 0,
            shared_tokens: 0,
        }
    }

    /// Tells whether there is nothing to do.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Takes a request.
    pub fn take(&mut self, request: usize, prompt: Prompt, output: u32) {
        let unread = u64::from(prompt.input_tokens);
        self.waiting.push_back(Work { request, prompt, unread, generated: 0, output });
    }

    /// Returns the first parts of a prompt that are kept.
    pub fn kept_parts(&self, prompt: &Prompt) -> Vec<PromptSegment> {
        let kept = |part: &&PromptSegment| self.cache.contains(**part);

        prompt.segments.iter().take_while(kept).copied().collect()
    }

    /// Takes over parts from another engine.
    pub fn take_over(&mut self, parts: &[PromptSegment]) {
        self.cache.insert(Time::default(), parts, self.model.memory_tokens);
    }

    /// Drops a request whose caller has left.
    pub fn drop_request(&mut self, request: usize) {
        self.waiting.retain(|work| work.request != request);
        self.running.retain(|work| work.request != request);
    }

    /// Runs one step; returns its time in microseconds and what it brought.
    pub fn step(&mut self) -> (u64, Vec<Progress>) {
        self.admit();
        let read = self.read_chunk();
        let steady =
            self.model.step_us + self.model.step_us_per_request * self.running.len() as f64;
        let span = (steady + read as f64 / self.model.tokens_per_us) * self.speed;

        (span.ceil() as u64, self.generate())
    }

    fn admit(&mut self) {
        while self.running.len() < self.model.slots {
            let Some(mut work) = self.waiting.pop_front() else { return };
            let kept = self.cache.cached_prefix_tokens(&work.prompt);
            let shared = u64::from(work.prompt.shared_tokens());
            self.shared_tokens += shared;
            self.shared_read_tokens += shared.saturating_sub(kept);
            work.unread = work.unread.saturating_sub(kept);
            self.cache.insert(Time::default(), &work.prompt.segments, self.model.memory_tokens);
            self.running.push(work);
        }
    }

    /// Reads the next chunk of the first prompt that is not read, and returns its tokens.
    fn read_chunk(&mut self) -> u64 {
        let mut left = self.model.chunk_tokens;
        for work in &mut self.running {
            let read = work.unread.min(left);
            work.unread -= read;
            left -= read;
            if left == 0 {
                break;
            }
        }

        let read = self.model.chunk_tokens - left;
        self.read_tokens += read;
        read
    }

    fn generate(&mut self) -> Vec<Progress> {
        let per_event = self.model.tokens_per_event;
        let mut progress = Vec::new();
        for work in self.running.iter_mut().filter(|work| work.unread == 0) {
            work.generated += 1;
            let is_last = work.generated >= work.output;
            // The first token comes alone, so that the caller sees that the answer has begun.
            if is_last || work.generated == 1 || work.generated.is_multiple_of(per_event) {
                progress.push(Progress::Event { request: work.request, is_last });
            }
        }
        self.running.retain(|work| work.unread > 0 || work.generated < work.output);
        progress
    }
}
