//! Prints the measures.

use std::time::Duration;

use sapphirespur_bench::measure::fairness::{Order, run};
use sapphirespur_bench::topology::Topology;

fn main() {
    for seed in 1..=3 {
        for order in [Order::SidecarAlone, Order::Fleet { interval: Duration::from_millis(500) }] {
            println!("{seed} {order:?} {:?}", run(&Topology::agenzia(), order, seed));
        }
    }
}
