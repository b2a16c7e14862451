//! Recent measurements of the old versions.

/// Latest measurements, of which the median is the reference for the target.
#[derive(Clone, Debug, Default)]
pub(super) struct Samples {
    values: Vec<f64>,
    next: usize,
}

impl Samples {
    /// Number of measurements that are kept.
    const COUNT: usize = 31;

    /// Fewest measurements for a reference.
    const MIN_COUNT: usize = 5;

    /// Multiple of the median above which a response is slow. The target's responses are compared with
    /// the part of the old versions' responses that is above as well.
    const SLOW_FACTOR: f64 = 2.5;

    /// Smallest difference from the median of a slow response, in milliseconds; less may be due to
    /// scheduling at this router.
    const MIN_EXCESS_MS: f64 = 5.0;

    /// Records a measurement, in milliseconds.
    pub fn record(&mut self, value: f64) {
        if self.values.len() < Self::COUNT {
            self.values.push(value);
        } else {
            self.values[self.next] = value;
        }
        self.next = (self.next + 1) % Self::COUNT;
    }

    /// Returns whether a measurement is slow; never without a reference.
    pub fn is_slow(&self, value: f64) -> bool {
        self.median().is_some_and(|median| {
            value > median * Self::SLOW_FACTOR && value > median + Self::MIN_EXCESS_MS
        })
    }

    fn median(&self) -> Option<f64> {
        if self.values.len() < Self::MIN_COUNT {
            return None;
        }

        let mut sorted = self.values.clone();
        sorted.sort_unstable_by(f64::total_cmp);
        Some(sorted[sorted.len() / 2])
    }
}
