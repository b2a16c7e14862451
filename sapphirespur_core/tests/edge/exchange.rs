//! Reports reach every router in bounded messages, whichever routers are killed or cut off.

use std::time::Duration;

use sapphirespur_core::collections::{HashMap, HashSet};
use sapphirespur_core::edge::ExchangeRole;

use crate::fleet::{Fleet, Node, SETTLED, STEP};
use crate::support::{call, ms};

/// Time after a loss in which the lost routers are passed over (3 s) and their work no longer counts
/// (2.5 s), with two intervals between reports.
const LOSS_NOTICED: Duration = Duration::from_secs(6);

impl Fleet {
    /// Places one request on the upstreams by each router.
    fn place_one_each(&mut self) {
        for node in &mut self.nodes {
            node.router.admit(self.now, &call("w", 1, 10, 10)).expect("placed");
        }
    }

    /// Returns the requests of the other routers that a router knows of.
    fn known_in_flight(&self, index: usize) -> u32 {
        let router = &self.nodes[index].router;
        let load = |upstream: &str| {
            let key = router.registry().upstreams().get(upstream).expect("it exists").key;
            router.peers().load(self.now, key).in_flight
        };
        ["u0", "u1", "u2", "u3"].into_iter().map(load).sum()
    }

    fn assert_all_know(&self, in_flight: u32) {
        for (index, node) in self.nodes.iter().enumerate().filter(|(_, node)| node.is_alive) {
            let role = node.router.exchange().role();
            assert_eq!(self.known_in_flight(index), in_flight, "r{index}, {role:?}");
        }
    }

    fn with_role(&self, role: ExchangeRole) -> Vec<usize> {
        let has_role = |node: &&Node| node.is_alive && node.router.exchange().role() == role;
        let nodes = self.nodes.iter().enumerate();
        nodes.filter(|(_, node)| has_role(node)).map(|(index, _)| index).collect()
    }
}

macro_rules! every_router_knows_the_work_of_all_others {
    ($($name:ident: $routers:expr, $data_centres:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut fleet = Fleet::start($routers, $data_centres);
                fleet.run(SETTLED);
                for node in &fleet.nodes {
                    assert_eq!(node.router.peers().count(fleet.now), $routers - 1);
                }
                fleet.place_one_each();
                fleet.run(ms(1_000));
                fleet.assert_all_know($routers - 1);
            }
        )*
    };
}

every_router_knows_the_work_of_all_others! {
    four_routers_in_a_mesh_know_all_work: 4, 3;
    eight_routers_in_a_mesh_know_all_work: 8, 4;
    nine_routers_with_relays_know_all_work: 9, 3;
    routers_of_one_data_centre_know_all_work: 30, 1;
    routers_alone_in_their_data_centres_know_all_work: 12, 12;
    a_hundred_routers_know_all_work: 103, 5;
    four_hundred_routers_know_all_work: 390, 19;
}

#[test]
fn each_data_centre_has_one_relay_and_one_standby() {
    let mut fleet = Fleet::start(103, 5);
    fleet.run(SETTLED);
    for role in [ExchangeRole::Relay, ExchangeRole::Standby] {
        let nodes = fleet.with_role(role);
        let data_centres: HashSet<usize> =
            nodes.iter().map(|index| fleet.nodes[*index].data_centre).collect();
        assert_eq!((nodes.len(), data_centres.len()), (5, 5), "{role:?}");
    }
}

#[test]
fn messages_grow_with_the_routers_and_not_with_their_square() {
    let messages_per_router = |routers: usize, data_centres: usize| {
        let mut fleet = Fleet::start(routers, data_centres);
        fleet.run(SETTLED);
        fleet.messages = 0;
        fleet.run(ms(2_000));
        fleet.messages as f64 / 2.0 / routers as f64
    };
    let (small, large) = (messages_per_router(40, 2), messages_per_router(390, 19));
    assert!(large < small * 2.0, "{small} and {large} messages a second");
    assert!(large < 30.0, "{large} messages a second");
}

