//! Closed-loop load.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use awc::Client;

use crate::client::call::{Answer, CallError, complete};
use crate::client::report::{LoadReport, percentile_us};

/// Load to make.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// URL of the router or engine.
    pub base: String,
    /// Bearer key.
    pub key: String,
    /// Model.
    pub model: String,
    /// Requests under way at once.
    pub streams: usize,
    /// Requests in all.
    pub requests: usize,
    /// Tokens of each answer.
    pub tokens: u64,
}

#[derive(Debug, Default)]
struct Tally {
    started: usize,
    answers: Vec<Answer>,
    refused: usize,
    failed: usize,
    first_failure: Option<String>,
}

/// Makes the load and returns what it saw.
pub async fn run(options: &LoadOptions) -> LoadReport {
    let tally = Rc::new(RefCell::new(Tally::default()));
    let start = Instant::now();
    let workers = (0..options.streams).map(|_| work(options, tally.clone()));
    futures::future::join_all(workers).await;

    report(&tally.borrow(), start.elapsed())
}

async fn work(options: &LoadOptions, tally: Rc<RefCell<Tally>>) {
    let client = Client::builder().timeout(Duration::from_secs(120)).finish();
    loop {
        let n = {
            let mut tally = tally.borrow_mut();
            if tally.started == options.requests {
                return;
            }
            tally.started += 1;
            tally.started
        };
        let prompt = format!("request {n} of the load asks for its own words");
        let LoadOptions { base, key, model, tokens, .. } = options;
        let answer = complete(&client, base, key, model, &prompt, *tokens, true).await;
        tally.borrow_mut().add(answer);
    }
}

impl Tally {
    fn add(&mut self, answer: Result<Answer, CallError>) {
        match answer {
            Ok(answer) => self.answers.push(answer),
            Err(CallError::Status { retry_after_s: Some(_), .. }) => self.refused += 1,
            Err(e) => {
                self.failed += 1;
                self.first_failure.get_or_insert_with(|| e.to_string());
            }
        }
    }
}

fn report(tally: &Tally, elapsed: Duration) -> LoadReport {
    let mut first: Vec<Duration> = tally.answers.iter().map(|answer| answer.first).collect();
    let mut whole: Vec<Duration> = tally.answers.iter().map(|answer| answer.whole).collect();
    first.sort_unstable();
    whole.sort_unstable();

    LoadReport {
        whole: tally.answers.len(),
        refused: tally.refused,
        failed: tally.failed,
        per_second: tally.answers.len() as f64 / elapsed.as_secs_f64(),
        first_median_us: percentile_us(&first, 50),
        first_p95_us: percentile_us(&first, 95),
        whole_median_us: percentile_us(&whole, 50),
        first_failure: tally.first_failure.clone(),
    }
}
