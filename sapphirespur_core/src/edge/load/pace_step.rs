//! Two successive figures of an upstream's pace.

use std::time::Duration;

/// Slowdowns that an upstream told one after the other, as fractions of the usual time.
#[derive(Clone, Copy, Debug)]
pub(in crate::edge) struct PaceStep {
    /// Earlier slowdown.
    pub before: f64,
    /// Later slowdown.
    pub after: f64,
    /// Time between the two.
    pub elapsed: Duration,
}
