//! A router's view of one sidecar: its last reported state and the demand advertised to it.

use std::time::Duration;

use crate::collections::HashMap;
use crate::message::{Demand, QueueDemand, SidecarState};
use crate::name::Name;
use crate::request::QueueKey;
use crate::time::Time;

/// Time without a message after which a peer is considered unresponsive.
pub(super) const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Key of a queue among those of the sidecar's target.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct SidecarQueueKey {
    workspace: Name,
    class: Name,
}

/// Link state, last reported state and advertised demand of one sidecar.
#[derive(Clone, Debug)]
pub(super) struct SidecarView {
    /// Whether the control link is up.
    pub linked: bool,
    /// Time of the last message, or of the start of the link session.
    pub last_received: Time,
    /// Configuration revision in force at the sidecar; zero before its first heartbeat.
    pub revision: u64,
    /// Last reported state, with `free` reduced by the permits received since; `None` before the
    /// first heartbeat of a link session.
    pub state: Option<SidecarState>,
    /// Sequence number of the last demand message.
    sequence: u64,
    /// Advertised number of waiting requests per queue, reduced by the permits received since;
    /// empty queues are absent.
    advertised: HashMap<SidecarQueueKey, u32>,
    /// Entries of the next demand message.
    pending: Vec<QueueDemand>,
    /// Whether the next demand message replaces all earlier demand.
    needs_full: bool,
}

impl SidecarView {
    /// Creates the view of a sidecar that is not linked.
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

    /// Starts a link session; the sidecar has no demand of this router yet.
    pub fn on_link_up(&mut self, now: Time) {
        self.linked = true;
        self.last_received = now;
        self.reset_advertised();
    }

    /// Ends the link session and drops the reported state.
    pub fn on_link_down(&mut self) {
        self.linked = false;
        self.state = None;
        self.reset_advertised();
    }

    /// Schedules a full demand message, after the sidecar missed one.
    pub fn resync(&mut self) {
        self.reset_advertised();
    }

    /// Returns whether the sidecar is linked, responsive and accepts new work.
    pub fn is_serving(&self, now: Time) -> bool {
        self.linked
            && now.since(self.last_received) < PEER_TIMEOUT
            && self.state.as_ref().is_some_and(|state| state.serving)
    }

    /// Returns the estimated number of free slots; zero without a reported state.
    pub fn free_slots(&self) -> u32 {
        self.state.as_ref().map_or(0, |state| state.free)
    }

    /// Returns the sequence number of the last demand message.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Adds the demand of a queue to the next message, unless the change can wait.
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

    /// Returns whether the queue is advertised to the sidecar as non-empty.
    pub fn has_advertised(&self, key: &QueueKey) -> bool {
        let key = SidecarQueueKey { workspace: key.workspace.clone(), class: key.class.clone() };

        self.advertised.contains_key(&key)
    }

    /// Reduces the advertised demand and the free slots by the permit that the sidecar issued.
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

    /// Records that a permit is returned, which informs the sidecar that the queue is empty.
    pub fn on_permit_returned(&mut self, workspace: &Name, class: &Name) {
        let key = SidecarQueueKey { workspace: workspace.clone(), class: class.clone() };
        self.advertised.remove(&key);
    }

    /// Takes the next demand message; `None` without a link or anything to send.
    pub fn take_demand(&mut self) -> Option<Demand> {
        if !self.linked || (self.pending.is_empty() && !self.needs_full) {
            return None;
        }

        self.sequence += 1;
        let entries = std::mem::take(&mut self.pending);
        let full = std::mem::take(&mut self.needs_full);
        Some(Demand { sequence: self.sequence, full, entries })
    }

    /// Clears the advertised demand, so that the next message is a full one.
    fn reset_advertised(&mut self) {
        self.advertised.clear();
        self.pending.clear();
        self.needs_full = true;
    }
}

/// Returns whether a change of a queue's count from `advertised` to `count` is sent now.
///
/// An empty queue that gets work is sent immediately. All other changes wait for the next refresh,
/// where they share a message: queues that became empty and counts that more than halved or
/// doubled. A sidecar with outdated demand loses little, as its permit is returned.
fn should_send(advertised: u32, count: u32, refresh: bool) -> bool {
    if advertised == 0 || !refresh {
        return advertised == 0 && count > 0;
    }

    count == 0 || count < advertised / 2 || count / 2 > advertised
}
