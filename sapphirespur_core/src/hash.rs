//! Stable hashes that are the same in every process.

use std::fmt::Write;

use sha2::{Digest, Sha256};

use crate::name::Name;

/// Returns the lower-case hexadecimal SHA-256 digest of `bytes`.
pub fn sha256_hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(bytes) {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }

    text
}

/// Returns a 64-bit hash of `parts`: FNV-1a over each length and part, then SplitMix64's finalizer.
///
/// The lengths make the hash depend on where the parts are split.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;

    let mut hash = OFFSET;
    for part in parts {
        for byte in (part.len() as u64).to_le_bytes().iter().chain(part.iter()) {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
    }

    mix(hash)
}

/// Returns the `count` candidates with the highest rendezvous weight for `key`, best first.
///
/// Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998.
pub fn rendezvous<'a>(
    key: &[u8],
    candidates: impl Iterator<Item = &'a Name>,
    count: usize,
) -> Vec<&'a Name> {
    let mut ranked: Vec<(u64, &Name)> =
        candidates.map(|name| (stable_hash(&[key, name.as_str().as_bytes()]), name)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(count);

    ranked.into_iter().map(|(_, name)| name).collect()
}

/// Spreads the bits of `hash` with SplitMix64's finalizer.
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
