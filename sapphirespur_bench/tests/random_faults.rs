//! Random sequences of faults, after which all invariants must hold.

mod common;

use std::time::Duration;

use common::{add_mixed_clients, small_fleet};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use sapphirespur_bench::fleet::{Fleet, PLATFORM};
use sapphirespur_bench::invariants::{all_answered, safety};
use sapphirespur_bench::topology::{Topology, data_centre_change};
use sapphirespur_core::config::DataCentreState;
use sapphirespur_core::name::Name;

/// Seed of the fault sequences.
const SEED: u64 = 2026;

/// Number of fault sequences.
const SEQUENCES: u64 = 60;

/// Fault to inject; a number selects the node, except for `LostPlatformResponses`, where it is the
/// number of lost responses.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Restart(u8),
    Pause(u8),
    Isolate(u8),
    PartitionFromPlatform(u8),
    Blackhole(u8),
    PlatformDown,
    LostPlatformResponses(u8),
    SlowPlatform,
    ColdStart(u8),
    DataCentreOut,
    LossyLinks,
    DuplicatingLinks,
}

/// Fault with its delay after the previous one and its duration.
#[derive(Clone, Copy, Debug)]
struct TimedFault {
    fault: Fault,
    delay_ms: u16,
    duration_ms: u16,
}

impl Arbitrary for TimedFault {
    fn arbitrary(g: &mut Gen) -> Self {
        let node = u8::arbitrary(g);
        let faults = [
            Fault::Restart(node),
            Fault::Pause(node),
            Fault::Isolate(node),
            Fault::PartitionFromPlatform(node),
            Fault::Blackhole(node),
            Fault::PlatformDown,
            Fault::LostPlatformResponses(node % 4),
            Fault::SlowPlatform,
            Fault::ColdStart(node),
            Fault::DataCentreOut,
            Fault::LossyLinks,
            Fault::DuplicatingLinks,
        ];
        let fault = *g.choose(&faults).expect("the list is not empty");

        Self { fault, delay_ms: u16::arbitrary(g) % 3_000, duration_ms: u16::arbitrary(g) % 8_000 }
    }
}

impl TimedFault {
    fn inject(self, fleet: &mut Fleet) {
        let duration = Duration::from_millis(self.duration_ms.into());
        let names: Vec<Name> = fleet.nodes.keys().cloned().collect();
        let node_at = |index: u8| names[usize::from(index) % names.len()].clone();
        match self.fault {
            Fault::Restart(node) => {
                let name = node_at(node);
                fleet.kill(&name);
                fleet.schedule_action(duration, move |fleet| {
                    if !fleet.nodes[&name].is_alive {
                        fleet.restart(&name);
                    }
                });
            }
            Fault::Pause(node) => {
                let name = node_at(node);
                fleet.pause(&name);
                fleet.schedule_action(duration, move |fleet| fleet.resume(&name));
            }
            Fault::Isolate(node) => {
                fleet.partition(&[node_at(node)], &names);
                fleet.schedule_action(duration, Fleet::heal_partitions);
            }
            Fault::PartitionFromPlatform(node) => {
                fleet.partition(&[node_at(node)], &[Name::new(PLATFORM)]);
                fleet.schedule_action(duration, Fleet::heal_partitions);
            }
            Fault::Blackhole(node) => fleet.blackhole(&node_at(node)),
            Fault::PlatformDown => {
                fleet.platform.fault.is_down = true;
                fleet.schedule_action(duration, |fleet| fleet.platform.fault.is_down = false);
            }
            Fault::LostPlatformResponses(count) => {
                fleet.platform.fault.responses_to_lose = count.into();
            }
            Fault::SlowPlatform => {
                fleet.platform.fault.delay = Duration::from_millis(900);
                fleet
                    .schedule_action(duration, |fleet| fleet.platform.fault.delay = Duration::ZERO);
            }
            Fault::ColdStart(node) => {
                let now = fleet.now;
                let name = node_at(node);
                if let Some(engine) = fleet.engines.get_mut(&name) {
                    engine.params.cold_duration = duration;
                    engine.reset_to_cold(now);
                }
            }
            Fault::DataCentreOut => {
                fleet.confirm(&[data_centre_change("west", DataCentreState::Out)]);
                fleet.schedule_action(duration, |fleet| {
                    fleet.confirm(&[data_centre_change("west", DataCentreState::In)]);
                });
            }
            Fault::LossyLinks => {
                fleet.links.loss_per_mille = 150;
                fleet.schedule_action(duration, |fleet| fleet.links.loss_per_mille = 0);
            }
            Fault::DuplicatingLinks => {
                fleet.links.duplication_per_mille = 150;
                fleet.schedule_action(duration, |fleet| fleet.links.duplication_per_mille = 0);
            }
        }
    }
}

fn keeps_invariants(faults: &[TimedFault], seed: u64) -> bool {
    let (topology, mut fleet): (Topology, Fleet) = small_fleet(seed);
    add_mixed_clients(&mut fleet, &topology, Duration::from_secs(40));
    fleet.run_for(Duration::from_secs(3));
    for fault in faults {
        fleet.run_for(Duration::from_millis(fault.delay_ms.into()));
        fault.inject(&mut fleet);
    }
    fleet.run_for(Duration::from_secs(120));

    let mut violations = safety(&fleet.history);
    violations.extend(all_answered(&fleet.history, fleet.now));
    if !violations.is_empty() {
        eprintln!("seed {seed}, {faults:?}: {:?}", &violations[..violations.len().min(5)]);
    }
    violations.is_empty()
}

#[test]
fn random_fault_sequences_violate_no_invariant() {
    fn property(mut faults: Vec<TimedFault>, seed: u8) -> bool {
        faults.truncate(8);
        keeps_invariants(&faults, seed.into())
    }

    QuickCheck::new()
        .rng(Gen::from_size_and_seed(10, SEED))
        .tests(SEQUENCES)
        .quickcheck(property as fn(Vec<TimedFault>, u8) -> bool);
}
