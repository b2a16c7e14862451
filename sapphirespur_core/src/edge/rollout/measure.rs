//! Times that are compared between versions.

/// Time of a response that is compared between versions.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum Measure {
    /// Time to the first event, adjusted to the size of the prompt.
    FirstEvent,
    /// Total time of a plain call.
    Total,
    /// Mean interval between events.
    Interval,
}
