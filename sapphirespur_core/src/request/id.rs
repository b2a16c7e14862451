//! Identifiers of requests and attempts.

use std::fmt;

/// Identifier of a request, unique within one router process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId(pub u64);

/// Identifier of an attempt to serve a request, unique across all processes and their restarts.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptId {
    /// Incarnation of the router process.
    pub incarnation: u64,
    /// Number of the attempt, unique within the incarnation.
    pub counter: u64,
}

impl AttemptId {
    /// Parses the format of `Display`; returns `None` when `text` is malformed.
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
