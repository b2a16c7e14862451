//! First routers to contact.

use std::net::SocketAddr;

use crate::edge::exchange::Members;

/// Addresses of the first routers to contact, without this one, and whether they were heard.
#[derive(Clone, Debug, Default)]
pub struct Seeds {
    all: Vec<(SocketAddr, bool)>,
}

impl Seeds {
    /// Replaces the addresses; those that stay have been heard or not as before.
    pub fn replace(&mut self, addresses: impl Iterator<Item = SocketAddr>) {
        let was_heard = |address| self.all.contains(&(address, true));
        self.all = addresses.map(|address| (address, was_heard(address))).collect();
    }

    /// Records the addresses that belong to routers of which this one has heard.
    pub fn record_heard(&mut self, members: &Members) {
        for (address, is_heard) in self.all.iter_mut().filter(|(_, is_heard)| !is_heard) {
            *is_heard = members.has_address(*address);
        }
    }

    /// Returns the addresses.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.all.iter().map(|(address, _)| *address)
    }

    /// Returns the address whose turn it is; none when there are none.
    pub fn in_turn(&self, turn: u32) -> Option<SocketAddr> {
        let index = (turn as usize).checked_rem(self.all.len())?;
        Some(self.all[index].0)
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Returns the largest number of parts of the fleet that never met: routers meet by way of a seed, so
    /// each part but this router's has one that was not heard here.
    pub fn possible_parts(&self) -> usize {
        1 + self.all.iter().filter(|(_, is_heard)| !is_heard).count()
    }
}
