//! Model of an upstream's prefix cache.

use std::collections::BTreeMap;

use crate::collections::HashMap;
use crate::edge::{Prompt, PromptSegment};
use crate::time::Time;

/// Segment in the cache, with its last use and the time from which it has been prefilled.
#[derive(Clone, Copy, Debug)]
struct CachedSegment {
    tokens: u32,
    last_use: u64,
    ready_at: Time,
}

/// Tokens of a cached prefix of a prompt.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PrefixTokens {
    /// Tokens that are cached, or will be when they have been prefilled.
    pub cached: u64,
    /// Tokens that have been prefilled.
    pub prefilled: u64,
}

/// Prompt segments that an upstream is expected to have cached, evicted in least recently used
/// order.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    segments: HashMap<u64, CachedSegment>,
    by_last_use: BTreeMap<u64, u64>,
    tokens: u64,
    use_count: u64,
}

impl PrefixCache {
    /// Returns the number of cached segments.
    pub fn len(&self) -> usize {
        self.segments.len()
    }

    /// Returns whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.segments.is_empty()
    }

    /// Returns whether a segment is expected to be cached.
    pub fn contains(&self, segment: PromptSegment) -> bool {
        self.segments.contains_key(&segment.chain)
    }

    /// Returns the tokens of the longest cached prefix of `prompt`.
    pub fn cached_prefix_tokens(&self, prompt: &Prompt) -> u64 {
        prompt
            .segments
            .iter()
            .take_while(|segment| self.contains(**segment))
            .map(|segment| u64::from(segment.tokens))
            .sum()
    }

    /// Returns the tokens of the longest cached prefix of `prompt`, and of the longest one that has been
    /// prefilled by `now`.
    pub(super) fn prefix_tokens(&self, now: Time, prompt: &Prompt) -> PrefixTokens {
        let mut tokens = PrefixTokens::default();
        let mut is_prefilled = true;
        for segment in &prompt.segments {
            let Some(cached) = self.segments.get(&segment.chain) else { break };
            is_prefilled &= cached.ready_at <= now;
            if is_prefilled {
                tokens.prefilled += u64::from(segment.tokens);
            }
            tokens.cached += u64::from(segment.tokens);
        }
        tokens
    }

    /// Inserts segments that the upstream will have prefilled at `ready_at`, and evicts others
    /// beyond `capacity` tokens.
    pub fn insert(&mut self, ready_at: Time, segments: &[PromptSegment], capacity: u64) {
        for segment in segments {
            self.touch(ready_at, *segment);
        }
        self.evict_to(capacity);
    }

    /// Inserts `tokens` of segments that no other request shares, and evicts others beyond
    /// `capacity` tokens.
    pub fn insert_unshared(&mut self, now: Time, tokens: u32, capacity: u64) {
        // The use counter serves as a unique identity; shared segments are identified by hashes.
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
