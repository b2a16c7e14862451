//! Prompt of a call as a chain of segments.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::hash::stable_hash;

/// Segment of a prompt, identified by the prompt up to its end.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromptSegment {
    /// Hash of this segment and all segments before it.
    pub chain: u64,
    /// Tokens of this segment alone.
    pub tokens: u32,
}

/// Prompt with the maximum length of its response.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Segments in order; the last one belongs to the request or its session and is not shared.
    pub segments: Vec<PromptSegment>,
    /// Identities of the segments that other requests may share, whatever precedes them.
    pub shared_ids: Arc<[u64]>,
    /// Tokens of the whole prompt.
    pub input_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_output_tokens: u32,
    /// Client's estimate of the number of tokens to generate; none without one.
    pub output_hint: Option<u32>,
}

impl Prompt {
    /// Bits of the hash that identify a segment: few, to keep reports short, and enough that two of
    /// some ten thousand cached segments rarely collide.
    const CHAIN_MASK: u64 = u32::MAX as u64;

    /// Number of segments beyond which the shared ones are joined, and the tokens of a joined one. Models of caches,
    /// reports and the quarantine keep an entry for each segment, so their size would follow from how finely a
    /// client divides its prompts.
    const MAX_SEGMENTS: usize = 32;
    const JOINED_TOKENS: u32 = 512;

    /// Creates a prompt from segments, given as pairs of identity and tokens.
    pub fn new(segments: &[(u64, u32)], input_tokens: u32, max_output_tokens: u32) -> Self {
        if segments.len() > Self::MAX_SEGMENTS {
            return Self::from_segments(&join(segments), input_tokens, max_output_tokens);
        }
        Self::from_segments(segments, input_tokens, max_output_tokens)
    }

    fn from_segments(segments: &[(u64, u32)], input_tokens: u32, max_output_tokens: u32) -> Self {
        let shared = segments.split_last().map_or(&[][..], |(_, shared)| shared);
        let shared_ids = shared.iter().map(|(id, _)| *id).collect();
        let mut chain = 0_u64;
        let segments = segments
            .iter()
            .map(|(id, tokens)| {
                let hash = stable_hash(&[&chain.to_le_bytes(), &id.to_le_bytes()]);
                chain = hash & Self::CHAIN_MASK;
                PromptSegment { chain, tokens: *tokens }
            })
            .collect();

        Self { segments, shared_ids, input_tokens, max_output_tokens, output_hint: None }
    }

    /// Returns the tokens that no other request shares.
    pub fn unshared_tokens(&self) -> u32 {
        self.input_tokens.saturating_sub(self.shared_tokens())
    }

    /// Returns the tokens of the segments that other requests may share.
    pub fn shared_tokens(&self) -> u32 {
        self.shared_segments().iter().map(|segment| segment.tokens).sum()
    }

    /// Returns the segments that other requests may share.
    pub fn shared_segments(&self) -> &[PromptSegment] {
        self.segments.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// Joins shared segments until each has [`Prompt::JOINED_TOKENS`]. What two prompts share at their begin is joined in the same
/// way, so that less than one joined segment of it is lost.
fn join(segments: &[(u64, u32)]) -> Vec<(u64, u32)> {
    let Some((last, shared)) = segments.split_last() else { return Vec::new() };
    let mut joined: Vec<(u64, u32)> = Vec::new();
    for (id, tokens) in shared {
        match joined.last_mut().filter(|(_, tokens)| *tokens < Prompt::JOINED_TOKENS) {
            Some(open) => {
                open.0 = stable_hash(&[&open.0.to_le_bytes(), &id.to_le_bytes()]);
                open.1 = open.1.saturating_add(*tokens);
            }
            None => joined.push((*id, *tokens)),
        }
    }
    joined.push(*last);
    joined
}
