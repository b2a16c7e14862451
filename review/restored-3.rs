//! Store that comes back from an older copy, in which a runner is ready that has left since.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::*;
use crate::twice::{chunk, config};

/// Events of a stream, and the time between two: less than the pause that the sheet allows (600 ms).
const EVENTS: u64 = 16;
const PAUSE: Duration = Duration::from_millis(500);

/// Clients, and the time between the starts of two: fewer streams than the sheet has.
const CLIENTS: usize = 40;
const INTERVAL: Duration = Duration::from_millis(190);

/// The runner that leaves. It never says so in its entry, which is removed.
const LEAVING: &str = "i-0d81f2";

/// Interval between heartbeats of a runner (`heartbeat_interval_ms`).
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time from the last heartbeat of the runner that leaves to the copy, and from the copy to the removal of
/// its entry.
const BEFORE_COPY: Duration = Duration::from_millis(400);
const BEFORE_REMOVAL: Duration = Duration::from_millis(200);

/// Time from the removal to the outage, and the length of the outage.
const BEFORE_OUTAGE: Duration = Duration::from_millis(2_500);
const OUTAGE: Duration = Duration::from_millis(500);

/// Time from the end of the outage until the entry is removed again.
const BEFORE_NEXT_REMOVAL: Duration = Duration::from_millis(1_500);

/// Time from the acknowledgement of a runner's leaving in which requests may reach it (`drain_ms`).
const DRAIN: Duration = Duration::from_millis(2_000);

/// Runners and times at which requests reached them.
type Arrivals = Arc<Mutex<Vec<(String, Instant)>>>;

/// Runner that works through streams; the one that leaves says so in its answers.
fn stream(is_leaving: &Arc<AtomicBool>, arrivals: &Arrivals) -> Arc<Handler> {
    let (is_leaving, arrivals) = (Arc::clone(is_leaving), Arc::clone(arrivals));
    Arc::new(move |runner: &Runner, arrival: &mut Arrival<'_>| {
        arrivals.lock().unwrap().push((runner.id.clone(), Instant::now()));
        let leaves = runner.id == LEAVING && is_leaving.load(Ordering::Relaxed);
        let head = format!(
            "{}Content-Type: text/event-stream\r\n{}Transfer-Encoding: chunked\r\n\r\n",
            runner.head(&arrival.attempt),
            if leaves { "Server-Leaving: 1\r\n" } else { "" }
        );
        let out = &mut *arrival.out;
        out.write_all(head.as_bytes())?;
        for id in 1..=EVENTS {
            chunk(out, &format!("id: {id}\ndata: part {id} of {}\n\n", arrival.attempt))?;
            thread::sleep(PAUSE);
        }
        out.write_all(b"0\r\n\r\n")?;
        Ok(true)
    })
}

/// Sends a stream and reads it to its end.
fn dossier(record: &Record, frontend: SocketAddr) {
    let id = attempt_id();
    record.line(&format!("client sends {id}: POST /dossier/x"));
    let headers = format!(
        "X-Sapphirespur-Model-Name: m\r\nX-Sapphirespur-Token-Usage: 1460,128\r\n\
         X-Sapphirespur-Prompt-Prefix-Hash: {id}:1460\r\n"
    );
    let sent = request("POST", "a.example", "/dossier/x", &id, 12_000, &headers, "{}");
    let reply = exchange(frontend, &sent, Duration::from_secs(15));
    let (status, is_complete) = (reply.status, reply.is_complete);
    record.line(&format!("client of {id} gets {status} complete={is_complete} {}", reply.error));
}

/// Starts the heartbeats of the runners that stay.
fn start_heartbeats(store: &Store, runners: &[Runner], stop: &Stop) -> thread::JoinHandle<()> {
    let (store, runners, stop) = (store.clone(), runners.to_vec(), stop.clone());
    thread::spawn(move || {
        let mut number = 2;
        while !stop.is_set() {
            for runner in &runners {
                store.put(&format!("servers/{}", runner.id), runner.entry(number).as_bytes());
            }
            number += 1;
            thread::sleep(HEARTBEAT);
        }
    })
}

pub fn run(root: &Path, folder: &Path) -> io::Result<i32> {
    let record = Record::create(&folder.join("record.txt"))?;
    let store = Store::start()?;
    let arrivals: Arrivals = Arc::default();
    let is_leaving = Arc::new(AtomicBool::new(false));
    let zones = ["milano", "torino", "bologna"];
    let runners = zones
        .iter()
        .enumerate()
        .map(|(i, zone)| {
            let handler = stream(&is_leaving, &arrivals);
            Runner::start(&format!("i-{i}d81f2"), "sapphire-pool", zone, 64, &record, handler)
        })
        .collect::<io::Result<Vec<_>>>()?;
    store.put("op/config", config().as_bytes());
    runners.iter().for_each(|runner| runner.register(&store));

    let temp = std::env::temp_dir().join(format!("review-3-restored-{}", std::process::id()));
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
    let (leaving, staying) = (&runners[0], &runners[1..]);
    let stop = Stop::default();
    let heartbeats = start_heartbeats(&store, staying, &stop);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            thread::sleep(INTERVAL);
            let (record, frontend, stop) = (record.clone(), router.frontend, stop.clone());
            thread::spawn(move || {
                while !stop.is_set() {
                    dossier(&record, frontend);
                }
            })
        })
        .collect();

    let key = format!("servers/{LEAVING}");
    store.put(&key, leaving.entry(2).as_bytes());
    thread::sleep(BEFORE_COPY);
    let copy = store.copy();
    thread::sleep(BEFORE_REMOVAL);
    is_leaving.store(true, Ordering::Relaxed);
    store.remove(&key);
    let acknowledged = Instant::now();
    record.line(&format!("the store acknowledges that {LEAVING} is gone"));
    thread::sleep(BEFORE_OUTAGE);
    if has_trouble() {
        record.line("the store is away");
        store.restore(copy, OUTAGE);
        record.line(&format!("the store is back from an older copy, in which {LEAVING} is ready"));
    }
    thread::sleep(BEFORE_NEXT_REMOVAL);
    store.remove(&key);
    record.line(&format!("the entry of {LEAVING} is removed again"));
    thread::sleep(DRAIN);
    stop.set();
    router.kill();
    clients.into_iter().for_each(|client| drop(client.join()));
    let _ = heartbeats.join();
    let _ = std::fs::remove_dir_all(&temp);

    let arrivals = arrivals.lock().unwrap();
    let times = || arrivals.iter().filter(|(id, _)| id == LEAVING).map(|(_, at)| *at);
    let late = times().filter(|at| *at > acknowledged + DRAIN).count();
    record.line(&format!(
        "{} requests reach {LEAVING}, {late} of them later than {DRAIN:?} after that",
        times().count()
    ));
    Ok(if late > 0 { BROKEN } else { HELD })
}
