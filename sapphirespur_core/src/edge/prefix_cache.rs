//! Model of the prompt parts that an upstream keeps.

use std::collections::BTreeMap;

use crate::collections::HashMap;
use crate::edge::{Prompt, PromptSegment};
use crate::time::Time;

/// Kept part.
#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u32,
    used: u64,
    read_at: Time,
}

/// Prompt parts that an upstream is expected to keep; the least recently used ones yield.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    kept: HashMap<u64, Kept>,
    by_use: BTreeMap<u64, u64>,
    tokens: u64,
    clock: u64,
}

impl PrefixCache {
    /// Returns the number of parts.
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Tells whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// Tells whether a part is expected to be kept.
    pub fn contains(&self, part: PromptSegment) -> bool {
        self.kept.contains_key(&part.chain)
    }

    /// Returns the tokens of the first parts of `prompt` that are kept.
    pub fn cached_prefix_tokens(&self, prompt: &Prompt) -> u64 {
        prompt
            .segments
            .iter()
            .take_while(|part| self.contains(**part))
            .map(|part| u64::from(part.tokens))
            .sum()
    }

    /// Returns the tokens of the first parts of `prompt` that are kept and were read by `now`.
    pub fn read_tokens(&self, now: Time, prompt: &Prompt) -> u64 {
        let is_read = |part: &&PromptSegment| {
            self.kept.get(&part.chain).is_some_and(|kept| kept.read_at <= now)
        };

        prompt.segments.iter().take_while(is_read).map(|part| u64::from(part.tokens)).sum()
    }

    /// Notes that the upstream has read `parts` at `read_at` and may keep `capacity` tokens in all.
    pub fn insert(&mut self, read_at: Time, parts: &[PromptSegment], capacity: u64) {
        for part in parts {
            self.touch(read_at, *part);
        }
        self.yield_to(capacity);
    }

    /// Notes that the upstream has read `tokens` of parts that nobody else shares.
    pub fn read_unshared(&mut self, now: Time, tokens: u32, capacity: u64) {
        // The clock's value names the part; identities of shared ones are hashes.
        let part = PromptSegment { chain: self.clock, tokens };
        self.touch(now, part);
        self.yield_to(capacity);
    }

    fn yield_to(&mut self, capacity: u64) {
        while self.tokens > capacity {
            let Some((_, chain)) = self.by_use.pop_first() else { break };
            if let Some(kept) = self.kept.remove(&chain) {
                self.tokens -= u64::from(kept.tokens);
            }
        }
    }

    fn touch(&mut self, read_at: Time, part: PromptSegment) {
        self.clock += 1;
        let known = self.kept.get(&part.chain);
        let read_at = known.map_or(read_at, |known| known.read_at.min(read_at));
        let kept = Kept { tokens: part.tokens, used: self.clock, read_at };
        if let Some(before) = self.kept.insert(part.chain, kept) {
            self.by_use.remove(&before.used);
            self.tokens -= u64::from(before.tokens);
        }
        self.by_use.insert(self.clock, part.chain);
        self.tokens += u64::from(part.tokens);
    }
}
