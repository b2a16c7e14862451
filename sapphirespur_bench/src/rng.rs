//! Seeded random number generator.

use std::time::Duration;

/// Random number generator (SplitMix64).
///
/// Source: Steele, Lea and Flood, "Fast Splittable Pseudorandom Number Generators", 2014.
#[derive(Clone, Debug)]
pub struct Rng(u64);

impl Rng {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns the next random number.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a random number below `bound`; 0 when `bound` is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next_u64() % bound.max(1)
    }

    /// Returns a random number from `low` to `high`, both included.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.below(high - low + 1)
    }

    /// Returns `true` with the given probability, in per mille.
    pub fn per_mille(&mut self, probability: u32) -> bool {
        self.below(1_000) < u64::from(probability)
    }

    /// Returns `duration` extended by a random amount of up to a tenth.
    pub fn jitter(&mut self, duration: Duration) -> Duration {
        duration + Duration::from_micros(self.below(duration.as_micros() as u64 / 10 + 1))
    }

    /// Returns a random index, with probabilities in proportion to `weights`.
    pub fn weighted_index(&mut self, weights: &[u32]) -> usize {
        let total: u64 = weights.iter().map(|weight| u64::from(*weight)).sum();
        let mut point = self.below(total);
        for (index, weight) in weights.iter().enumerate() {
            let weight = u64::from(*weight);
            if point < weight {
                return index;
            }
            point -= weight;
        }

        0
    }
}
