//! Decaying histogram on a logarithmic scale.

use crate::edge::work::LengthOutlook;

/// Decaying histogram of positive values on a logarithmic scale.
#[derive(Clone, Debug)]
pub struct LogHistogram {
    /// Weight of the samples in each bin.
    weights: [f32; Self::BINS],
    /// Lower bound of the first bin, as a power of two.
    lowest: f32,
}

impl LogHistogram {
    /// Number of bins; values beyond the range count in the first or last one.
    const BINS: usize = 64;

    /// Bins in a factor of two.
    const BINS_PER_OCTAVE: f32 = 4.0;

    /// Factor on the weights of earlier samples with each new one: those of the latest 200 samples or
    /// so decide.
    const DECAY: f32 = 1.0 - 1.0 / 200.0;

    /// Width of a bin as a fraction of its lower bound.
    pub(super) const BIN_WIDTH: f32 = 0.19;

    /// Creates an empty histogram for values from two to the power of `lowest`.
    pub fn new(lowest: i8) -> Self {
        Self { weights: [0.0; Self::BINS], lowest: f32::from(lowest) }
    }

    /// Records a value.
    pub fn record(&mut self, value: f32) {
        self.weights.iter_mut().for_each(|weight| *weight *= Self::DECAY);
        self.add(value, 1.0);
    }

    /// Adds a value with a weight, without decay of the others.
    pub fn add(&mut self, value: f32, weight: f32) {
        let place = (value.max(f32::MIN_POSITIVE).log2() - self.lowest) * Self::BINS_PER_OCTAVE;
        self.weights[place.clamp(0.0, (Self::BINS - 1) as f32) as usize] += weight;
    }

    /// Returns the sum of the weights.
    pub fn total(&self) -> f32 {
        self.weights.iter().sum()
    }

    /// Returns a copy whose weights sum to at most `total`.
    pub fn scaled_to(&self, total: f32) -> Self {
        let factor = (total / self.total().max(f32::MIN_POSITIVE)).min(1.0);
        Self { weights: self.weights.map(|weight| weight * factor), ..self.clone() }
    }

    /// Returns the fraction of the weight of values from one half to two; none without samples.
    pub fn fraction_within_two(&self) -> Option<f32> {
        let bin = |power: f32| ((power - self.lowest) * Self::BINS_PER_OCTAVE) as usize;
        let total = self.total();
        let within = self.weights[bin(-1.0)..bin(1.0)].iter().sum::<f32>();
        (total > 0.0).then(|| within / total)
    }

    /// Returns the distribution of a length that is `unit` times a value, and at most `max`; none
    /// without samples.
    pub fn outlook(&self, unit: f32, max: f32) -> Option<LengthOutlook> {
        let total = self.total();
        if total <= 0.0 {
            return None;
        }
        let mut points = [0.0; LengthOutlook::POINTS];
        let (mut bin, mut below) = (0, 0.0);
        for (index, point) in points.iter_mut().enumerate() {
            let sought = (index as f32 + 0.5) / LengthOutlook::POINTS as f32 * total;
            while bin + 1 < Self::BINS && below + self.weights[bin] < sought {
                below += self.weights[bin];
                bin += 1;
            }
            let part = ((sought - below) / self.weights[bin].max(f32::MIN_POSITIVE)).min(1.0);
            let power = (bin as f32 + part) / Self::BINS_PER_OCTAVE + self.lowest;
            *point = power.exp2() * unit;
        }
        Some(LengthOutlook::new(points, max))
    }
}
