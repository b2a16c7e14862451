//! Routers of the fleet, and which of them relay reports.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::edge::exchange::{Contact, HeardContact, take_in_turn};
use crate::hash::stable_hash;
use crate::time::Time;

/// Part of a router in the exchange of reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExchangeRole {
    /// Sends its reports to all other routers of a small fleet.
    Mesh,
    /// Sends its reports to the relays of its data centre.
    Member,
    /// Takes the place of the relay when that falls silent.
    Standby,
    /// Adds up the reports of its data centre and exchanges sums with the other ones.
    Relay,
}

impl ExchangeRole {
    /// Returns a short name for logs and the status.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Mesh => "mesh",
            Self::Member => "member",
            Self::Standby => "standby",
            Self::Relay => "relay",
        }
    }

    /// Returns whether the router adds up the reports of its data centre.
    pub fn adds_up(self) -> bool {
        matches!(self, Self::Relay | Self::Standby)
    }
}

/// Another router.
#[derive(Clone, Copy, Debug)]
struct Member {
    /// How it is reached; none when only its reports are known.
    contact: Option<Contact>,
    heard_at: Time,
    /// Until when it does not relay, because it did not answer.
    silent_until: Time,
    /// When its address last refused a connection.
    refused_at: Time,
}

impl Member {
    fn new(contact: Option<Contact>, heard_at: Time) -> Self {
        let never = Time::default();
        Self { contact, heard_at, silent_until: never, refused_at: never }
    }

    /// Returns whether its process has ended: nothing has listened at its address since it was heard.
    fn has_ended(&self) -> bool {
        self.refused_at > self.heard_at
    }
}

/// Other routers that were heard, directly or through others.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// Ordered, so that contacts are passed on in turn.
    by_router: BTreeMap<u64, Member>,
}

impl Members {
    /// Age at which a router no longer counts when fleet-wide limits are divided, and is forgotten.
    const MEMBER_TTL: Duration = Duration::from_secs(30);

    /// Age at which a router no longer relays.
    const RELAY_TTL: Duration = Duration::from_secs(3);

    /// Time for which a relay that did not answer is passed over.
    const SILENCE_PENALTY: Duration = Duration::from_secs(4);

    /// Largest number of other routers in a fleet without relays.
    const MAX_MESH: usize = 7;

    /// Relays of a data centre: the one in use and its standby.
    const RELAYS: usize = 2;

    /// Silent routers to which connections are tried at a time.
    const SILENT_PER_ROUND: usize = 16;

    /// Contacts in one message.
    const CONTACTS_PER_MESSAGE: usize = 16;

    /// Records that a router was heard directly.
    pub fn on_heard(&mut self, now: Time, router: u64, contact: Option<Contact>) {
        let member = self.by_router.entry(router).or_insert(Member::new(contact, now));
        member.heard_at = now;
        member.contact = contact.or(member.contact);
        member.silent_until = Time::default();
    }

    /// Records a router that another one knows. Returns whether it was unknown here.
    pub fn on_told(&mut self, now: Time, heard: &HeardContact) -> bool {
        if heard.age() >= Self::MEMBER_TTL {
            return false;
        }

        let heard_at = now - heard.age();
        let router = heard.contact.router;
        let Some(member) = self.by_router.get_mut(&router) else {
            self.by_router.insert(router, Member::new(Some(heard.contact), heard_at));
            return true;
        };
        if heard_at > member.heard_at {
            member.heard_at = heard_at;
            member.contact = Some(heard.contact);
        }
        false
    }

    /// Records that a router did not answer, so that another one relays for a while.
    pub fn on_silent(&mut self, now: Time, router: u64) {
        if let Some(member) = self.by_router.get_mut(&router) {
            member.silent_until = now + Self::SILENCE_PENALTY;
        }
    }

    /// Records that the address of a router refused a connection.
    pub fn on_refused(&mut self, now: Time, router: u64) {
        if let Some(member) = self.by_router.get_mut(&router) {
            member.refused_at = now;
        }
    }

    /// Forgets routers that were not heard for long.
    pub fn expire(&mut self, now: Time) {
        self.by_router.retain(|_, member| now.since(member.heard_at) < Self::MEMBER_TTL);
    }

    /// Returns whether no other router is known.
    pub fn is_empty(&self) -> bool {
        self.by_router.is_empty()
    }

    /// Returns the number of routers that were heard recently.
    pub fn count(&self, now: Time) -> usize {
        self.recent(now).count()
    }

    /// Returns the number of routers that were heard recently, without those whose processes have ended.
    pub fn count_running(&self, now: Time) -> usize {
        self.recent(now).filter(|(_, member)| !member.has_ended()).count()
    }

    /// Returns the number of routers that were heard within the time after which one no longer relays.
    pub fn count_live(&self, now: Time) -> usize {
        let is_live = |member: &&Member| now.since(member.heard_at) < Self::RELAY_TTL;
        self.by_router.values().filter(is_live).count()
    }

    /// Returns the number of routers that precede the one with hash `own` in the rendezvous order
    /// of `key`.
    pub fn rank(&self, now: Time, own: u64, key: u32) -> usize {
        let weight = |router: u64| stable_hash(&[&router.to_le_bytes(), &key.to_le_bytes()]);
        let own = weight(own);
        self.recent(now).filter(|(router, _)| weight(**router) > own).count()
    }

