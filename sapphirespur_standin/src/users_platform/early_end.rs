//! End of a response that a runner does not complete.

/// How the connection of a response ends that a runner does not complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EarlyEnd {
    /// It is reset.
    Reset,
    /// Its sending side is closed, and it is reset later.
    HalfClosedAndReset,
}
