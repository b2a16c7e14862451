//! What a relay says of the registry.

/// Whether the registry answers the relay of a router.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayView {
    /// The router has no relay, or does not hear it.
    None,
    /// It answers the relay.
    Answers,
    /// It does not answer the relay.
    Lost,
}
