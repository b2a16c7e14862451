//! Runner that sends a late refusal, which names no attempt, after one of its answers.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::platform::*;

/// Clients, the requests of each, and its pause between two: about the rate of the sheet.
const CLIENTS: usize = 6;
const REQUESTS: usize = 32;
const PAUSE: Duration = Duration::from_millis(180);

/// Time for which a runner works on a request.
const WORK: Duration = Duration::from_millis(30);

/// The faulty runner, the answer after which it sends the refusal, and the largest part of its answers
/// that this may be (`garble`).
const FAULTY: &str = "i-0d81f3";
const ANSWER: u64 = 34;
const MAX_PART: f64 = 0.03;

/// Refusal as `fleetbench wire` shows it, with the length of its body.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    X-Sapphirespur-Request-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

fn config() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"r-approve\",\"host\":\"a.example\",\"path_prefix\":\"/approve/\",\
     \"kind\":\"non_idempotent\",\"timeout_ms\":800,\"target_latency_ms\":150,\"priority\":2,\
     \"service\":\"registry\",\"attempts\":1,\"anonymous_access\":true}],\
     \"services\":[{\"name\":\"registry\",\"health_path\":\"/health\",\"connection_limit\":96,\
     \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
     \"idle_timeout_ms\":15000,\"tokens_per_s\":320000},\"tenants\":[]}"
        .to_owned()
}

/// What the faulty runner has done so far.
#[derive(Default)]
struct Faulty {
    answers: AtomicU64,
    /// Remote address of the connection on which the refusal is due.
    due: Mutex<Option<SocketAddr>>,
}

fn registry(faulty: &Arc<Faulty>) -> Arc<Handler> {
    let faulty = Arc::clone(faulty);
    Arc::new(move |runner: &Runner, arrival: &mut Arrival<'_>| {
        let peer = arrival.out.peer_addr()?;
        // An extra response arrives late, at the point where the next response is expected.
        let is_due =
            runner.id == FAULTY && faulty.due.lock().unwrap().take_if(|due| *due == peer).is_some();
        if is_due {
            arrival.out.write_all(REFUSAL)?;
            runner.record.line(&format!(
                "{} sends the extra refusal while it runs {}",
                runner.id, arrival.attempt
            ));
        }
        thread::sleep(WORK);
        let body = plain_body(&runner.id, &arrival.attempt);
        let head = runner.head(&arrival.attempt);
        let text = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
        runner.record.line(&format!("{} has run {}", runner.id, arrival.attempt));
        arrival.out.write_all(text.as_bytes())?;
        if runner.id == FAULTY {
            let count = faulty.answers.fetch_add(1, Ordering::Relaxed) + 1;
            if has_trouble() && count == ANSWER {
                *faulty.due.lock().unwrap() = Some(peer);
            }
        }
        Ok(true)
    })
}

/// Sends a request; returns its attempt and the status of its answer.
fn approve(record: &Record, frontend: SocketAddr) -> (String, u16) {
    let id = attempt_id();
    record.line(&format!("client sends {id}: POST /approve/x"));
    let sent = request("POST", "a.example", "/approve/x", &id, 1_500, "", "{\"approve\":1}");
    let reply = exchange(frontend, &sent, Duration::from_secs(3));
    record.line(&format!("client of {id} gets {} {}", reply.status, reply.signature));
    thread::sleep(PAUSE);
    (id, reply.status)
}

pub fn run(root: &Path, folder: &Path) -> io::Result<i32> {
    let record = Record::create(&folder.join("record.txt"))?;
    let store = Store::start()?;
    let faulty: Arc<Faulty> = Arc::default();
    let zones = ["milano", "torino", "bologna"];
    let runners = zones
        .iter()
        .enumerate()
        .map(|(i, zone)| {
            let name = format!("i-{i}d81f3");
            Runner::start(&name, "registry", zone, 6, &record, registry(&faulty))
        })
        .collect::<io::Result<Vec<_>>>()?;
    store.put("op/config", config().as_bytes());
    runners.iter().for_each(|runner| runner.register(&store));

    let temp = std::env::temp_dir().join(format!("review-3-refusal-{}", std::process::id()));
    std::fs::create_dir_all(&temp)?;
    let deployment = Deployment {
        root: root.to_owned(),
        folder: temp.clone(),
        memory_mb: 260,
        store: store.address,
    };
    let ips = free_ips(1);
    let Some(ip) = ips.first() else { return Ok(COULD_NOT_RUN) };
    let mut router = Router::start(&deployment, "edge-milano-1", "milano", *ip, &ips)?;
    if !wait_until(Duration::from_secs(10), || router.is_ready()) {
        return Ok(COULD_NOT_RUN);
    }
    // In touch: nothing has happened for `contact_ms`.
    thread::sleep(Duration::from_secs(4));

    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (record, frontend) = (record.clone(), router.frontend);
            thread::spawn(move || {
                (0..REQUESTS).map(|_| approve(&record, frontend)).collect::<Vec<_>>()
            })
        })
        .collect();
    let replies: Vec<(String, u16)> =
        clients.into_iter().flat_map(|client| client.join().unwrap_or_default()).collect();
    thread::sleep(Duration::from_millis(500));
    router.kill();
    let _ = std::fs::remove_dir_all(&temp);

    let (mut twice, mut refused) = (0, 0);
    for (id, status) in &replies {
        let runs =
            |runner: &Runner| runner.runs.lock().unwrap().iter().filter(|run| *run == id).count();
        let runs: usize = runners.iter().map(runs).sum();
        if runs > 1 {
            record.line(&format!("TWICE: {id} has run {runs} times"));
            twice += 1;
        }
        if runs > 0 && matches!(*status, 408 | 421 | 429 | 503) {
            record.line(&format!("REFUSED: {id} has run and was answered {status}"));
            refused += 1;
        }
    }
    let answers = faulty.answers.load(Ordering::Relaxed);
    record.line(&format!(
        "{} requests, {answers} of them answered by {FAULTY}; {twice} ran twice, {refused} ran and were refused",
        replies.len()
    ));
    // The trouble was within its limit.
    if has_trouble() && (answers < ANSWER || 1.0 / answers as f64 > MAX_PART) {
        return Ok(COULD_NOT_RUN);
    }
    Ok(if twice + refused > 0 { BROKEN } else { HELD })
}
