//! Draws that differ between routers and can be repeated.

use crate::hash::stable_hash;

/// Sequence of numbers that look random, given by a seed.
#[derive(Clone, Debug)]
pub(in crate::edge) struct Draw {
    seed: u64,
    count: u64,
}

impl Draw {
    /// Creates the sequence of a seed.
    pub fn new(seed: u64) -> Self {
        Self { seed, count: 0 }
    }

    /// Returns the index of one of `weights`, drawn in proportion to them; none when all are zero.
    pub fn index(&mut self, weights: &[f64]) -> Option<usize> {
        let total: f64 = weights.iter().sum();
        let mut left = self.fraction() * total;
        let mut last = None;
        for (index, weight) in weights.iter().enumerate().filter(|(_, weight)| **weight > 0.0) {
            last = Some(index);
            if left < *weight {
                return last;
            }
            left -= weight;
        }
        last
    }

    /// Returns the next number, from zero up to one.
    fn fraction(&mut self) -> f64 {
        const BITS: u32 = 53;

        self.count += 1;
        let hash = stable_hash(&[&self.seed.to_le_bytes(), &self.count.to_le_bytes()]);
        (hash >> (u64::BITS - BITS)) as f64 / (1_u64 << BITS) as f64
    }
}
