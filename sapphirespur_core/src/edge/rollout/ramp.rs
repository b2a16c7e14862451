//! Begin of the shift.

/// Upstreams of the target that get requests at the begin of the shift.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Ramp {
    /// Number of upstreams.
    pub upstreams: usize,
    /// Part of the requests with which each has the load that it will have after the shift.
    pub part: f64,
}

impl Ramp {
    /// Part of the target's upstreams that get requests at the begin of the shift.
    const PART: f64 = 0.2;

    /// Returns the ramp for a number of upstreams.
    pub fn of(all: usize) -> Self {
        let upstreams = ((all as f64 * Self::PART) as usize).max(1);
        Self { upstreams, part: upstreams as f64 / all.max(1) as f64 }
    }
}
