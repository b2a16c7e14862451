//! Portion of a retry budget that one process may spend.

/// Portion of the fleet's retry budget that belongs to one router, and what of it this process may
/// spend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPortion {
    /// Fraction of the router's portion that this process may spend.
    pub fraction: f64,
    /// Routers among which the allowance is divided; none while they are not known, in which case
    /// only what the requests earn is spent.
    pub routers: Option<usize>,
}

impl RetryPortion {
    /// Fraction for a process that has run for a window of the limits.
    const ESTABLISHED: f64 = 0.75;

    /// Fraction for a process in its first window: what an earlier process on the VM has spent may be in
    /// that window, too. Requests earn no more than this in it, however often the process restarts.
    const STARTING: f64 = 1.0 - Self::ESTABLISHED;

    /// Creates the portion of one of `routers` routers, for a process that has run for a window of the
    /// limits or for less.
    pub fn new(is_established: bool, routers: Option<usize>) -> Self {
        let fraction = if is_established { Self::ESTABLISHED } else { Self::STARTING };
        Self { fraction, routers }
    }
}
