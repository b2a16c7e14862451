//! How far a response has been judged.

/// Whether a response was counted as evidence for or against its version.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Judged {
    /// Not yet.
    #[default]
    Open,
    /// As a response without fault so far.
    Fine,
    /// As a bad one; it is not counted again.
    Bad,
}
