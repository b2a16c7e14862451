//! Distribution of the length of one response.

use crate::edge::work::LogHistogram;

/// Distribution of the output tokens of one response, as values that are equally likely.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LengthOutlook {
    /// Values in ascending order.
    points: [f32; Self::POINTS],
    /// Most tokens that the response may have.
    max: f32,
}

impl LengthOutlook {
    /// Number of values: with 16, the last one is exceeded by three in a hundred.
    pub(super) const POINTS: usize = 16;

    /// Creates a distribution from ascending values, of which none exceeds `max`.
    pub(super) fn new(points: [f32; Self::POINTS], max: f32) -> Self {
        Self { points: points.map(|point| point.min(max)), max }
    }

    /// Creates the distribution of a response of `tokens` tokens, where no spread is known.
    pub fn certain(tokens: f64, max: f64) -> Self {
        Self::new([tokens as f32; Self::POINTS], max as f32)
    }

    /// Returns the mean, which sums of many responses tend to.
    pub fn mean(&self) -> f64 {
        f64::from(self.points.iter().sum::<f32>()) / Self::POINTS as f64
    }

    /// Returns the median, which is the best prediction of a single response by its ratio.
    pub fn median(&self) -> f64 {
        let middle = Self::POINTS / 2;
        f64::from(self.points[middle - 1] + self.points[middle]) / 2.0
    }

    /// Returns the tokens that a response is expected to have yet, of which `done` have arrived.
    ///
    /// It is the mean over the lengths that are still possible. Near the end of the distribution and
    /// beyond, the response goes on for a part of its length so far, as the spread of the longest
    /// lengths tells.
    pub fn left(&self, done: f64) -> f64 {
        let done = done as f32;
        let possible = &self.points[self.points.partition_point(|point| *point <= done)..];
        let mean = possible.iter().sum::<f32>() / possible.len().max(1) as f32;
        let tail = (done * self.tail_spread()).min(self.max - done);
        f64::from((mean - done).max(tail).max(0.0))
    }

    /// Returns by how much the longest lengths differ, as a fraction.
    fn tail_spread(&self) -> f32 {
        let [.., long, longest] = self.points;
        (longest / long.max(1.0) - 1.0).clamp(LogHistogram::BIN_WIDTH, 1.0)
    }
}
