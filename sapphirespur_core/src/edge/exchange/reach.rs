//! How much of the fleet a router knows.

/// What a router knows of the fleet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Reach {
    /// It has heard of all its seeds, or has none.
    #[default]
    Whole,
    /// It knows others; some seeds were never heard, and may belong to routers that never met these.
    Part,
    /// It knows nobody.
    Alone,
}
