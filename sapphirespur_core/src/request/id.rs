//! Identifiers of requests and attempts.

use std::fmt;

/// Request within one router process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId(pub u64);

/// Attempt to serve a request, unique over all processes and their restarts.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptId {
    /// Incarnation of the router process.
    pub incarnation: u64,
    /// Counter within the incarnation.
    pub counter: u64,
}

impl AttemptId {
    /// Parses the form that `Display` writes.
    pub fn parse(text: &str) -> Option<Self> {
        let (incarnation, counter) = text.split_once('-')?;

        Some(Self {
            incarnation: u64::from_str_radix(incarnation, 16).ok()?,
            counter: u64::from_str_radix(counter, 16).ok()?,
        })
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{:x}", self.incarnation, self.counter)
    }
}
