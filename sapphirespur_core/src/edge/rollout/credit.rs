//! Credit for requests to the target.

/// Part of a router's requests that may go to the target, saved up request by request.
///
/// The parts of all routers add up to the same part of the fleet's requests, whichever routers are
/// new, cut off or restarted, because each starts without credit.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Credit {
    requests: f64,
}

impl Credit {
    /// Most requests that are saved up, so that a quiet time is not followed by a burst.
    const MAX: f64 = 3.0;

    /// Adds the part that one request of the service earns.
    pub fn earn(&mut self, fraction: f64) {
        self.requests = (self.requests + fraction).min(Self::MAX);
    }

    /// Takes one request to the target.
    pub fn spend(&mut self) {
        self.requests -= 1.0;
    }

    /// Returns whether a request may go to the target while `reserve` requests are kept.
    pub fn covers(&self, reserve: f64) -> bool {
        self.requests >= 1.0 + reserve
    }

    /// Returns whether a stream may go on at the target: it can go on nowhere else, so it may take
    /// credit in advance, but no more than one request.
    pub fn may_borrow(&self) -> bool {
        self.requests > 0.0
    }
}
