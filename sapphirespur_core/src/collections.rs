//! Aliases of the standard hash collections with `FxHash`.

/// Hash map with a fast hasher without a random seed.
pub type HashMap<K, V> = std::collections::HashMap<K, V, rustc_hash::FxBuildHasher>;

/// Hash set with a fast hasher without a random seed.
pub type HashSet<K> = std::collections::HashSet<K, rustc_hash::FxBuildHasher>;
