//! Case 9: routers whose seeds are all stale never hear of one another, and each of them lets a request that
//! crashes runners through anew.

#[path = "../kit-2.rs"]
mod kit;

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kit::{Arrival, Record, Router, Runner, Store, Wire};

/// Bound of the deployment.
const CONTACT_MS: u64 = 3_000;

/// Retries of a request that crashes runners which may reach runners later than [`CONTACT_MS`] after the third
/// crash.
const ALLOWED: usize = 3;

/// Routers and runners, as on the sheet.
const ROUTERS: usize = 4;
const RUNNERS: usize = 3;

/// Time between two attempts of the client whose request crashes runners, each at the next router.
const HARMFUL_INTERVAL: Duration = Duration::from_millis(2_000);
const HARMFUL_ATTEMPTS: u64 = 24;

/// Time from the begin of such a run to the crash, and from the crash until the runner is back.
const CRASH_AFTER: Duration = Duration::from_millis(20);
const BACK_AFTER: Duration = Duration::from_millis(3_000);

/// Time from the crash until the store drops the entry: three heartbeats.
const EXPIRED_AFTER: Duration = Duration::from_millis(3_600);

/// Other clients, each with a kept connection, and the pause between two of their requests.
const CLIENTS: usize = 8;
const CLIENT_PAUSE: Duration = Duration::from_millis(50);
const WORK: Duration = Duration::from_millis(30);

struct Shared {
    record: Record,
    store: Store,
    /// Attempts that crashed a runner, with the time at which they reached it.
    crashes: Mutex<Vec<(String, u64)>>,
    /// Other requests that runners began, and those that they finished.
    begun: Mutex<HashSet<String>>,
    finished: Mutex<HashSet<String>>,
    answers: Mutex<HashMap<String, u16>>,
    starts: AtomicU64,
    is_over: AtomicBool,
}

fn main() {
    let has_trouble = kit::has_trouble();
    let shared = Arc::new(Shared {
        record: Record::create("9"),
        store: Store::start(),
        crashes: Mutex::default(),
        begun: Mutex::default(),
        finished: Mutex::default(),
        answers: Mutex::default(),
        starts: AtomicU64::new(0),
        is_over: AtomicBool::new(false),
    });
    let record = shared.record.clone();
    record.say(&format!("trouble: {has_trouble}; {ROUTERS} routers"));
    for _ in 0..RUNNERS {
        start_runner(&shared);
    }
    shared.store.put("op/config", &kit::config(1));
    let routers = start_routers(&shared, has_trouble);
    // No disruption for `contact_ms`, and time to meet.
    thread::sleep(Duration::from_millis(CONTACT_MS + 1_000));

    let frontends: Vec<SocketAddr> = routers.iter().map(|router| router.frontend).collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (shared, frontend) = (Arc::clone(&shared), frontends[number % ROUTERS]);
            kit::spawn(move || run_client(&shared, frontend, number))
        })
        .collect();
    let started = Instant::now();
    for attempt in 0..HARMFUL_ATTEMPTS {
        let due = started + HARMFUL_INTERVAL * attempt as u32;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let router = attempt as usize % ROUTERS;
        let id = format!("harmful-{attempt:02}");
        let status = ask(frontends[router], "/book/harmful", &id, 1);
        record.line(&format!("attempt {id} at router {router}: {status:?}"));
    }
    shared.is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let crashes = shared.crashes.lock().unwrap();
    let third = crashes.get(2).map(|(_, at)| *at);
    let mut late = 0;
    for (id, at) in crashes.iter() {
        let is_late = third.is_some_and(|third| *at > third + CONTACT_MS);
        late += usize::from(is_late);
        record.line(&format!("{id} crashed a runner at {at} ms{}", if is_late { ", LATE" } else { "" }));
    }
    let (begun, finished) = (shared.begun.lock().unwrap(), shared.finished.lock().unwrap());
    let answers = shared.answers.lock().unwrap();
    let lost: Vec<&String> = begun.difference(&finished).collect();
    for id in &lost {
        record.line(&format!("write {id} was at a runner as it crashed, answer {:?}", answers.get(*id)));
    }
    record.say(&format!(
        "{} attempts crashed runners; {} of {} writes of other clients were lost with them",
        crashes.len(),
        lost.len(),
        answers.len()
    ));
    record.say(&format!(
        "BUDGET: {late} retries reached runners later than {CONTACT_MS} ms after the third crash; allowed {ALLOWED}"
    ));
    drop(routers);
    std::process::exit(if late > ALLOWED { kit::BROKEN } else { kit::HELD });
}

