//! Collection aliases with a fast hasher.

/// Hash map with a fast, seedless hasher.
pub type HashMap<K, V> = std::collections::HashMap<K, V, rustc_hash::FxBuildHasher>;

/// Hash set with a fast, seedless hasher.
pub type HashSet<K> = std::collections::HashSet<K, rustc_hash::FxBuildHasher>;
