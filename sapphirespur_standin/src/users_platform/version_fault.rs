//! Faults of a bad software version.

use super::received_request::ReceivedRequest;

/// Fault of a runner whose software version is bad. It adds to the runner's behaviour.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VersionFault {
    /// Percentage of requests that get a signed 500.
    pub failing_percent: u32,
    /// Factor on the pauses of [`super::Runner::set_pace`].
    pub slow_factor: u32,
    /// Part of the path of the requests that are concerned; all of them when it is empty.
    pub path_part: &'static str,
    /// Number of requests after which the fault begins.
    pub begins_after: u32,
}

impl VersionFault {
    /// Version without a fault.
    pub const NONE: Self =
        Self { failing_percent: 0, slow_factor: 1, path_part: "", begins_after: 0 };

    /// Returns whether the fault concerns a request, which is the one with the number `index` at its
    /// runner.
    pub(super) fn concerns(&self, request: &ReceivedRequest, index: u32) -> bool {
        index >= self.begins_after && request.line.contains(self.path_part)
    }

    /// Returns whether the request with the number `index` fails, if the fault concerns it. The
    /// failures are spread evenly.
    pub(super) fn fails(&self, index: u32) -> bool {
        let failures_before = |count: u32| count * self.failing_percent / 100;
        failures_before(index + 1) > failures_before(index)
    }
}
