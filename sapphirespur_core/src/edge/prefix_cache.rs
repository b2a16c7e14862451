//! Model of an upstream's prefix cache.

use std::collections::VecDeque;

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
pub struct PrefixTokens {
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
    /// Uses in order, with the hashes of their segments. All but the last use of a segment are outdated.
    uses: VecDeque<(u64, u64)>,
    tokens: u64,
    use_count: u64,
}

impl PrefixCache {
    /// Number of uses up to which outdated ones are kept.
    const MIN_USES: usize = 64;

    /// Largest number of segments, which bounds the memory where they are short. Those of the users are a few hundred
    /// tokens long, so that fewer fill an upstream's memory.
    const MAX_SEGMENTS: usize = 2_048;

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
    pub fn prefix_tokens(&self, now: Time, prompt: &Prompt) -> PrefixTokens {
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
        while self.tokens > capacity || self.segments.len() > Self::MAX_SEGMENTS {
            let Some((last_use, chain)) = self.uses.pop_front() else { break };
            if is_last_use(&self.segments, last_use, chain)
                && let Some(cached) = self.segments.remove(&chain)
            {
                self.tokens -= u64::from(cached.tokens);
            }
        }
    }

    fn touch(&mut self, ready_at: Time, segment: PromptSegment) {
        self.use_count += 1;
        let cached = self.segments.entry(segment.chain).or_insert(CachedSegment {
            tokens: 0,
            last_use: 0,
            ready_at,
        });
        self.tokens = self.tokens + u64::from(segment.tokens) - u64::from(cached.tokens);
        cached.tokens = segment.tokens;
        cached.last_use = self.use_count;
        cached.ready_at = cached.ready_at.min(ready_at);
        self.uses.push_back((self.use_count, segment.chain));
        self.drop_outdated_uses();
    }

    /// Drops outdated uses when they are more than the others.
    fn drop_outdated_uses(&mut self) {
        if self.uses.len() > Self::MIN_USES + 2 * self.segments.len() {
            let segments = &self.segments;
            self.uses.retain(|(last_use, chain)| is_last_use(segments, *last_use, *chain));
        }
    }
}

fn is_last_use(segments: &HashMap<u64, CachedSegment>, last_use: u64, chain: u64) -> bool {
    segments.get(&chain).is_some_and(|cached| cached.last_use == last_use)
}
