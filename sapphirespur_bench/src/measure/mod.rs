//! Measures of the brief, each with its baselines in the same run.

pub mod fairness;
pub mod load;
