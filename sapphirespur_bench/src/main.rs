//! Prints the measurements of `docs/MEASURES.md` and `docs/CAPACITY.md`.

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

/// Returns the current deployments, by name.
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
        Measure::Placement(args) => measure_placement(seeds, args.span_s),
    }
}

/// Number of reports that a router sends to each other router per second: one every 150 ms.
const REPORTS_PER_S: f64 = 1_000.0 / 150.0;

/// Prints the size of reports and the computing time per request, at growing fleet sizes.
fn measure_reports(seed: u64) {
    println!(
        "routers  engines  workspaces  bytes a report  KB/s a router  us a request, all parts"
    );
    for (factor, workspaces) in [(1, 16), (2, 32), (4, 64), (8, 128)] {
        let deployment = Deployment::agenzia().scaled(factor);
        let workload = Workload {
            request_kinds: deployment.request_kinds.clone(),
            workspaces,
            rate_factor: 1.0,
            pattern: TrafficPattern::Steady,
            duration: Duration::from_secs(10),
        };
        let start = std::time::Instant::now();
        let summary = run(&deployment, &workload, Policy::EdgeRouter, seed);
        let requests: u32 = summary.counts.iter().sum();
        let kilobytes_per_s =
            summary.mean_report_bytes() * REPORTS_PER_S * (deployment.routers - 1) as f64 / 1_000.0;
        println!(
            "{:7}  {:7}  {workspaces:10}  {:14.0}  {kilobytes_per_s:13.1}  {:24.1}",
            deployment.routers,
            deployment.engines,
            summary.mean_report_bytes(),
            start.elapsed().as_secs_f64() * 1e6 / f64::from(requests.max(1)),
        );
    }
}

/// Prints the results of the edge router and of the baseline policies, by pattern and load.
fn measure_placement(seeds: std::ops::Range<u64>, span_s: u64) {
    let deployment = Deployment::agenzia();
    println!(
        "pattern        load  seed  policy        in time  late   refused  failed  k tokens/s  \
         worst workspace  first event 95%  shared read"
    );
    for (pattern_name, pattern) in TrafficPattern::ALL {
        for factor in [0.7, 1.0, 1.5, 2.0, 4.0] {
            for seed in seeds.clone() {
                let workload = Workload {
                    request_kinds: deployment.request_kinds.clone(),
                    workspaces: 16,
                    rate_factor: factor,
                    pattern,
                    duration: Duration::from_secs(span_s),
                };
                for (name, policy) in Policy::ALL {
                    let summary = run(&deployment, &workload, policy, seed);
                    println!(
                        "{pattern_name:13}  {factor:4}  {seed:4}  {name:12}  {:7.3}  {:5.3}  \
                         {:7.3}  {:6.3}  {:10.0}  {:15.2}  {:>13} ms  {:11.2}",
                        summary.fraction(Outcome::InTime),
                        summary.fraction(Outcome::Late),
                        summary.fraction(Outcome::Declined),
                        summary.fraction(Outcome::Failed),
                        summary.goodput_kilotokens_per_s(),
                        summary.min_share_fraction(),
                        summary.first_event_p95().as_millis(),
                        summary.shared_prefilled_fraction(),
                    );
                }
            }
        }
    }
}

/// Prints the fairness gap and utilisation of each kind of scheduling.
fn measure_fairness(seeds: std::ops::Range<u64>) {
    let fleet = |millis| Scheduling::Fleet { report_interval: Duration::from_millis(millis) };
    let schedulings = [
        ("first come", Scheduling::FirstComeFirstServed),
        ("sidecar alone", Scheduling::PerSidecar),
        ("fleet, 500 ms", fleet(500)),
        ("fleet, 1000 ms", fleet(1_000)),
        ("fleet, 2000 ms", fleet(2_000)),
    ];
    println!("deployment  seed  order           gap since start  gap any interval  slots used");
    for (name, topology) in deployments() {
        for seed in seeds.clone() {
            for (title, scheduling) in schedulings {
                let m = fairness::run(&topology, scheduling, seed);
                println!(
                    "{name:10}  {seed:4}  {title:14}  {:15.2}  {:16.2}  {:10.4}",
                    m.gap_since_start, m.gap_any_interval, m.utilisation
                );
            }
        }
    }
}

/// Prints the service before, during and after the absence of a data centre.
fn measure_departure(seeds: std::ops::Range<u64>) {
    let loads = [("below", Load::Partial { percent: 50 }), ("above", Load::Backlogged)];
    for (name, topology) in deployments() {
        for seed in seeds.clone() {
            for (load_name, load) in loads {
                for kind in [departure::DepartureKind::Planned, departure::DepartureKind::Unplanned]
                {
                    let m = departure::run(&topology, load, kind, seed);
                    println!(
                        "{name} seed {seed} load {load_name} {kind:?}: last work {:?}, lost {}, \
                         remaining used {:.3}, back after {:?}",
                        m.last_start, m.lost_requests, m.remaining_utilisation, m.recovery_time
                    );
                    for (class, phases) in m.classes {
                        let columns: Vec<String> = phases
                            .iter()
                            .map(|s| format!("{:.2}/s p95 {} ms", s.answers_per_s, s.wait_p95_ms))
                            .collect();
                        println!("  {class:9} {}", columns.join(" | "));
                    }
                }
            }
        }
    }
}

/// Prints the size of a heartbeat on a real connection, and control traffic by fleet size.
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
    let measured = actix_rt::System::new().block_on(rpc::message_bytes(&message));
    match measured {
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
        for in_flight in [0, 20] {
            let m = control::run(
                &control::topology_of_size(routers, runners, workspaces),
                in_flight,
                seed,
            );
            let bytes_by_kind: Vec<String> =
                m.bytes_per_s.iter().map(|(kind, bytes)| format!("{kind} {bytes:.0}")).collect();
            // The topology has three data centres with `routers` routers each.
            println!(
                "{:7} {runners:7} {workspaces:10} {in_flight:4}  {:12.0}  {}",
                routers * 3,
                m.total_bytes_per_s(),
                bytes_by_kind.join(", ")
            );
        }
    }
}

/// Prints the load that the at-most-once ledger puts on the platform.
fn measure_ledger(seed: u64) {
    println!("under way  bookings/s  operations/s  transactions/s  median ms");
    // The topology has 16 workspaces, each with `in_flight` bookings.
    for in_flight in [1, 2, 4, 8] {
        let m = ledger::run(&Topology::agenzia(), in_flight, seed);
        println!(
            "{:9}  {:10.1}  {:12.1}  {:14.1}  {:9.1}",
            in_flight * 16,
            m.bookings_per_s,
            m.operations_per_s,
            m.transactions_per_s,
            m.median_ms
        );
    }
}

/// Prints processor time and memory of single components.
fn measure_capacity() {
    let print = |component: &str, cost: capacity::Cost| {
        println!(
            "{component:34} {:6}  {:8} KiB  {:10.2} us",
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
