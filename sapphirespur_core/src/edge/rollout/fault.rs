//! Faults of responses.

/// What is wrong with a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Fault {
    /// It is an error.
    Failed,
    /// It was lost with its connection.
    Lost,
    /// It is slow.
    Slow,
}
