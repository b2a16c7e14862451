//! What a router has learned of the cost of requests.

use crate::collections::HashMap;
use crate::edge::work::BatchEffect;
use crate::edge::{
    CallInfo, HintErrors, InFlightRequest, LengthOutlook, OutputLengths, PredictionErrors, Prompt,
};
use crate::name::Name;

/// Lengths of responses, errors of hints and of predictions, and the effect of requests on each other.
#[derive(Clone, Debug, Default)]
pub struct WorkEstimator {
    /// Lengths of responses by route.
    pub lengths: OutputLengths,
    /// Errors of the clients' hints.
    pub hints: HintErrors,
    /// Errors of the predictions of recent requests.
    pub errors: PredictionErrors,
    /// Effect of one more request on the others, by service.
    pub(in crate::edge) batches: HashMap<Name, BatchEffect>,
}

impl WorkEstimator {
    /// Returns the distribution of the length of the response to a call; a plain call has none.
    pub fn outlook(&self, call: &CallInfo) -> LengthOutlook {
        let Some(prompt) = &call.prompt else { return LengthOutlook::default() };
        self.prompt_outlook(&call.route, call.workspace.as_ref(), prompt)
    }

    /// Returns the distribution of the length of the response to a prompt.
    pub fn prompt_outlook(
        &self,
        route: &Name,
        workspace: Option<&Name>,
        prompt: &Prompt,
    ) -> LengthOutlook {
        let max = f64::from(prompt.max_output_tokens);
        match prompt.output_hint {
            Some(hint) => self.hints.outlook(route, workspace, hint, max),
            None => self.lengths.outlook(route, prompt),
        }
    }

    /// Records the response to a request, which is complete.
    pub(in crate::edge) fn record(&mut self, request: &InFlightRequest) {
        let Some(work) = &request.work else { return };
        let tokens = work.tokens(request.events);
        self.lengths.record(&request.route, tokens);
        if !work.is_whole {
            return;
        }
        self.lengths.record_whole(&request.route, tokens);
        if let Some(hint) = work.hint {
            self.hints.record(&request.route, work.workspace.as_ref(), hint, tokens);
        }
        self.errors.record(&request.route, work.error(request.events));
    }
}
