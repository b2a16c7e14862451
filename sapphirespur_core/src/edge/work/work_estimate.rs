//! Expected cost of a request.

use crate::edge::Prompt;
use crate::edge::work::LengthOutlook;

/// Expected cost of a request at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkEstimate {
    /// Prompt tokens that are not cached at the upstream.
    pub prefill_tokens: u64,
    /// Expected output tokens.
    pub decode_tokens: f64,
    /// Expected memory at the end of the response beyond what is cached, in tokens.
    pub memory_tokens: f64,
}

impl WorkEstimate {
    /// Cost of a generated token relative to a prompt token, in upstream capacity.
    pub(super) const OUTPUT_WEIGHT: f64 = 2.0;

    /// Creates the estimate of a request with `prefill_tokens` to prefill.
    pub fn new(prefill_tokens: u64, outlook: &LengthOutlook) -> Self {
        let decode_tokens = outlook.mean();

        Self { prefill_tokens, decode_tokens, memory_tokens: prefill_tokens as f64 + decode_tokens }
    }

    /// Returns the cost of a request with `output_tokens` of output in prompt tokens, wherever it
    /// runs.
    pub fn total_cost(prompt: &Prompt, output_tokens: f64) -> f64 {
        f64::from(prompt.input_tokens) + Self::OUTPUT_WEIGHT * output_tokens
    }
}
