//! Closed-loop load: each worker sends its next request after the previous response.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use awc::Client;

use crate::client::call::{CallError, Response, complete};
use crate::client::report::{LoadReport, percentile_us};

/// Target and size of a load.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// URL of the router or engine.
    pub base_url: String,
    /// API key, sent as a bearer token.
    pub key: String,
    /// Model to call.
    pub model: String,
    /// Number of workers, each with one request at a time.
    pub concurrency: usize,
    /// Total number of requests.
    pub requests: usize,
    /// Length of each response, in tokens.
    pub tokens_per_response: u64,
}

/// Results that the workers collect.
#[derive(Debug, Default)]
struct LoadStats {
    started: usize,
    responses: Vec<Response>,
    refused: usize,
    failed: usize,
    first_failure: Option<String>,
}

/// Runs the load and returns its report.
pub async fn run(options: &LoadOptions) -> LoadReport {
    let stats = Rc::new(RefCell::new(LoadStats::default()));
    let start = Instant::now();
    let workers = (0..options.concurrency).map(|_| run_worker(options, stats.clone()));
    futures::future::join_all(workers).await;

    build_report(&stats.borrow(), start.elapsed())
}

async fn run_worker(options: &LoadOptions, stats: Rc<RefCell<LoadStats>>) {
    let client = Client::builder().timeout(Duration::from_secs(120)).finish();
    loop {
        let n = {
            let mut stats = stats.borrow_mut();
            if stats.started == options.requests {
                return;
            }
            stats.started += 1;
            stats.started
        };
        let prompt = format!("request {n} of the load asks for its own words");
        let LoadOptions { base_url, key, model, tokens_per_response, .. } = options;
        let response =
            complete(&client, base_url, key, model, &prompt, *tokens_per_response, true).await;
        stats.borrow_mut().add(response);
    }
}

impl LoadStats {
    fn add(&mut self, response: Result<Response, CallError>) {
        match response {
            Ok(response) => self.responses.push(response),
            Err(CallError::Status { retry_after_s: Some(_), .. }) => self.refused += 1,
            Err(e) => {
                self.failed += 1;
                self.first_failure.get_or_insert_with(|| e.to_string());
            }
        }
    }
}

fn build_report(stats: &LoadStats, elapsed: Duration) -> LoadReport {
    let mut times_to_first_byte: Vec<Duration> =
        stats.responses.iter().map(|response| response.time_to_first_byte).collect();
    let mut total_times: Vec<Duration> =
        stats.responses.iter().map(|response| response.total_time).collect();
    times_to_first_byte.sort_unstable();
    total_times.sort_unstable();

    LoadReport {
        whole: stats.responses.len(),
        refused: stats.refused,
        failed: stats.failed,
        per_second: stats.responses.len() as f64 / elapsed.as_secs_f64(),
        first_median_us: percentile_us(&times_to_first_byte, 50),
        first_p95_us: percentile_us(&times_to_first_byte, 95),
        whole_median_us: percentile_us(&total_times, 50),
        first_failure: stats.first_failure.clone(),
    }
}
