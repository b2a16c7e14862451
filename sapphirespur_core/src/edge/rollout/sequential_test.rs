//! Sequential test of a version.

/// Sequential probability ratio test that is followed by a CUSUM test.
///
/// Sources: Wald, "Sequential Tests of Statistical Hypotheses", 1945; Page, "Continuous Inspection
/// Schemes", 1954.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SequentialTest {
    /// Logarithm of the likelihood ratio since the begin.
    log_ratio: f64,
    /// The same since its lowest value.
    cusum: f64,
    is_accepted: bool,
    is_rejected: bool,
}

impl SequentialTest {
    /// Probability that a good version is rejected before it is accepted.
    const FALSE_BAD: f64 = 0.001;

    /// Probability that a bad version is accepted.
    const FALSE_GOOD: f64 = 0.01;

    /// Mean number of responses of a good version after which it is rejected for its latest ones.
    const FALSE_ALARM_RESPONSES: f64 = 100_000.0;

    /// Value of the CUSUM statistic from which an accepted version is in doubt.
    const DOUBT: f64 = 3.0;

    /// Adds the evidence of some responses.
    pub fn add(&mut self, evidence: f64) {
        self.cusum = (self.cusum + evidence).max(0.0);
        self.is_rejected |= self.cusum >= Self::FALSE_ALARM_RESPONSES.ln();
        if self.is_accepted || self.is_rejected {
            return;
        }

        self.log_ratio += evidence;
        self.is_rejected = self.log_ratio >= ((1.0 - Self::FALSE_GOOD) / Self::FALSE_BAD).ln();
        self.is_accepted = self.log_ratio <= (Self::FALSE_GOOD / (1.0 - Self::FALSE_BAD)).ln();
    }

    /// Returns whether the version is accepted and its latest responses don't speak against it.
    pub fn is_good(&self) -> bool {
        self.is_accepted && !self.is_rejected && self.cusum < Self::DOUBT
    }

    /// Returns whether the version is rejected.
    pub fn is_bad(&self) -> bool {
        self.is_rejected
    }
}
