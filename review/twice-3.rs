//! Stream whose runner spoils an event and goes on with it.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::*;

/// Events of a stream, and the time between two: less than the pause that the sheet allows (600 ms).
const EVENTS: u64 = 12;
const PAUSE: Duration = Duration::from_millis(500);

/// Event that the faulty runner spoils.
const SPOILT: u64 = 4;

/// Time for which a runner may work on a request that goes on at another one (TWICE).
const SLACK: Duration = Duration::from_millis(400);

/// Streams, and the time between the starts of two: fewer than the sheet has of these.
const STREAMS: usize = 90;
const INTERVAL: Duration = Duration::from_millis(55);

/// The faulty runner, the stream among those that it begins that it spoils, and the largest part of its
/// streams that this may be (`garble`).
const FAULTY: &str = "i-0c40e9";
const SPOILT_STREAM: u64 = 21;
const MAX_PART: f64 = 0.05;

/// Work of a runner on an attempt.
#[derive(Clone, Debug)]
struct Run {
    attempt: String,
    runner: String,
    began: Instant,
    ended: Option<Instant>,
}

pub fn config() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"r-dossier\",\"host\":\"a.example\",\"path_prefix\":\"/dossier/\",\
     \"kind\":\"streaming\",\"timeout_ms\":12000,\"target_latency_ms\":1200,\"priority\":1,\
     \"service\":\"sapphire-pool\",\"attempts\":2,\"anonymous_access\":true,\"session_affinity\":true,\
     \"stream_resumption\":true,\"gap_target_ms\":600}],\
     \"services\":[{\"name\":\"sapphire-pool\",\"health_path\":\"/health\",\"connection_limit\":360,\
     \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":8.9,\
     \"inference_engine\":{\"slots\":64,\"kv_cache_tokens\":402395,\"token_bytes\":18432,\
     \"link_bandwidth_mbps\":740000.0,\"stride\":8,\"models\":[{\"name\":\"m\"}]}}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
     \"idle_timeout_ms\":15000,\"tokens_per_s\":320000},\"tenants\":[]}"
        .to_owned()
}

pub fn chunk(out: &mut impl Write, text: &str) -> io::Result<()> {
    out.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

/// Runner that works through streams, and drops one when a write finds its connection closed. With trouble,
/// the faulty one spoils one event of one stream; `begun` counts those that it begins.
fn stream(runs: &Arc<Mutex<Vec<Run>>>, begun: &Arc<AtomicU64>) -> Arc<Handler> {
    let (runs, begun) = (Arc::clone(runs), Arc::clone(begun));
    Arc::new(move |runner: &Runner, arrival: &mut Arrival<'_>| {
        let after =
            arrival.request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let index = {
            let mut runs = runs.lock().unwrap();
            runs.push(Run {
                attempt: arrival.attempt.clone(),
                runner: runner.id.clone(),
                began: Instant::now(),
                ended: None,
            });
            runs.len() - 1
        };
        let number =
            if runner.id == FAULTY { begun.fetch_add(1, Ordering::Relaxed) + 1 } else { 0 };
        let is_faulty = has_trouble() && number == SPOILT_STREAM;
        let head = format!(
            "{}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            runner.head(&arrival.attempt)
        );
        let out = &mut *arrival.out;
        let result = out.write_all(head.as_bytes()).and_then(|()| {
            for id in after + 1..=EVENTS {
                let line = if is_faulty && id == SPOILT {
                    "i\u{7f}\u{7f} 4".to_owned()
                } else {
                    format!("id: {id}")
                };
                if is_faulty && id == SPOILT {
                    runner
                        .record
                        .line(&format!("{} spoils event {id} of {}", runner.id, arrival.attempt));
                }
                chunk(out, &format!("{line}\ndata: part {id} of {}\n\n", arrival.attempt))?;
                thread::sleep(PAUSE);
            }
            out.write_all(b"0\r\n\r\n")
        });
        runs.lock().unwrap()[index].ended = Some(Instant::now());
        let how =
            if result.is_ok() { "to its end" } else { "until a write found its connection closed" };
        runner.record.line(&format!("{} has worked on {} {how}", runner.id, arrival.attempt));
        result.map(|()| true)
    })
}

/// Sends a stream and reads it to its end.
fn dossier(record: &Record, frontend: SocketAddr) {
    let id = attempt_id();
    record.line(&format!("client sends {id}: POST /dossier/x"));
    let headers = "X-Sapphirespur-Model-Name: m\r\nX-Sapphirespur-Token-Usage: 1460,96\r\n\
                   X-Sapphirespur-Prompt-Prefix-Hash: 5c1e07a2:800,91bd3f06:660\r\n";
    let sent = request("POST", "a.example", "/dossier/x", &id, 12_000, headers, "{}");
    let reply = exchange(frontend, &sent, Duration::from_secs(15));
    let (status, is_complete) = (reply.status, reply.is_complete);
    record.line(&format!("client of {id} gets {status} complete={is_complete} {}", reply.error));
}

pub fn run(root: &Path, folder: &Path) -> io::Result<i32> {
    let record = Record::create(&folder.join("record.txt"))?;
    let store = Store::start()?;
    let zones = ["milano", "torino", "bologna"];
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let begun = Arc::new(AtomicU64::new(0));
    let runners = zones
        .iter()
        .enumerate()
        .map(|(i, zone)| {
            Runner::start(
                &format!("i-{i}c40e9"),
                "sapphire-pool",
                zone,
                64,
                &record,
                stream(&runs, &begun),
            )
        })
        .collect::<io::Result<Vec<_>>>()?;
    store.put("op/config", config().as_bytes());
    runners.iter().for_each(|runner| runner.register(&store));

    let temp = std::env::temp_dir().join(format!("review-3-twice-{}", std::process::id()));
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

    let clients: Vec<_> = (0..STREAMS)
        .map(|_| {
            thread::sleep(INTERVAL);
            let (record, frontend) = (record.clone(), router.frontend);
            thread::spawn(move || dossier(&record, frontend))
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    thread::sleep(Duration::from_secs(2));
    router.kill();
    let _ = std::fs::remove_dir_all(&temp);

    let runs = runs.lock().unwrap().clone();
    let mut doubled = 0;
    for next in &runs {
        for before in &runs {
            if before.attempt == next.attempt
                && before.runner != next.runner
                && before.began < next.began
            {
                let ended = before.ended.unwrap_or_else(Instant::now);
                let both = ended.saturating_duration_since(next.began);
                record.line(&format!(
                    "{}: goes on at {}, {} works on it for another {} ms",
                    next.attempt,
                    next.runner,
                    before.runner,
                    both.as_millis()
                ));
                doubled += usize::from(both > SLACK);
            }
        }
    }
    let begun = begun.load(Ordering::Relaxed);
    record.line(&format!(
        "{STREAMS} streams, {begun} of them begun at {FAULTY}; {doubled} went on at another runner while the one \
         before still worked on them {} ms later",
        SLACK.as_millis()
    ));
    // The trouble was within its limit.
    if has_trouble() && (1.0 / begun as f64 > MAX_PART || begun < SPOILT_STREAM) {
        return Ok(COULD_NOT_RUN);
    }
    Ok(if doubled > 0 { BROKEN } else { HELD })
}
