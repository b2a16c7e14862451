//! Outcomes of requests and the summary of a run.

use std::time::Duration;

/// Outcome of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Declined on arrival.
    Declined,
    /// Completed before its timeout, with the first event within the target latency.
    InTime,
    /// Completed before its timeout, with the first event after the target latency.
    Late,
    /// Not completed before its timeout.
    Failed,
}

impl Outcome {
    /// Returns the index of the outcome in `RunSummary::counts`.
    fn index(self) -> usize {
        match self {
            Self::Declined => 0,
            Self::InTime => 1,
            Self::Late => 2,
            Self::Failed => 3,
        }
    }
}

/// Totals over a run.
#[derive(Clone, Debug, Default)]
pub struct RunSummary {
    /// Tokens of all requests, by workspace.
    pub requested_tokens: Vec<u64>,
    /// Tokens of the requests whose outcome is `InTime`, by workspace.
    pub served_tokens: Vec<u64>,
    /// Number of requests by outcome: declined, in time, late, failed.
    pub counts: [u32; 4],
    /// Time from arrival to the first event of each completed request.
    pub first_events: Vec<Duration>,
    /// Requests whose outcome is `InTime`, but with a time between two events beyond the limit.
    pub paused_streams: u32,
    /// Tokens of shared prompt segments: in all admitted requests, and of these the tokens that were
    /// not cached and had to be prefilled.
    pub shared_totals: (u64, u64),
    /// Reports of the routers: their number and encoded bytes.
    pub report_totals: (u64, u64),
    /// Time during which requests arrived.
    pub duration: Duration,
}

impl RunSummary {
    /// Creates an empty summary for `workspaces` workspaces.
    pub fn new(workspaces: usize, duration: Duration) -> Self {
        Self {
            requested_tokens: vec![0; workspaces],
            served_tokens: vec![0; workspaces],
            duration,
            ..Self::default()
        }
    }

    /// Records the outcome of a request with a cost of `tokens`.
    pub fn record(&mut self, workspace: usize, tokens: u64, outcome: Outcome) {
        self.requested_tokens[workspace] += tokens;
        self.counts[outcome.index()] += 1;
        if outcome == Outcome::InTime {
            self.served_tokens[workspace] += tokens;
        }
    }

    /// Returns the fraction of all requests that had `outcome`.
    pub fn fraction(&self, outcome: Outcome) -> f64 {
        f64::from(self.counts[outcome.index()]) / f64::from(self.counts.iter().sum::<u32>().max(1))
    }

    /// Returns the tokens per second of requests served in time, in thousands.
    pub fn goodput_kilotokens_per_s(&self) -> f64 {
        self.served_tokens.iter().sum::<u64>() as f64 / self.duration.as_secs_f64() / 1_000.0
    }

    /// Returns the smallest fraction of its max-min fair share that a workspace was served, at most
    /// one. The shares divide the tokens served in total; none exceeds what its workspace requested.
    pub fn min_share_fraction(&self) -> f64 {
        let level = sapphirespur_core::edge::water_fill(
            &self.requested_tokens,
            self.served_tokens.iter().sum(),
        );
        let fraction = |(requested, served): (&u64, &u64)| {
            let share = (*requested).min(level);
            if share == 0 { 1.0 } else { (*served as f64 / share as f64).min(1.0) }
        };
        self.requested_tokens.iter().zip(&self.served_tokens).map(fraction).fold(1.0, f64::min)
    }

    /// Returns the 95th percentile of the time to the first event; zero when no request completed.
    pub fn first_event_p95(&self) -> Duration {
        let mut sorted = self.first_events.clone();
        sorted.sort_unstable();
        sorted.get(sorted.len() * 95 / 100).copied().unwrap_or_default()
    }

    /// Returns the mean encoded size of a report, in bytes.
    pub fn mean_report_bytes(&self) -> f64 {
        self.report_totals.1 as f64 / self.report_totals.0.max(1) as f64
    }

    /// Returns the fraction of the shared prompt tokens that had to be prefilled.
    pub fn shared_prefilled_fraction(&self) -> f64 {
        self.shared_totals.1 as f64 / self.shared_totals.0.max(1) as f64
    }
}
