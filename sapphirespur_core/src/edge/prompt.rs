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

    /// Creates a prompt from segments, given as pairs of identity and tokens.
    pub fn new(segments: &[(u64, u32)], input_tokens: u32, max_output_tokens: u32) -> Self {
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
