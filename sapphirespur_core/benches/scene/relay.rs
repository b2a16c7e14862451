//! Relay of a data centre with thirty routers.

use std::hint::black_box;
use std::net::SocketAddr;

use sapphirespur_core::edge::{
    Contact, Exchange, FleetNews, HeardContact, PeerMessage, PeerReport, ReportScope, Shares,
    Upstream,
};
use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;

use super::{CALM_TOKENS, PrefilledSegments, ROUTERS, entry, prompt, sums};

/// Exchange of a router that adds up the reports of its data centre.
pub struct Relay {
    exchange: Exchange,
    now: Time,
    member: Contact,
}

impl Relay {
    pub fn new(upstreams: u16) -> Self {
        let contacts: Vec<Contact> = (0..ROUTERS).map(contact).collect();
        let now = Time::from_micros(1_000_000_000);
        for own in &contacts {
            let mut exchange = Exchange::default();
            exchange.start(*own, &[]);
            let others = contacts.iter().filter(|contact| contact.router != own.router);
            for other in others.clone() {
                exchange.peers_mut().members_mut().on_heard(now, other.router, Some(*other));
            }
            exchange.tick(now, report(own.router, upstreams, 1), FleetNews::default());
            if !exchange.role().adds_up() {
                continue;
            }
            for other in others.clone() {
                let report = report(other.router, upstreams, 1);
                let message = message(*other, ReportScope::Router, report);
                exchange.on_message(now, other.address, message);
            }
            let member = others.clone().next_back().expect("there are several");
            return Self { exchange, now, member: *member };
        }
        unreachable!("one of them is the relay")
    }

    pub fn answer_member(&mut self) {
        let message = PeerMessage {
            wants_sums: true,
            report: None,
            ..message(self.member, ReportScope::Router, PeerReport::default())
        };
        let (_, answer) = self.exchange.on_message(self.now, self.member.address, message);
        black_box(answer.expect("it adds up"));
    }
}

/// Returns the encoded sums of a relay, as a member receives them.
pub fn encoded_message(upstreams: u16) -> Vec<u8> {
    let report = report(1, upstreams, 1);
    let message = message(contact(1), ReportScope::Fleet, report);
    postcard::to_stdvec(&message).expect("it can be encoded")
}

fn report(router: u64, upstreams: u16, sequence: u64) -> PeerReport {
    let keys: Vec<u32> = (0..upstreams).map(|index| Upstream::hash_id(&entry(index).id)).collect();
    let read = |index: u64| PrefilledSegments {
        upstream: keys[(router + index * 11) as usize % keys.len()],
        parts: prompt(router * 5 + index).shared_segments().to_vec(),
    };
    let reads = (0..20).map(read).collect();
    PeerReport { router, routers: 1, ..sums(&keys, CALM_TOKENS, sequence, reads) }
}

pub(super) fn message(sender: Contact, scope: ReportScope, report: PeerReport) -> PeerMessage {
    let heard = |index| HeardContact { contact: contact(index), age_ms: 100 };
    PeerMessage {
        sender,
        contacts: (0..16).map(heard).collect(),
        wants_sums: false,
        seen: 0,
        report: Some((scope, report)),
        news: FleetNews::default(),
    }
}

pub(super) fn contact(index: u32) -> Contact {
    let address = SocketAddr::from(([10, 0, 1, index as u8], 7_000));
    let data_centre = Shares::name_hash(&Name::new("milano"));
    Contact { router: u64::from(index) + 1, address, data_centre }
}
