//! Prints the measures of `docs/MEASURES.md` and `docs/CAPACITY.md`.

use std::time::Duration;

use argh::FromArgs;
use sapphirespur_bench::links::encoded_bytes;
use sapphirespur_bench::measure::fairness::Scheduling;
use sapphirespur_bench::measure::load::Load;
use sapphirespur_bench::measure::{capacity, control, departure, fairness, ledger, rpc};
use sapphirespur_bench::placement::{Deployment, Outcome, Policy, TrafficPattern, Workload, run};
use sapphirespur_bench::topology::Topology;
use sapphirespur_core::limiter::Phase;
use sapphirespur_core::message::{Heartbeat, Message, NodeState, SidecarState};
use sapphirespur_core::name::Name;

/// Measures the decisions of sapphirespur in virtual time.
#[derive(Debug, FromArgs)]
struct Args {
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds
    #[argh(option, default = "3")]
    seeds: u64,
    /// what to measure
    #[argh(subcommand)]
    measure: Measure,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Measure {
    Capacity(CapacityArgs),
    Control(ControlArgs),
    Departure(DepartureArgs),
    Fairness(FairnessArgs),
    Ledger(LedgerArgs),
    Placement(PlacementArgs),
    Reports(ReportsArgs),
}

/// Fairness gap and utilisation with all workspaces backlogged.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "fairness")]
struct FairnessArgs {}

/// Service while a data centre leaves and returns.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "departure")]
struct DepartureArgs {}

/// Control traffic and its growth.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "control")]
struct ControlArgs {}

/// Calls of the once-ledger.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "ledger")]
struct LedgerArgs {}

/// Placement of requests under load, against plain policies.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "placement")]
struct PlacementArgs {
    /// seconds of load
    #[argh(option, default = "60")]
    span_s: u64,
}

/// Reports between routers and the time of a decision, at growing sizes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "reports")]
struct ReportsArgs {}

/// Processor time and memory of single parts.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "capacity")]
struct CapacityArgs {}

/// Deployments of today.
fn deployments() -> [(&'static str, Topology); 2] {
    [("agenzia", Topology::agenzia()), ("katharotis", Topology::katharotis())]
}

fn main() {
    let args: Args = argh::from_env();
    let seeds = args.seed..args.seed + args.seeds;
    match args.measure {
        Measure::Capacity(_) => measure_capacity(),
        Measure::Control(_) => measure_control(args.seed),
        Measure::Departure(_) => measure_departure(seeds),
        Measure::Fairness(_) => measure_fairness(seeds),
        Measure::Ledger(_) => measure_ledger(args.seed),
        Measure::Reports(_) => measure_reports(args.seed),
        Measure::Placement(placement) => measure_placement(seeds, placement.span_s),
    }
}

/// Reports that a router sends to each other one in a second.
const REPORTS_PER_S: f64 = 1_000.0 / 150.0;

fn measure_reports(seed: u64) {
    println!(
        "routers  engines  workspaces  bytes a report  KB/s a router  us a request, all parts"
    );
    for (factor, workspaces) in [(1, 16), (2, 32), (4, 64), (8, 128)] {
        let deployment = Deployment::agenzia().scaled(factor);
        let load = Workload {
            request_kinds: deployment.request_kinds.clone(),
            workspaces,
            rate_factor: 1.0,
            pattern: TrafficPattern::Steady,
            duration: Duration::from_secs(10),
        };
        let start = std::time::Instant::now();
        let t = run(&deployment, &load, Policy::EdgeRouter, seed);
        let requests: u32 = t.counts.iter().sum();
        let per_s =
            t.mean_report_bytes() * REPORTS_PER_S * (deployment.routers - 1) as f64 / 1_000.0;
        println!(
            "{:7}  {:7}  {workspaces:10}  {:14.0}  {per_s:13.1}  {:24.1}",
            deployment.routers,
            deployment.engines,
            t.mean_report_bytes(),
            start.elapsed().as_secs_f64() * 1e6 / f64::from(requests.max(1)),
        );
    }
}

fn measure_placement(seeds: std::ops::Range<u64>, span_s: u64) {
    let deployment = Deployment::agenzia();
    println!(
        "pattern        load  seed  policy        in time  late   refused  failed  k tokens/s  \
         worst workspace  first event 95%  shared read"
    );
    for (pattern_name, pattern) in TrafficPattern::ALL {
        for factor in [0.7, 1.0, 1.5, 2.0, 4.0] {
            for seed in seeds.clone() {
                let load = Workload {
                    request_kinds: deployment.request_kinds.clone(),
                    workspaces: 16,
                    rate_factor: factor,
                    pattern,
                    duration: Duration::from_secs(span_s),
                };
                for (name, policy) in Policy::ALL {
                    let t = run(&deployment, &load, policy, seed);
                    println!(
                        "{pattern_name:13}  {factor:4}  {seed:4}  {name:12}  {:7.3}  {:5.3}  \
                         {:7.3}  {:6.3}  {:10.0}  {:15.2}  {:>13} ms  {:11.2}",
                        t.fraction(Outcome::InTime),
                        t.fraction(Outcome::Late),
                        t.fraction(Outcome::Refused),
                        t.fraction(Outcome::Failed),
                        t.goodput_kilotokens_per_s(),
                        t.min_share_fraction(),
                        t.first_event_p95().as_millis(),
                        t.shared_read_fraction(),
                    );
                }
            }
        }
    }
}

fn measure_fairness(seeds: std::ops::Range<u64>) {
    let fleet = |millis| Scheduling::Fleet { report_interval: Duration::from_millis(millis) };
    let orders = [
        ("first come", Scheduling::FirstComeFirstServed),
        ("sidecar alone", Scheduling::PerSidecar),
        ("fleet, 500 ms", fleet(500)),
        ("fleet, 1000 ms", fleet(1_000)),
        ("fleet, 2000 ms", fleet(2_000)),
    ];
    println!("deployment  seed  order           gap since start  gap any interval  slots used");
    for (name, topology) in deployments() {
        for seed in seeds.clone() {
            for (title, order) in orders {
                let f = fairness::run(&topology, order, seed);
                println!(
                    "{name:10}  {seed:4}  {title:14}  {:15.2}  {:16.2}  {:10.4}",
                    f.gap_since_start, f.gap_any_interval, f.utilisation
                );
            }
        }
    }
}

fn measure_departure(seeds: std::ops::Range<u64>) {
    let loads = [("below", Load::Partial { percent: 50 }), ("above", Load::Backlogged)];
    for (name, topology) in deployments() {
        for seed in seeds.clone() {
            for (load_name, load) in loads {
                for kind in [departure::DepartureKind::Planned, departure::DepartureKind::Unplanned]
                {
                    let f = departure::run(&topology, load, kind, seed);
                    println!(
                        "{name} seed {seed} load {load_name} {kind:?}: last work {:?}, lost {}, \
                         remaining used {:.3}, back after {:?}",
                        f.last_start, f.lost_requests, f.remaining_utilisation, f.recovery_time
                    );
                    for (class, parts) in f.classes {
                        let text: Vec<String> = parts
                            .iter()
                            .map(|p| format!("{:.2}/s p95 {} ms", p.per_second, p.wait_p95_ms))
                            .collect();
                        println!("  {class:9} {}", text.join(" | "));
                    }
                }
            }
        }
    }
}

fn measure_control(seed: u64) {
    let message = Message::Heartbeat(Heartbeat {
        incarnation: 1,
        revision: 1,
        state: NodeState::Sidecar(SidecarState {
            upstream: Name::new("milano-m0"),
            phase: Phase::Warm,
            limit: 8,
            free: 8,
            serving: true,
        }),
    });
    let counted = actix_rt::System::new().block_on(rpc::message_bytes(&message));
    match counted {
        Ok(bytes) => println!(
            "heartbeat on a real link: {bytes} bytes with answer; the model counts {}",
            encoded_bytes(&message)
        ),
        Err(e) => println!("heartbeat on a real link: not measured: {e}"),
    }

    println!("routers runners workspaces load  bytes/s/node  by kind");
    for (routers, runners, workspaces) in [
        (2, 20, 16),
        (4, 20, 16),
        (8, 20, 16),
        (2, 40, 16),
        (2, 80, 16),
        (2, 20, 64),
        (2, 20, 256),
        (8, 80, 64),
    ] {
        for under_way in [0, 20] {
            let f = control::run(
                &control::topology_of_size(routers, runners, workspaces),
                under_way,
                seed,
            );
            let kinds: Vec<String> =
                f.bytes_per_s.iter().map(|(kind, bytes)| format!("{kind} {bytes:.0}")).collect();
            println!(
                "{:7} {runners:7} {workspaces:10} {under_way:4}  {:12.0}  {}",
                routers * 3,
                f.total_bytes_per_s(),
                kinds.join(", ")
            );
        }
    }
}

fn measure_ledger(seed: u64) {
    println!("under way  bookings/s  operations/s  transactions/s  median ms");
    for under_way in [1, 2, 4, 8] {
        let f = ledger::run(&Topology::agenzia(), under_way, seed);
        println!(
            "{:9}  {:10.1}  {:12.1}  {:14.1}  {:9.1}",
            under_way * 16,
            f.bookings_per_s,
            f.operations_per_s,
            f.transactions_per_s,
            f.median_ms
        );
    }
}

fn measure_capacity() {
    let print = |part: &str, cost: capacity::Cost| {
        println!(
            "{part:34} {:6}  {:8} KiB  {:10.2} us",
            cost.size,
            cost.memory_bytes / 1024,
            cost.time_per_operation.as_secs_f64() * 1e6
        );
    };
    println!("part                                 size      memory   operation");
    for size in [1_000, 8_000, 33_000] {
        print("configuration, one change", capacity::config_update(size, 20));
    }
    for size in [100, 1_000, 4_000] {
        print("account home, one report entry", capacity::account_table(size, 20));
    }
    for size in [50, 220, 1_000, 3_300] {
        print("order of a sidecar, one choice", capacity::scheduler(size, 2_000));
    }
}
