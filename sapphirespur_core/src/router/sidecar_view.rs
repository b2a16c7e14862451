//! What a router knows of one sidecar and what it told it.

use std::time::Duration;

use crate::collections::HashMap;
use crate::message::{Demand, QueueDemand, SidecarState};
use crate::name::Name;
use crate::request::QueueKey;
use crate::time::Time;

/// Time without a message after which a sidecar counts as gone.
pub(super) const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Queue within the target of the sidecar.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct SidecarQueueKey {
    workspace: Name,
    class: Name,
}

/// View of one sidecar.
#[derive(Clone, Debug)]
pub(super) struct SidecarView {
    /// Whether the link is up.
    pub linked: bool,
    /// Time of the last message.
    pub last_received: Time,
    /// Revision in force there.
    pub revision: u64,
    /// State that it last told, with room counted down for dispatches since.
    pub state: Option<SidecarState>,
    sequence: u64,
    advertised: HashMap<SidecarQueueKey, u32>,
    pending: Vec<QueueDemand>,
    needs_full: bool,
}

impl SidecarView {
    /// Creates a view of a sidecar without a link.
    pub fn new() -> Self {
        Self {
            linked: false,
            last_received: Time::default(),
            revision: 0,
            state: None,
            sequence: 0,
            advertised: HashMap::default(),
            pending: Vec::new(),
            needs_full: false,
        }
    }

    /// Starts a link session, in which the sidecar knows nothing yet.
    pub fn on_link_up(&mut self, now: Time) {
        self.linked = true;
        self.last_received = now;
        self.reset_advertised();
    }

    /// Ends the link session.
    pub fn on_link_down(&mut self) {
        self.linked = false;
        self.state = None;
        self.reset_advertised();
    }

    /// Plans to tell the whole demand.
    pub fn resync(&mut self) {
        self.reset_advertised();
    }

    /// Tells whether the sidecar can be asked for permits.
    pub fn is_serving(&self, now: Time) -> bool {
        self.linked
            && now.since(self.last_received) < PEER_TIMEOUT
            && self.state.as_ref().is_some_and(|state| state.serving)
    }

    /// Returns the room that it seems to have.
    pub fn free_slots(&self) -> u32 {
        self.state.as_ref().map_or(0, |state| state.free)
    }

    /// Returns the number of the last demand message.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Plans to tell the demand of a queue when the sidecar should know it now.
    pub fn update_demand(&mut self, key: &QueueKey, demand: QueueDemand, refresh: bool) {
        let key = SidecarQueueKey { workspace: key.workspace.clone(), class: key.class.clone() };
        let advertised = self.advertised.get(&key).copied().unwrap_or(0);
        if !should_send(advertised, demand.count, refresh) {
            return;
        }

        if demand.count == 0 {
            self.advertised.remove(&key);
        } else {
            self.advertised.insert(key, demand.count);
        }
        self.pending.push(demand);
    }

    /// Tells whether the sidecar believes that the queue has work.
    pub fn has_advertised(&self, key: &QueueKey) -> bool {
        let key = SidecarQueueKey { workspace: key.workspace.clone(), class: key.class.clone() };

        self.advertised.contains_key(&key)
    }

    /// Counts down what the sidecar knows after it issued a permit.
    pub fn on_permit(&mut self, workspace: &Name, class: &Name) {
        let key = SidecarQueueKey { workspace: workspace.clone(), class: class.clone() };
        if let Some(advertised) = self.advertised.get_mut(&key) {
            *advertised = advertised.saturating_sub(1);
            if *advertised == 0 {
                self.advertised.remove(&key);
            }
        }
        if let Some(state) = &mut self.state {
            state.free = state.free.saturating_sub(1);
        }
    }

    /// Notes that a permit goes back, by which the sidecar learns that the queue is empty.
    pub fn on_permit_returned(&mut self, workspace: &Name, class: &Name) {
        let key = SidecarQueueKey { workspace: workspace.clone(), class: class.clone() };
        self.advertised.remove(&key);
    }

    /// Returns the planned message.
    pub fn take_demand(&mut self) -> Option<Demand> {
        if !self.linked || (self.pending.is_empty() && !self.needs_full) {
            return None;
        }

        self.sequence += 1;
        let entries = std::mem::take(&mut self.pending);
        let full = std::mem::take(&mut self.needs_full);
        Some(Demand { sequence: self.sequence, full, entries })
    }

    fn reset_advertised(&mut self) {
        self.advertised.clear();
        self.pending.clear();
        self.needs_full = true;
    }
}

/// Tells whether a change from `told` to `count` is worth telling.
///
/// That there is work is told at once. All else waits for the next refresh, where it shares a
/// message: a sidecar that still believes in work gets its permit back and has lost little.
fn should_send(advertised: u32, count: u32, refresh: bool) -> bool {
    if advertised == 0 || !refresh {
        return advertised == 0 && count > 0;
    }

    count == 0 || count < advertised / 2 || count / 2 > advertised
}
