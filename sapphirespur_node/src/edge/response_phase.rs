//! Progress of a response to a client.

/// How far the response to the last request of a connection is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum ResponsePhase {
    /// It has not begun.
    #[default]
    Awaited,
    /// Its body is not complete yet.
    InProgress,
    /// Its body is complete, and may still wait to be written.
    Complete,
}
