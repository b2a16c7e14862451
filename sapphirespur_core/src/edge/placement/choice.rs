//! Choice among the candidates of a request.

use std::cmp::Ordering;
use std::time::Duration;

use crate::edge::load::{Draw, choose_plain};
use crate::edge::placement::selection::Selected;
use crate::edge::placement::{Candidate, ScoringContext, Selection, ShareStatus};
use crate::edge::{CallInfo, ServiceLoad, Upstreams};
use crate::time::Time;

/// Candidates of a request. It is filled anew for each request, and keeps its memory.
#[derive(Clone, Debug, Default)]
pub(in crate::edge) struct Choice {
    candidates: Vec<Candidate>,
    /// Whether the candidate with the fewest requests is best, whatever its score.
    prefers_idle: bool,
    /// Index of the candidate that is best whatever its score; none when the score decides.
    drawn: Option<usize>,
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
        self.drawn = None;
    }

    /// Draws the best candidate of a call to a plain service whose upstreams report their load; changes
    /// nothing if they report none.
    ///
    /// # Errors
    ///
    /// Returns the time until the first candidate is expected to have free places, if all are known to
    /// be full.
    pub fn draw_plain(
        &mut self,
        now: Time,
        upstreams: &Upstreams,
        service_load: &ServiceLoad,
        draw: &mut Draw,
    ) -> Result<(), Duration> {
        let upstream = |candidate: &Candidate| upstreams.at(candidate.position);
        if self.candidates.iter().all(|c| upstream(c).known.told(now).is_none()) {
            return Ok(());
        }
        let option = |c: &Candidate| c.plain_option(now, upstream(c), service_load);
        let options: Vec<_> = self.candidates.iter().map(option).collect();
        self.drawn = choose_plain(&options, service_load.work_ms, draw);
        if self.drawn.is_some() {
            return Ok(());
        }
        let drain_time = |c: &Candidate| upstream(c).known.drain_time(now, service_load);
        Err(self.candidates.iter().map(drain_time).min().unwrap_or_default())
    }

    /// Returns all candidates, in no particular order.
    pub fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    /// Returns the best candidate, whether it has a reason to decline or not.
    pub fn best(&self) -> Option<&Candidate> {
        let drawn = self.drawn.and_then(|index| self.candidates.get(index));
        drawn.or_else(|| self.candidates.iter().min_by(|a, b| self.compare(a, b)))
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