    /// Returns whether a router at an address is known.
    pub fn has_address(&self, address: SocketAddr) -> bool {
        let mut contacts = self.by_router.values().filter_map(|member| member.contact);
        contacts.any(|contact| contact.address == address)
    }

    /// Returns the contact of a router.
    pub fn contact(&self, router: u64) -> Option<Contact> {
        self.by_router.get(&router).and_then(|member| member.contact)
    }

    /// Returns the contacts of all routers that were heard recently.
    pub fn contacts(&self, now: Time) -> Vec<Contact> {
        self.recent(now).filter_map(|(_, member)| member.contact).collect()
    }

    /// Returns the part of the router `own` in the exchange.
    pub fn role(&self, now: Time, own: &Contact) -> ExchangeRole {
        if self.count(now) <= Self::MAX_MESH {
            return ExchangeRole::Mesh;
        }

        let relays = self.relays(now, own.data_centre, Some(own));
        match relays.iter().position(|relay| relay.router == own.router) {
            Some(0) => ExchangeRole::Relay,
            Some(_) => ExchangeRole::Standby,
            None => ExchangeRole::Member,
        }
    }

    /// Returns the relays of a data centre, the one in use first. `own` is this router when it is
    /// in the data centre.
    pub fn relays(&self, now: Time, data_centre: u32, own: Option<&Contact>) -> Vec<Contact> {
        let is_live = |member: &&Member| {
            now.since(member.heard_at) < Self::RELAY_TTL && member.silent_until <= now
        };
        let others = self.by_router.values().filter(is_live).filter_map(|member| member.contact);
        let mut ranked: Vec<(u64, Contact)> = others
            .chain(own.copied())
            .filter(|contact| contact.data_centre == data_centre)
            .map(|contact| (relay_weight(&contact), contact))
            .collect();
        ranked.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        ranked.truncate(Self::RELAYS);
        ranked.into_iter().map(|(_, contact)| contact).collect()
    }

    /// Returns when a router was last heard.
    pub fn heard_at(&self, router: u64) -> Option<Time> {
        self.by_router.get(&router).map(|member| member.heard_at)
    }

    /// Returns the routers of a data centre that were not heard for `silence`.
    pub fn silent_in(&self, now: Time, data_centre: u32, silence: Duration) -> Vec<Contact> {
        let silent = self.silent(now, silence).filter_map(|member| member.contact);
        silent.filter(|contact| contact.data_centre == data_centre).collect()
    }

    /// Returns routers that were not heard for `silence` and may still run, in turn: those of round
    /// `round`.
    pub fn silent_in_turn(&self, now: Time, silence: Duration, round: u32) -> Vec<Contact> {
        let silent = self.silent(now, silence).filter(|member| !member.has_ended());
        let contacts: Vec<Contact> = silent.filter_map(|member| member.contact).collect();
        take_in_turn(&contacts, round, Self::SILENT_PER_ROUND)
    }

    fn silent(&self, now: Time, silence: Duration) -> impl Iterator<Item = &Member> {
        let members = self.recent(now).map(|(_, member)| member);
        members.filter(move |member| now.since(member.heard_at) > silence)
    }

    /// Returns the data centres with routers other than the ones in `own`.
    pub fn other_data_centres(&self, now: Time, own: u32) -> Vec<u32> {
        let mut found: Vec<u32> = self
            .contacts(now)
            .into_iter()
            .map(|contact| contact.data_centre)
            .filter(|data_centre| *data_centre != own)
            .collect();
        found.sort_unstable();
        found.dedup();
        found
    }

    /// Returns the contacts to pass on in round `round`: the relays of the data centre `first`, and
    /// others in turn, of which those of that data centre take half of the places.
    pub fn contacts_in_turn(&self, now: Time, first: u32, round: u32) -> Vec<HeardContact> {
        let heard = |member: &Member| {
            let age_ms = now.since(member.heard_at).as_millis() as u32;
            Some(HeardContact { contact: member.contact?, age_ms })
        };
        let known: Vec<HeardContact> =
            self.recent(now).filter_map(|(_, member)| heard(member)).collect();
        let (near, far): (Vec<HeardContact>, Vec<HeardContact>) =
            known.into_iter().partition(|heard| heard.contact.data_centre == first);

        let mut chosen: Vec<HeardContact> = self
            .relays(now, first, None)
            .iter()
            .filter_map(|relay| heard(self.by_router.get(&relay.router)?))
            .collect();
        chosen.extend(take_in_turn(&near, round, Self::CONTACTS_PER_MESSAGE / 2));
        let left = Self::CONTACTS_PER_MESSAGE.saturating_sub(chosen.len());
        chosen.extend(take_in_turn(&far, round, left));
        chosen
    }

    fn recent(&self, now: Time) -> impl Iterator<Item = (&u64, &Member)> {
        self.by_router
            .iter()
            .filter(move |(_, member)| now.since(member.heard_at) < Self::MEMBER_TTL)
    }
}

/// Returns the weight by which the routers of a data centre are ranked.
fn relay_weight(contact: &Contact) -> u64 {
    stable_hash(&[&contact.router.to_le_bytes(), &contact.data_centre.to_le_bytes()])
}