fn start_routers(shared: &Shared, has_trouble: bool) -> Vec<Router> {
    let mut ips: Vec<Ipv4Addr> = Vec::new();
    while ips.len() < ROUTERS + 3 {
        let ip = kit::free_ip();
        if !ips.contains(&ip) {
            ips.push(ip);
        }
        thread::sleep(Duration::from_millis(2));
    }
    let peers = kit::free_port(&ips);
    // At the stale ones, nobody listens.
    let seeds = if has_trouble { &ips[ROUTERS..] } else { &ips[..3] };
    let seeds: Vec<String> = seeds.iter().map(|ip| format!("{ip}:8785")).collect();
    shared.record.line(&format!("seeds {seeds:?}"));
    (0..ROUTERS)
        .map(|number| {
            let name = format!("edge-{number}");
            Router::start_at(&name, &shared.store, 110, ips[number], peers, &seeds.join(","))
        })
        .collect()
}

/// Starts a runner under a new identifier, and writes its entry.
fn start_runner(shared: &Arc<Shared>) {
    let number = shared.starts.fetch_add(1, Ordering::SeqCst);
    let own: Arc<Mutex<Option<Runner>>> = Arc::default();
    let (sharing, itself) = (Arc::clone(shared), Arc::clone(&own));
    let behaviour = move |arrival: &Arrival, wire: &mut Wire| {
        if arrival.head.path().ends_with("/harmful") {
            crash(&sharing, &itself, arrival);
            return Ok(false);
        }
        sharing.begun.lock().unwrap().insert(arrival.id.clone());
        thread::sleep(WORK);
        wire.write(&format!("HTTP/1.1 200 OK\r\n{}Content-Length: 2\r\n\r\nok", arrival.signed))?;
        sharing.finished.lock().unwrap().insert(arrival.id.clone());
        Ok(true)
    };
    let id = format!("i-office-{number}");
    let runner = Runner::start(&id, "office-app", "piraeus", 6, Arc::new(behaviour));
    shared.store.put(&runner.key(), &runner.entry("ready", kit::wall_ms(), 1));
    shared.record.line(&format!("runner {id} is up"));
    *own.lock().unwrap() = Some(runner);
}

/// Ends the runner under a request; another incarnation is up after some seconds.
fn crash(shared: &Arc<Shared>, own: &Mutex<Option<Runner>>, arrival: &Arrival) {
    let at = shared.record.now_ms();
    thread::sleep(CRASH_AFTER);
    let Some(runner) = own.lock().unwrap().take() else { return };
    shared.crashes.lock().unwrap().push((arrival.id.clone(), at));
    shared.record.line(&format!("runner {} crashes under {}", runner.id, arrival.id));
    runner.stop();
    let (shared, key) = (Arc::clone(shared), runner.key());
    kit::spawn(move || {
        thread::sleep(BACK_AFTER);
        start_runner(&shared);
        thread::sleep(EXPIRED_AFTER - BACK_AFTER);
        shared.store.remove(&key);
    });
}

/// Sends one write on a new connection; returns the status.
fn ask(frontend: SocketAddr, path: &str, id: &str, tenant: usize) -> io::Result<u16> {
    let mut wire = Wire::connect(frontend)?;
    wire.stream.set_read_timeout(Some(Duration::from_secs(4)))?;
    wire.write(&kit::request(path, id, tenant, 1_500, ""))?;
    let head = wire.read_head()?;
    wire.read_body(&head)?;
    Ok(head.status())
}

/// Sends writes that harm no runner, each with a path of its own.
fn run_client(shared: &Shared, frontend: SocketAddr, number: usize) {
    let mut count = 0;
    while !shared.is_over.load(Ordering::SeqCst) {
        count += 1;
        let id = format!("w{number}-{count:05}");
        let status = ask(frontend, &format!("/book/{id}"), &id, 2 + number).unwrap_or(0);
        shared.answers.lock().unwrap().insert(id, status);
        thread::sleep(CLIENT_PAUSE);
    }
}
