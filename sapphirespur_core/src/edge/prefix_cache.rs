//! Model of the prompt parts that an upstream keeps.

use std::collections::BTreeMap;

use crate::collections::HashMap;
use crate::edge::{Prompt, PromptSegment};
use crate::time::Time;

/// Kept part.
#[derive(Clone, Copy, Debug)]
struct CachedSegment {
    tokens: u32,
    last_use: u64,
    ready_at: Time,
}

/// Prompt parts that an upstream is expected to keep; the least recently used ones yield.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    segments: HashMap<u64, CachedSegment>,
    by_last_use: BTreeMap<u64, u64>,
    tokens: u64,
    use_count: u64,
}

impl PrefixCache {
    /// Returns the number of parts.
    pub fn len(&self) -> usize {
        self.segments.len()
    }

    /// Tells whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.segments.is_empty()
    }

    /// Tells whether a part is expected to be kept.
    pub fn contains(&self, segment: PromptSegment) -> bool {
        self.segments.contains_key(&segment.chain)
    }

    /// Returns the tokens of the first parts of `prompt` that are kept.
    pub fn cached_prefix_tokens(&self, prompt: &Prompt) -> u64 {
        prompt
            .segments
            .iter()
            .take_while(|segment| self.contains(**segment))
            .map(|segment| u64::from(segment.tokens))
            .sum()
    }

    /// Returns the tokens of the first parts of `prompt` that are kept and were read by `now`.
    pub fn prefilled_prefix_tokens(&self, now: Time, prompt: &Prompt) -> u64 {
        let is_ready = |segment: &&PromptSegment| {
            self.segments.get(&segment.chain).is_some_and(|cached| cached.ready_at <= now)
        };

        prompt.segments.iter().take_while(is_ready).map(|segment| u64::from(segment.tokens)).sum()
    }

    /// Notes that the upstream has read `parts` at `read_at` and may keep `capacity` tokens in all.
    pub fn insert(&mut self, ready_at: Time, segments: &[PromptSegment], capacity: u64) {
        for segment in segments {
            self.touch(ready_at, *segment);
        }
        self.evict_to(capacity);
    }

    /// Notes that the upstream has read `tokens` of parts that nobody else shares.
    pub fn insert_unshared(&mut self, now: Time, tokens: u32, capacity: u64) {
        // The clock's value names the part; identities of shared ones are hashes.
        let segment = PromptSegment { chain: self.use_count, tokens };
        self.touch(now, segment);
        self.evict_to(capacity);
    }

    fn evict_to(&mut self, capacity: u64) {
        while self.tokens > capacity {
            let Some((_, chain)) = self.by_last_use.pop_first() else { break };
            if let Some(cached) = self.segments.remove(&chain) {
                self.tokens -= u64::from(cached.tokens);
            }
        }
    }

    fn touch(&mut self, ready_at: Time, segment: PromptSegment) {
        self.use_count += 1;
        let existing = self.segments.get(&segment.chain);
        let ready_at = existing.map_or(ready_at, |existing| existing.ready_at.min(ready_at));
        let cached = CachedSegment { tokens: segment.tokens, last_use: self.use_count, ready_at };
        if let Some(previous) = self.segments.insert(segment.chain, cached) {
            self.by_last_use.remove(&previous.last_use);
            self.tokens -= u64::from(previous.tokens);
        }
        self.by_last_use.insert(self.use_count, segment.chain);
        self.tokens += u64::from(segment.tokens);
    }
}
