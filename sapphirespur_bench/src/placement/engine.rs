//! Model of an inference engine with batching, chunked prefill and a prefix cache.

use std::collections::VecDeque;

use sapphirespur_core::edge::{PrefixCache, Prompt, PromptSegment};
use sapphirespur_core::time::Time;

/// Performance model of an inference engine in the placement simulation: batch size, step time,
/// prefill speed and caches.
#[derive(Clone, Copy, Debug)]
pub struct EngineModel {
    /// Largest number of requests in a batch.
    pub slots: usize,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: u64,
    /// Base time of a step, without running requests and prefill, in microseconds.
    pub step_us: f64,
    /// Time that each running request adds to a step, in microseconds.
    pub step_us_per_request: f64,
    /// Prompt tokens that are prefilled in a microsecond.
    pub prefill_tokens_per_us: f64,
    /// Largest number of prompt tokens that are prefilled in one step.
    pub chunk_tokens: u64,
    /// Number of answer tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// KV cache size of one token, in bytes.
    pub token_bytes: u64,
    /// Bandwidth between engines, in megabits per second; zero when they transfer no cached segments.
    pub link_mbps: f64,
}

/// Request that waits or runs at an engine.
#[derive(Clone, Debug)]
struct EngineRequest {
    request: usize,
    prompt: Prompt,
    /// Prompt tokens that are not prefilled yet.
    pending_prefill_tokens: u64,
    /// Answer tokens generated so far.
    generated_tokens: u32,
    /// Total answer tokens.
    output_tokens: u32,
}

/// Output of a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// A request produced an event of its answer.
    Event {
        /// Index of the request.
        request: usize,
        /// Whether this is the last event of the answer.
        is_last: bool,
    },
}

/// Inference engine, which runs in steps: each prefills up to one chunk of prompt tokens and
/// generates one token for every running request whose prompt has been prefilled.
#[derive(Clone, Debug)]
pub struct Engine {
    model: EngineModel,
    /// Factor on the time of a step.
    time_factor: f64,
    waiting: VecDeque<EngineRequest>,
    running: Vec<EngineRequest>,
    cache: PrefixCache,
    /// Prompt tokens that were prefilled.
    pub prefilled_tokens: u64,
    /// Tokens of shared segments that were not in the cache and had to be prefilled.
    pub shared_prefilled_tokens: u64,
    /// Tokens of shared segments in the prompts of all admitted requests.
    pub shared_tokens: u64,
}

impl Engine {
    /// Creates an idle engine whose steps take `time_factor` times as long as the model says.
    pub fn new(model: EngineModel, time_factor: f64) -> Self {
        Self {
            model,
            time_factor,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: PrefixCache::default(),
            prefilled_tokens: 0,
            shared_prefilled_tokens: 0,
            shared_tokens: 0,
        }
    }

    /// Returns whether no request waits or runs.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Appends a request with an answer of `output_tokens` tokens to the queue.
    pub fn enqueue(&mut self, request: usize, prompt: Prompt, output_tokens: u32) {
        let pending_prefill_tokens = u64::from(prompt.input_tokens);
        self.waiting.push_back(EngineRequest {
            request,
            prompt,
            pending_prefill_tokens,
            generated_tokens: 0,
            output_tokens,
        });
    }

    /// Returns the longest prefix of a prompt's segments that is cached.
    pub fn cached_prefix(&self, prompt: &Prompt) -> Vec<PromptSegment> {
        let is_cached = |segment: &&PromptSegment| self.cache.contains(**segment);

        prompt.segments.iter().take_while(is_cached).copied().collect()
    }

    /// Inserts segments that another engine transferred into the cache.
    pub fn insert_transferred(&mut self, segments: &[PromptSegment]) {
        self.cache.insert(Time::default(), segments, self.model.cache_tokens);
    }

    /// Removes a request that has ended or whose client has left; does nothing when it is absent.
    pub fn remove_request(&mut self, request: usize) {
        self.waiting.retain(|entry| entry.request != request);
        self.running.retain(|entry| entry.request != request);
    }

    /// Runs one step; returns its duration in microseconds and the events that it produced.
    pub fn step(&mut self) -> (u64, Vec<Progress>) {
        self.admit();
        let prefilled = self.prefill_chunk();
        let decode_us =
            self.model.step_us + self.model.step_us_per_request * self.running.len() as f64;
        let duration_us =
            (decode_us + prefilled as f64 / self.model.prefill_tokens_per_us) * self.time_factor;

        (duration_us.ceil() as u64, self.generate())
    }

    /// Moves waiting requests into the batch while it has free slots.
    fn admit(&mut self) {
        while self.running.len() < self.model.slots {
            let Some(mut entry) = self.waiting.pop_front() else { return };
            let cached = self.cache.cached_prefix_tokens(&entry.prompt);
            let shared = u64::from(entry.prompt.shared_tokens());
            self.shared_tokens += shared;
            self.shared_prefilled_tokens += shared.saturating_sub(cached);
            entry.pending_prefill_tokens = entry.pending_prefill_tokens.saturating_sub(cached);
            self.cache.insert(Time::default(), &entry.prompt.segments, self.model.cache_tokens);
            self.running.push(entry);
        }
    }

    /// Prefills up to one chunk of prompt tokens, in the order of admission, and returns their number.
    fn prefill_chunk(&mut self) -> u64 {
        let mut left = self.model.chunk_tokens;
        for entry in &mut self.running {
            let prefilled = entry.pending_prefill_tokens.min(left);
            entry.pending_prefill_tokens -= prefilled;
            left -= prefilled;
            if left == 0 {
                break;
            }
        }

        let prefilled = self.model.chunk_tokens - left;
        self.prefilled_tokens += prefilled;
        prefilled
    }

    /// Generates one token for each request whose prompt is prefilled, and returns the events that
    /// are complete.
    fn generate(&mut self) -> Vec<Progress> {
        let per_event = self.model.tokens_per_event;
        let mut progress = Vec::new();
        for entry in self.running.iter_mut().filter(|entry| entry.pending_prefill_tokens == 0) {
            entry.generated_tokens += 1;
            let is_last = entry.generated_tokens >= entry.output_tokens;
            // The first token is sent alone so that the client sees that the answer has begun.
            if is_last
                || entry.generated_tokens == 1
                || entry.generated_tokens.is_multiple_of(per_event)
            {
                progress.push(Progress::Event { request: entry.request, is_last });
            }
        }
        self.running.retain(|entry| {
            entry.pending_prefill_tokens > 0 || entry.generated_tokens < entry.output_tokens
        });
        progress
    }
}
