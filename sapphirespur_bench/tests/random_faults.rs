//! Random orders of faults; what must always hold does.

mod common;

use std::time::Duration;

use common::{add_mixed_clients, small_fleet};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use sapphirespur_bench::fleet::{Fleet, PLATFORM};
use sapphirespur_bench::invariants::{all_answered, safety};
use sapphirespur_bench::topology::{Topology, data_centre_change};
use sapphirespur_core::config::DataCentreState;
use sapphirespur_core::name::Name;

/// Seed of the orders of faults.
const SEED: u64 = 2026;

/// Orders that are tried.
const ORDERS: u64 = 60;

/// Fault at one node or at the platform.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Restart(u8),
    Freeze(u8),
    CutOff(u8),
    CutFromPlatform(u8),
    Silence(u8),
    PlatformDown,
    LostPlatformAnswers(u8),
    SlowPlatform,
    Chill(u8),
    DataCentreOut,
    Lossy,
    Repeating,
}

/// Fault with the time until it comes and for which it lasts.
#[derive(Clone, Copy, Debug)]
struct Strike {
    fault: Fault,
    pause_ms: u16,
    lasts_ms: u16,
}

impl Arbitrary for Strike {
    fn arbitrary(g: &mut Gen) -> Self {
        let node = u8::arbitrary(g);
        let faults = [
            Fault::Restart(node),
            Fault::Freeze(node),
            Fault::CutOff(node),
            Fault::CutFromPlatform(node),
            Fault::Silence(node),
            Fault::PlatformDown,
            Fault::LostPlatformAnswers(node % 4),
            Fault::SlowPlatform,
            Fault::Chill(node),
            Fault::DataCentreOut,
            Fault::Lossy,
            Fault::Repeating,
        ];
        let fault = *g.choose(&faults).expect("there are faults");

        Self { fault, pause_ms: u16::arbitrary(g) % 3_000, lasts_ms: u16::arbitrary(g) % 8_000 }
    }
}

impl Strike {
    fn strike(self, fleet: &mut Fleet) {
        let lasts = Duration::from_millis(self.lasts_ms.into());
        let names: Vec<Name> = fleet.nodes.keys().cloned().collect();
        let pick = |index: u8| names[usize::from(index) % names.len()].clone();
        match self.fault {
            Fault::Restart(node) => {
                let name = pick(node);
                fleet.kill(&name);
                fleet.schedule_action(lasts, move |fleet| {
                    if !fleet.nodes[&name].is_alive {
                        fleet.restart(&name);
                    }
                });
            }
            Fault::Freeze(node) => {
                let name = pick(node);
                fleet.pause(&name);
                fleet.schedule_action(lasts, move |fleet| fleet.resume(&name));
            }
            Fault::CutOff(node) => {
                fleet.partition(&[pick(node)], &names);
                fleet.schedule_action(lasts, Fleet::heal_partitions);
            }
            Fault::CutFromPlatform(node) => {
                fleet.partition(&[pick(node)], &[Name::new(PLATFORM)]);
                fleet.schedule_action(lasts, Fleet::heal_partitions);
            }
            Fault::Silence(node) => fleet.blackhole(&pick(node)),
            Fault::PlatformDown => {
                fleet.platform.fault.is_down = true;
                fleet.schedule_action(lasts, |fleet| fleet.platform.fault.is_down = false);
            }
            Fault::LostPlatformAnswers(count) => {
                fleet.platform.fault.responses_to_lose = count.into();
            }
            Fault::SlowPlatform => {
                fleet.platform.fault.delay = Duration::from_millis(900);
                fleet.schedule_action(lasts, |fleet| fleet.platform.fault.delay = Duration::ZERO);
            }
            Fault::Chill(node) => {
                let now = fleet.now;
                let name = pick(node);
                if let Some(engine) = fleet.engines.get_mut(&name) {
                    engine.params.cold_duration = lasts;
                    engine.reset_to_cold(now);
                }
            }
            Fault::DataCentreOut => {
                fleet.confirm(&[data_centre_change("west", DataCentreState::Out)]);
                fleet.schedule_action(lasts, |fleet| {
                    fleet.confirm(&[data_centre_change("west", DataCentreState::In)]);
                });
            }
            Fault::Lossy => {
                fleet.links.loss_per_mille = 150;
                fleet.schedule_action(lasts, |fleet| fleet.links.loss_per_mille = 0);
            }
            Fault::Repeating => {
                fleet.links.duplication_per_mille = 150;
                fleet.schedule_action(lasts, |fleet| fleet.links.duplication_per_mille = 0);
            }
        }
    }
}

fn holds(strikes: &[Strike], seed: u64) -> bool {
    let (topology, mut fleet): (Topology, Fleet) = small_fleet(seed);
    add_mixed_clients(&mut fleet, &topology, Duration::from_secs(40));
    fleet.run_for(Duration::from_secs(3));
    for strike in strikes {
        fleet.run_for(Duration::from_millis(strike.pause_ms.into()));
        strike.strike(&mut fleet);
    }
    fleet.run_for(Duration::from_secs(120));

    let mut violations = safety(&fleet.history);
    violations.extend(all_answered(&fleet.history, fleet.now));
    if !violations.is_empty() {
        eprintln!("seed {seed}, {strikes:?}: {:?}", &violations[..violations.len().min(5)]);
    }
    violations.is_empty()
}

#[test]
fn any_order_of_faults_keeps_what_must_always_hold() {
    fn property(mut strikes: Vec<Strike>, seed: u8) -> bool {
        strikes.truncate(8);
        holds(&strikes, seed.into())
    }

    QuickCheck::new()
        .rng(Gen::from_size_and_seed(10, SEED))
        .tests(ORDERS)
        .quickcheck(property as fn(Vec<Strike>, u8) -> bool);
}
