//! Requests as the stand-in of a runner received them.

use super::runner::Runner;

/// Request as a runner received it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReceivedRequest {
    /// Request line: method, path with query and HTTP version.
    pub line: String,
    /// Headers as pairs of lower-case name and value, in the order received.
    pub headers: Vec<(String, String)>,
    /// Body; empty if the runner responded before it read the body.
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    /// Returns the first value of a header, by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(header, _)| header == name).map(|(_, value)| value.as_str())
    }

    /// Returns the length of the body that the head names, in bytes.
    pub fn body_length(&self) -> usize {
        self.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns whether the path ends with [`Runner::HARMFUL_PATH`].
    pub fn is_harmful(&self) -> bool {
        let path = self.line.split(' ').nth(1).unwrap_or_default();
        path.ends_with(Runner::HARMFUL_PATH)
    }

    /// Returns the identities of the prompt's segments but the last one.
    pub fn shared_segments(&self) -> Vec<u64> {
        let segments = self.header("x-sapphirespur-prompt-prefix-hash").unwrap_or_default();
        let (shared, _) = segments.rsplit_once(',').unwrap_or_default();
        let ids = shared.split(',').filter_map(|segment| segment.split_once(':'));
        ids.filter_map(|(id, _)| u64::from_str_radix(id, 16).ok()).collect()
    }
}
