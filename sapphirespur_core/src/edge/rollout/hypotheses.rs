//! Rates of bad responses between which a test decides.

/// Rates of bad responses of a good and of a bad version.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hypotheses {
    good: f64,
    bad: f64,
}

impl Hypotheses {
    /// Lowest rate of failures that a good version may have.
    const MIN_FAILURES: f64 = 0.005;

    /// Lowest rate of slow responses that a good version may have.
    const MIN_SLOW: f64 = 0.05;

    /// Highest rate that a good version may have, and a bad one is taken to have.
    const MAX_RATES: (f64, f64) = (0.6, 0.95);

    /// Multiple of the good rate in the bad one.
    const FACTOR: f64 = 2.0;

    /// Rate of failures that a bad version has in addition.
    const EXTRA_FAILURES: f64 = 0.03;

    /// The same for the good verdict, which has to come within the first seconds of an order.
    const EXTRA_ALL_ROUTES: f64 = 0.05;

    /// Rate of bad responses in addition for tests of slow responses, and for the good verdict of a
    /// single route, for which there are few responses.
    const EXTRA_COARSE: f64 = 0.15;

    /// Returns the rates of failures when the old versions have the rate `reference`.
    pub fn failures(reference: f64) -> Self {
        Self::new(reference.max(Self::MIN_FAILURES), Self::EXTRA_FAILURES)
    }

    /// Returns the rates of failures for the good verdict on all routes together.
    pub fn all_failures(reference: f64) -> Self {
        Self::new(reference.max(Self::MIN_FAILURES), Self::EXTRA_ALL_ROUTES)
    }

    /// Returns the rates of failures between which few responses decide.
    pub fn coarse_failures(reference: f64) -> Self {
        Self::new(reference.max(Self::MIN_FAILURES), Self::EXTRA_COARSE)
    }

    /// Returns the rates of slow responses when the old versions have the rate `reference`.
    pub fn slow(reference: f64) -> Self {
        Self::new(reference.max(Self::MIN_SLOW), Self::EXTRA_COARSE)
    }

    fn new(reference: f64, extra: f64) -> Self {
        let (max_good, max_bad) = Self::MAX_RATES;
        let good = reference.min(max_good);
        Self { good, bad: (good * Self::FACTOR + extra).min(max_bad) }
    }

    /// Returns the logarithm of how much more likely responses are for a bad version.
    pub fn evidence(&self, answered: u32, bad: u32) -> f64 {
        let fine = f64::from(answered.saturating_sub(bad));
        f64::from(bad) * (self.bad / self.good).ln()
            + fine * ((1.0 - self.bad) / (1.0 - self.good)).ln()
    }
}
