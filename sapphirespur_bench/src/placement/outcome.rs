//! What came of the requests of a run.

use std::time::Duration;

/// What came of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Refused at arrival.
    Refused,
    /// First event within the target, and whole in time.
    InTime,
    /// Whole in time, with a late first event.
    Late,
    /// Not whole in time.
    Failed,
}

impl Outcome {
    /// Returns the place of the outcome in counts.
    fn index(self) -> usize {
        match self {
            Self::Refused => 0,
            Self::InTime => 1,
            Self::Late => 2,
            Self::Failed => 3,
        }
    }
}

/// Sums over a run.
#[derive(Clone, Debug, Default)]
pub struct RunSummary {
    /// Tokens asked for, by workspace.
    pub requested_tokens: Vec<u64>,
    /// Tokens of requests served in time, by workspace.
    pub served_tokens: Vec<u64>,
    /// Requests by outcome: refused, in time, late, failed.
    pub counts: [u32; 4],
    /// Times to the first event.
    pub first_events: Vec<Duration>,
    /// Tokens of shared parts asked for and read.
    pub shared: (u64, u64),
    /// Reports between routers and their encoded bytes.
    pub reports: (u64, u64),
    /// Length of the run.
    pub duration: Duration,
}

impl RunSummary {
    /// Creates sums for so many workspaces.
    pub fn new(workspaces: usize, duration: Duration) -> Self {
        Self {
            requested_tokens: vec![0; workspaces],
            served_tokens: vec![0; workspaces],
            duration,
            ..Self::default()
        }
    }

    /// Notes what came of a request of `tokens`.
    pub fn record(&mut self, workspace: usize, tokens: u64, outcome: Outcome) {
        self.requested_tokens[workspace] += tokens;
        self.counts[outcome.index()] += 1;
        if outcome == Outcome::InTime {
            self.served_tokens[workspace] += tokens;
        }
    }

    /// Returns the part of the requests with an outcome.
    pub fn fraction(&self, outcome: Outcome) -> f64 {
        f64::from(self.counts[outcome.index()]) / f64::from(self.counts.iter().sum::<u32>().max(1))
    }

    /// Returns the tokens served in time in a second, in thousands.
    pub fn goodput_kilotokens_per_s(&self) -> f64 {
        self.served_tokens.iter().sum::<u64>() as f64 / self.duration.as_secs_f64() / 1_000.0
    }

    /// Returns the least part of its max-min share that a workspace was served; what is beyond
    /// what was asked or served in all is nobody's.
    pub fn min_share_fraction(&self) -> f64 {
        let level = sapphirespur_core::edge::water_fill(
            &self.requested_tokens,
            self.served_tokens.iter().sum(),
        );
        let part = |(asked, served): (&u64, &u64)| {
            let owed = (*asked).min(level);
            if owed == 0 { 1.0 } else { (*served as f64 / owed as f64).min(1.0) }
        };
        self.requested_tokens.iter().zip(&self.served_tokens).map(part).fold(1.0, f64::min)
    }

    /// Returns the 95th percentile of the time to the first event.
    pub fn first_event_p95(&self) -> Duration {
        let mut sorted = self.first_events.clone();
        sorted.sort_unstable();
        sorted.get(sorted.len() * 95 / 100).copied().unwrap_or_default()
    }

    /// Returns the mean size of a report, in bytes.
    pub fn mean_report_bytes(&self) -> f64 {
        self.reports.1 as f64 / self.reports.0.max(1) as f64
    }

    /// Returns the part of the shared tokens that was read.
    pub fn shared_read_fraction(&self) -> f64 {
        self.shared.1 as f64 / self.shared.0.max(1) as f64
    }
}
