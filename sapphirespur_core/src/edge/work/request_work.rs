//! Predicted and remaining work of one running request.

use std::time::Duration;

use crate::edge::CallInfo;
use crate::edge::work::{LengthOutlook, WorkEstimate};
use crate::name::Name;

/// Predicted work of a request that runs at an upstream, and how much of it is left.
#[derive(Clone, Debug)]
pub struct RequestWork {
    /// Distribution of the response's length at placement.
    pub outlook: LengthOutlook,
    /// Expected cost at the chosen upstream.
    pub estimate: WorkEstimate,
    /// Predicted time from the placement to the first event.
    pub first_event: Duration,
    /// Client's estimate of the number of output tokens; none without one.
    pub hint: Option<u32>,
    /// Workspace that sent the request; none on routes that need no key.
    pub workspace: Option<Name>,
    /// Whether the response is a whole one to a prompt, rather than the rest of a stream.
    pub is_whole: bool,
    /// Tokens of the prompt.
    pub input_tokens: u32,
    /// Tokens in an event of the response.
    pub tokens_per_event: u32,
    /// Output tokens that are left, as counted in the upstream's sum.
    pub(super) left: f64,
    /// Output tokens that have arrived.
    pub(super) done: f64,
}

impl RequestWork {
    /// Creates the work of a call that has just been placed; its first event is expected after
    /// `first_event`.
    pub fn new(
        call: &CallInfo,
        outlook: LengthOutlook,
        estimate: WorkEstimate,
        tokens_per_event: u32,
        first_event: Duration,
    ) -> Self {
        let prompt = call.prompt.as_ref();

        Self {
            outlook,
            estimate,
            first_event,
            hint: prompt.and_then(|prompt| prompt.output_hint),
            workspace: call.workspace.clone(),
            is_whole: prompt.is_some() && !call.goes_on,
            input_tokens: prompt.map_or(0, |prompt| prompt.input_tokens),
            tokens_per_event,
            left: estimate.decode_tokens,
            done: 0.0,
        }
    }

    /// Returns the predicted output tokens.
    pub fn predicted_tokens(&self) -> f64 {
        self.outlook.median()
    }

    /// Returns the output tokens of a response with `events` events.
    pub fn tokens(&self, events: u32) -> f64 {
        f64::from(events) * f64::from(self.tokens_per_event)
    }

    /// Returns the ratio of the actual cost of a response with `events` events to the predicted one.
    pub fn error(&self, events: u32) -> f64 {
        self.cost(self.tokens(events)) / self.cost(self.predicted_tokens()).max(1.0)
    }

    fn cost(&self, output_tokens: f64) -> f64 {
        f64::from(self.input_tokens) + WorkEstimate::OUTPUT_WEIGHT * output_tokens
    }

    /// Returns the output tokens that are left after `events` events; while it runs, at least an
    /// event's.
    pub(super) fn left_after(&self, events: u32) -> f64 {
        self.outlook.left(self.tokens(events)).max(f64::from(self.tokens_per_event))
    }
}
