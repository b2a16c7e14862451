//! Selection of the sidecars that receive a queue's demand, and the demand messages to them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::collections::{HashMap, HashSet};
use crate::config::{Config, Target};
use crate::hash::stable_hash;
use crate::message::{Message, QueueDemand, SidecarState};
use crate::name::Name;
use crate::request::QueueKey;
use crate::router::queue::Queue;
use crate::router::sidecar_view::SidecarView;
use crate::time::Time;

/// Time that the first request of a queue waits before the queue's fanout is doubled.
pub(super) const FANOUT_INCREASE_DELAY: Duration = Duration::from_millis(20);

/// Advertises the queued requests of a router to the sidecars that may serve them.
#[derive(Clone, Debug)]
pub(super) struct DemandController {
    /// Data centre of the router; its sidecars are preferred.
    data_centre: Name,
    /// View of each configured upstream's sidecar, by upstream.
    views: BTreeMap<Name, SidecarView>,
    /// Queues that changed since the last flush.
    changed: HashSet<QueueKey>,
    /// Queues that became empty since the last refresh; the next one advertises them as empty.
    emptied: HashSet<QueueKey>,
}

impl DemandController {
    /// Creates a controller without sidecars, for a router in `data_centre`.
    pub fn new(data_centre: Name) -> Self {
        Self {
            data_centre,
            views: BTreeMap::new(),
            changed: HashSet::default(),
            emptied: HashSet::default(),
        }
    }

    /// Creates a view for each newly configured upstream and removes those of other upstreams.
    pub fn configure(&mut self, config: &Config) {
        self.views.retain(|name, _| config.upstreams.contains_key(name));
        for name in config.upstreams.keys() {
            self.views.entry(name.clone()).or_insert_with(SidecarView::new);
        }
    }

    /// Returns the view of the sidecar of `upstream`, or `None` if it is not configured.
    pub fn view_mut(&mut self, upstream: &Name) -> Option<&mut SidecarView> {
        self.views.get_mut(upstream)
    }

    /// Returns the views of the sidecars, by upstream.
    pub fn views(&self) -> &BTreeMap<Name, SidecarView> {
        &self.views
    }

    /// Updates the view of a sidecar from its heartbeat; unconfigured upstreams are ignored.
    pub fn on_state(&mut self, now: Time, upstream: &Name, revision: u64, state: SidecarState) {
        if let Some(view) = self.views.get_mut(upstream) {
            view.last_received = now;
            view.revision = revision;
            view.state = Some(state);
        }
    }

    /// Marks a queue as changed, for the next flush.
    pub fn on_queue_changed(&mut self, key: &QueueKey) {
        self.changed.insert(key.clone());
    }

    /// Returns whether at least one sidecar can serve `target`.
    pub fn can_serve(&self, now: Time, config: &Config, target: &Target) -> bool {
        self.candidates(now, config, target).next().is_some()
    }

    /// Returns the demand messages to send, with the upstream of the receiving sidecar.
    ///
    /// A normal flush sends only queues with work that are empty in the sidecar's view. A `refresh`
    /// checks every queue and also sends large changes of the count and queues that became empty.
    pub fn flush(
        &mut self,
        now: Time,
        config: &Config,
        queues: &HashMap<QueueKey, Queue>,
        refresh: bool,
    ) -> Vec<(Name, Message)> {
        let mut changed: Vec<QueueKey> = self.changed.drain().collect();
        if refresh {
            changed.extend(queues.keys().cloned());
            changed.extend(self.emptied.drain());
        } else {
            self.emptied.extend(changed.iter().filter(|key| is_empty(queues, key)).cloned());
        }
        changed.sort_unstable();
        changed.dedup();

        for key in &changed {
            self.update_queue_demand(now, config, key, queues.get(key), refresh);
        }
        self.views
            .iter_mut()
            .filter_map(|(name, view)| Some((name.clone(), Message::Demand(view.take_demand()?))))
            .collect()
    }

    /// Returns the serving sidecars whose upstream serves `target` and accepts new work.
    fn candidates<'a>(
        &'a self,
        now: Time,
        config: &'a Config,
        target: &'a Target,
    ) -> impl Iterator<Item = (&'a Name, &'a SidecarView)> {
        self.views.iter().filter(move |(name, view)| {
            let upstream = config.upstreams.get(*name).filter(|u| u.target == *target);

            view.is_serving(now) && upstream.is_some_and(|upstream| config.accepts_work(upstream))
        })
    }

    /// Updates the demand of one queue at the selected sidecars.
    ///
    /// An empty queue is updated at each sidecar that it is advertised to.
    fn update_queue_demand(
        &mut self,
        now: Time,
        config: &Config,
        key: &QueueKey,
        queue: Option<&Queue>,
        refresh: bool,
    ) {
        let selected = queue
            .map_or_else(HashSet::default, |queue| self.select_sidecars(now, config, key, queue));
        let demand = queue_demand(now, key, queue);

        for (name, view) in &mut self.views {
            let must_clear = demand.count == 0 && view.has_advertised(key);
            if must_clear || selected.contains(name) {
                view.update_demand(key, demand.clone(), refresh);
            }
        }
    }

    /// Returns whether a queue has waiting requests and candidates beyond its fanout.
    pub fn can_increase_fanout(
        &self,
        now: Time,
        config: &Config,
        key: &QueueKey,
        queue: &Queue,
    ) -> bool {
        !queue.is_empty() && queue.fanout < self.candidates(now, config, &key.target).count()
    }

    /// Returns the sidecars that a queue is advertised to: as many as its fanout or its length,
    /// whichever is greater.
    ///
    /// Sidecars with free slots come first, then those in the router's data centre; a hash of the
    /// queue and the sidecar breaks ties, so that queues spread over the sidecars.
    fn select_sidecars(
        &self,
        now: Time,
        config: &Config,
        key: &QueueKey,
        queue: &Queue,
    ) -> HashSet<Name> {
        let hash_rank = |name: &Name| {
            let queue = [key.workspace.as_str(), key.class.as_str(), name.as_str()];
            stable_hash(&queue.map(str::as_bytes))
        };
        let mut ranked: Vec<(bool, bool, u64, &Name)> = self
            .candidates(now, config, &key.target)
            .map(|(name, view)| {
                (view.free_slots() == 0, self.is_remote(config, name), hash_rank(name), name)
            })
            .collect();

        ranked.sort_unstable();
        ranked.truncate(queue.fanout.max(queue.len()));
        ranked.into_iter().map(|(_, _, _, name)| name.clone()).collect()
    }

    /// Returns whether `upstream` is in another data centre or not configured.
    fn is_remote(&self, config: &Config, upstream: &Name) -> bool {
        config.upstreams.get(upstream).is_none_or(|u| u.data_centre != self.data_centre)
    }
}

/// Returns whether a queue is empty or does not exist.
fn is_empty(queues: &HashMap<QueueKey, Queue>, key: &QueueKey) -> bool {
    queues.get(key).is_none_or(Queue::is_empty)
}

/// Builds the demand entry of a queue; its count is zero when the queue does not exist.
fn queue_demand(now: Time, key: &QueueKey, queue: Option<&Queue>) -> QueueDemand {
    let head = queue.and_then(Queue::head);

    QueueDemand {
        workspace: key.workspace.clone(),
        class: key.class.clone(),
        count: queue.map_or(0, Queue::len) as u32,
        head_age: head.map_or(Duration::ZERO, |head| now.since(head.arrived_at)),
        head_cost: head.map_or(0, |head| head.cost),
    }
}