macro_rules! lost_routers_leave_the_exchange_working {
    ($($name:ident: $victims:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut fleet = Fleet::start(60, 3);
                fleet.run(SETTLED);
                fleet.place_one_each();
                let victims: fn(&Fleet) -> Vec<usize> = $victims;
                let victims = victims(&fleet);
                for index in &victims {
                    fleet.nodes[*index].is_alive = false;
                }
                fleet.run(LOSS_NOTICED);
                let alive = fleet.nodes.len() - victims.len();
                fleet.assert_all_know(alive as u32 - 1);
            }
        )*
    };
}

lost_routers_leave_the_exchange_working! {
    lost_relays_are_replaced: |fleet| fleet.with_role(ExchangeRole::Relay);
    lost_standbys_are_replaced: |fleet| fleet.with_role(ExchangeRole::Standby);
    lost_relays_and_standbys_are_replaced: |fleet| {
        [fleet.with_role(ExchangeRole::Relay), fleet.with_role(ExchangeRole::Standby)].concat()
    };
    lost_data_centre_leaves_the_others_working: |fleet| {
        (0..fleet.nodes.len()).filter(|index| fleet.nodes[*index].data_centre == 1).collect()
    };
    herd_kill_leaves_the_others_working: |fleet| {
        (0..fleet.nodes.len()).filter(|index| index % 5 != 0).collect()
    };
}

#[test]
fn work_of_others_stays_known_while_a_relay_is_replaced() {
    let mut fleet = Fleet::start(60, 3);
    fleet.run(SETTLED);
    fleet.place_one_each();
    fleet.run(ms(1_000));
    for index in fleet.with_role(ExchangeRole::Relay) {
        fleet.nodes[index].is_alive = false;
    }
    let mut unknown: HashMap<usize, u32> = HashMap::default();
    for _ in 0..300 {
        fleet.step();
        for index in 0..fleet.nodes.len() {
            let is_unknown = fleet.nodes[index].is_alive && fleet.known_in_flight(index) < 30;
            *unknown.entry(index).or_default() += u32::from(is_unknown);
        }
    }
    let longest = unknown.values().max().copied().unwrap_or_default();
    assert!(STEP * longest <= ms(1_000), "unknown for {:?}", STEP * longest);
}

#[test]
fn restarted_fleet_meets_again() {
    let mut fleet = Fleet::start(60, 3);
    fleet.run(SETTLED);
    for index in 0..60 {
        fleet.nodes[index] = fleet.node(index, 3, 2);
    }
    fleet.run(SETTLED);
    fleet.place_one_each();
    fleet.run(ms(1_000));
    fleet.assert_all_know(59);
}

#[test]
fn data_centre_that_was_cut_off_for_long_meets_the_others_again() {
    let mut fleet = Fleet::start(60, 3);
    fleet.run(SETTLED);
    fleet.place_one_each();
    for other in [0, 1] {
        fleet.cut.insert((2, other));
        fleet.cut.insert((other, 2));
    }
    fleet.run(Duration::from_secs(40));
    let cut_off = fleet.nodes.iter().position(|node| node.data_centre == 2).expect("present");
    assert_eq!(fleet.known_in_flight(cut_off), 19, "its own data centre goes on");
    assert_eq!(fleet.nodes[cut_off].router.peers().count(fleet.now), 19);

    fleet.cut.clear();
    fleet.run(Duration::from_secs(12));
    fleet.assert_all_know(59);
}

#[test]
fn report_with_absurd_values_is_not_used() {
    let mut fleet = Fleet::start(4, 2);
    fleet.run(SETTLED);
    fleet.place_one_each();
    let mut messages = fleet.nodes[1].router.exchange_messages(fleet.now);
    let message = &mut messages[0].message;
    let (_, report) = message.report.as_mut().expect("it has a report");
    report.upstreams[0].in_flight = u32::MAX;
    report.upstreams[0].pending_tokens = u64::MAX;
    let from = fleet.nodes[1].address;
    let receiver = &mut fleet.nodes[0].router;
    receiver.on_peer_message(fleet.now, from, message.clone());
    assert!(fleet.known_in_flight(0) < 10);
}
