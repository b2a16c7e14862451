//! Properties with a fixed seed, so that a test has the same verdict every run.

/// Number of cases of each property.
pub const CASES: u64 = 1_000;

/// Largest size of a generated value.
pub const SIZE: usize = 100;

/// Seed of the generator.
pub const SEED: u64 = 28;

/// Defines a test for each property: it must hold for all generated arguments.
macro_rules! properties {
    ($($(#[$meta:meta])* fn $name:ident($($arg:ident: $type:ty),*) -> bool $body:block)*) => {
        $(
            #[test]
            $(#[$meta])*
            fn $name() {
                fn property($($arg: $type),*) -> bool $body
                quickcheck::QuickCheck::new()
                    .rng(quickcheck::Gen::from_size_and_seed(
                        $crate::properties::SIZE,
                        $crate::properties::SEED,
                    ))
                    .tests($crate::properties::CASES)
                    .quickcheck(property as fn($($type),*) -> bool);
            }
        )*
    };
}
