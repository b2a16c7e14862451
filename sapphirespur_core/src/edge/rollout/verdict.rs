//! Verdict on a version.

/// What the evidence says of the target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RolloutVerdict {
    /// There is too little evidence.
    #[default]
    Open,
    /// It responds like the old versions.
    Good,
    /// It fails or is slow.
    Bad,
}

impl RolloutVerdict {
    /// Returns a short name for logs and the status.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Good => "good",
            Self::Bad => "bad",
        }
    }
}
