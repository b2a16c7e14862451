//! Model of the prompt parts that an upstream keeps.

use std::collections::BTreeMap;

use crate::collections::HashMap;
use crate::direct::{Prompt, PromptPart};

/// Kept part.
#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u32,
    used: u64,
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
    pub fn has(&self, part: PromptPart) -> bool {
        self.kept.contains_key(&part.chain)
    }

    /// Returns the tokens of the first parts of `prompt` that are kept.
    pub fn kept_tokens(&self, prompt: &Prompt) -> u64 {
        prompt
            .parts
            .iter()
            .take_while(|part| self.has(**part))
            .map(|part| u64::from(part.tokens))
            .sum()
    }

    /// Notes that the upstream has read `parts` and may keep `capacity` tokens in all.
    pub fn read(&mut self, parts: &[PromptPart], capacity: u64) {
        for part in parts {
            self.touch(*part);
        }
        while self.tokens > capacity {
            let Some((_, chain)) = self.by_use.pop_first() else { break };
            if let Some(kept) = self.kept.remove(&chain) {
                self.tokens -= u64::from(kept.tokens);
            }
        }
    }

    fn touch(&mut self, part: PromptPart) {
        self.clock += 1;
        let kept = Kept { tokens: part.tokens, used: self.clock };
        if let Some(before) = self.kept.insert(part.chain, kept) {
            self.by_use.remove(&before.used);
            self.tokens -= u64::from(before.tokens);
        }
        self.by_use.insert(self.clock, part.chain);
        self.tokens += u64::from(part.tokens);
    }
}
