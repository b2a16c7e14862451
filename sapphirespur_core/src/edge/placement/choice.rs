//! Choice among the candidates of a request.

use std::cmp::Ordering;

use crate::edge::placement::selection::Selected;
use crate::edge::placement::{Candidate, ScoringContext, Selection, ShareStatus};
use crate::edge::{CallInfo, Upstreams};

/// Candidates of a request. It is filled anew for each request, and keeps its memory.
#[derive(Clone, Debug, Default)]
pub(in crate::edge) struct Choice {
    candidates: Vec<Candidate>,
    /// Whether the candidate with the fewest requests is best, whatever its score.
    prefers_idle: bool,
}

impl Choice {
    /// Scores the selected upstreams. With `prefers_idle`, the score counts only among candidates with
    /// equally many requests.
    pub fn fill(
        &mut self,
        cx: &ScoringContext<'_>,
        selection: &Selection,
        upstreams: &Upstreams,
        prefers_idle: bool,
    ) {
        let score =
            |selected: &Selected| Candidate::new(cx, upstreams.at(selected.position), *selected);
        self.candidates.clear();
        self.candidates.extend(selection.selected.iter().map(score));
        self.prefers_idle = prefers_idle;
    }

    /// Returns all candidates, in no particular order.
    pub fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    /// Returns the best candidate, whether it has a reason to decline or not.
    pub fn best(&self) -> Option<&Candidate> {
        self.candidates.iter().min_by(|a, b| self.compare(a, b))
    }

    /// Returns the best candidate without a reason to decline. Prefilling the prompt at one with a
    /// higher cost is better than declining the request.
    pub fn best_accepting(&self, call: &CallInfo, status: ShareStatus) -> Option<&Candidate> {
        let min_prefill_tokens = self.min_prefill_tokens();
        let accepts = |c: &&Candidate| c.decline_reason(call, status, min_prefill_tokens).is_none();
        self.best()
            .filter(accepts)
            .or_else(|| self.candidates.iter().filter(accepts).min_by(|a, b| self.compare(a, b)))
    }

    /// Returns the fewest prompt tokens that any candidate has to prefill.
    pub fn min_prefill_tokens(&self) -> u64 {
        let tokens = self.candidates.iter().map(|c| c.estimate.prefill_tokens);
        tokens.min().unwrap_or_default()
    }

    fn compare(&self, a: &Candidate, b: &Candidate) -> Ordering {
        let by_requests =
            if self.prefers_idle { a.in_flight.cmp(&b.in_flight) } else { Ordering::Equal };
        by_requests.then_with(|| a.score.total_cmp(&b.score))
    }
}
