//! How routers meet whose seeds do not answer.

use std::net::SocketAddr;
use std::time::Duration;

use crate::edge::exchange::{BootstrapEntry, BootstrapWrite, Contact, Members, Reach};
use crate::time::{Time, exponential_delay};

/// Decides when a router names itself in the registry, and when it contacts the one that is named there.
///
/// There is one entry for the fleet. A router that knows nobody names itself unless the named one answers. All
/// routers watch the registry and contact a router that is named anew, so it hears of those that know each
/// other by their seeds as well. A fleet whose seeds answer neither writes nor contacts anything.
#[derive(Clone, Debug, Default)]
pub struct Bootstrap {
    entry: BootstrapEntry,
    /// When this router learned of the entry.
    learned_at: Time,
    /// Since when this router looks for others; none while it has found them.
    searching_since: Option<Time>,
    reach: Reach,
    /// Writes since the search began, and the earliest time of the next one.
    writes: u32,
    next_write_at: Time,
}

impl Bootstrap {
    /// Time without another router after which this one names itself; routers that start together hear of
    /// each other by their seeds within it.
    const ALONE_DELAY: Duration = Duration::from_secs(2);

    /// The same for a router that knows others, in which large fleets pass all contacts on.
    const PART_DELAY: Duration = Duration::from_secs(20);

    /// Largest fraction of a delay that a router waits longer, so that the entry of the first one reaches the others.
    const STAGGER_FRACTION: f64 = 0.5;

    /// Time for which a router that is named anew is contacted at each tick, and after which one that has not
    /// answered may be replaced.
    const CONTACT_TIME: Duration = Duration::from_secs(6);
    const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

    /// First and longest interval between two writes. Each makes all routers contact the named one again.
    const WRITE_INTERVALS: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(60));

    /// Sets the entry of the registry.
    pub fn set_entry(&mut self, now: Time, entry: BootstrapEntry) {
        if self.entry != entry {
            self.entry = entry;
            self.learned_at = now;
        }
    }

    /// Records what the router `own` knows of the fleet.
    pub fn update(&mut self, now: Time, own: &Contact, reach: Reach, members: &Members) {
        let is_found = match reach {
            Reach::Whole => true,
            Reach::Part => self.is_own(own) || self.is_met(members),
            Reach::Alone => false,
        };
        self.reach = reach;
        if is_found {
            self.searching_since = None;
            self.writes = 0;
            self.next_write_at = now;
        } else {
            self.searching_since.get_or_insert(now);
        }
    }

    /// Returns the address of the named router if it is to be contacted now. `is_in_turn` holds at every few ticks.
    pub fn to_contact(
        &self,
        now: Time,
        own: &Contact,
        members: &Members,
        is_in_turn: bool,
    ) -> Option<SocketAddr> {
        let contact = self.entry.contact.filter(|_| !self.is_own(own) && !self.is_met(members))?;
        let is_new = now.since(self.learned_at) < Self::CONTACT_TIME;
        let is_searching = self.searching_since.is_some();
        (is_new || is_searching && is_in_turn).then_some(contact.address)
    }

    /// Returns the entry to write now, by which the router `own` names itself; records the write.
    pub fn take_write(&mut self, now: Time, own: &Contact) -> Option<BootstrapWrite> {
        if !self.is_write_due(now, own) {
            return None;
        }
        self.next_write_at = now + exponential_delay(Self::WRITE_INTERVALS, self.writes);
        self.writes += 1;
        Some(BootstrapWrite { contact: *own, expected_revision: self.entry.revision })
    }

    /// Returns whether the router `own` is to name itself now.
    pub fn is_write_due(&self, now: Time, own: &Contact) -> bool {
        let Some(since) = self.searching_since else { return false };
        let delay = match self.reach {
            Reach::Alone => Self::ALONE_DELAY,
            Reach::Part | Reach::Whole => Self::PART_DELAY,
        };
        let may_answer = self.entry.contact.is_some()
            && !self.is_own(own)
            && now.since(self.learned_at) < staggered(own, Self::ANSWER_TIMEOUT);
        now.since(since) >= staggered(own, delay) && now >= self.next_write_at && !may_answer
    }

    /// Returns whether the entry names the router `own`, at its present address.
    fn is_own(&self, own: &Contact) -> bool {
        self.entry
            .contact
            .is_some_and(|contact| (contact.router, contact.address) == (own.router, own.address))
    }

    /// Returns whether the named router is known.
    fn is_met(&self, members: &Members) -> bool {
        self.entry.contact.is_some_and(|contact| {
            members.heard_at(contact.router).is_some() || members.has_address(contact.address)
        })
    }
}

/// Returns a delay that is longer by a fraction of its own for each router.
fn staggered(own: &Contact, delay: Duration) -> Duration {
    let position = own.router as f64 / u64::MAX as f64;
    delay.mul_f64(1.0 + Bootstrap::STAGGER_FRACTION * position)
}
