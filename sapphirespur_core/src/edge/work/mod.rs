//! Expected cost of requests, and the work that is left at upstreams.

mod batch_effect;
mod hint_errors;
mod length_outlook;
mod log_histogram;
mod output_lengths;
mod prediction_errors;
mod remaining_work;
mod request_work;
mod work_estimate;
mod work_estimator;

pub use batch_effect::{BatchEffect, BatchMean};
pub use hint_errors::HintErrors;
pub use length_outlook::LengthOutlook;
pub use log_histogram::LogHistogram;
pub use output_lengths::OutputLengths;
pub use prediction_errors::PredictionErrors;
pub use remaining_work::RemainingWork;
pub use request_work::RequestWork;
pub use work_estimate::WorkEstimate;
pub use work_estimator::WorkEstimator;
