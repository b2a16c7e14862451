//! What the sidecars are told of the waiting work.

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

/// Time that the first request of a queue waits until twice as many sidecars are asked.
pub(super) const FANOUT_INCREASE_DELAY: Duration = Duration::from_millis(20);

/// Controller of the demand.
#[derive(Clone, Debug)]
pub(super) struct DemandController {
    data_centre: Name,
    views: BTreeMap<Name, SidecarView>,
    changed: HashSet<QueueKey>,
    /// Queues that became empty since the last refresh.
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

    /// Keeps a view of each configured upstream's sidecar and drops the others.
    pub fn configure(&mut self, config: &Config) {
        self.views.retain(|name, _| config.upstreams.contains_key(name));
        for name in config.upstreams.keys() {
            self.views.entry(name.clone()).or_insert_with(SidecarView::new);
        }
    }

    /// Returns the view of a sidecar.
    pub fn view_mut(&mut self, upstream: &Name) -> Option<&mut SidecarView> {
        self.views.get_mut(upstream)
    }

    /// Returns the views.
    pub fn views(&self) -> &BTreeMap<Name, SidecarView> {
        &self.views
    }

    /// Takes the state that a sidecar told.
    pub fn on_state(&mut self, now: Time, upstream: &Name, revision: u64, state: SidecarState) {
        if let Some(view) = self.views.get_mut(upstream) {
            view.last_received = now;
            view.revision = revision;
            view.state = Some(state);
        }
    }

    /// Notes that a queue changed.
    pub fn on_queue_changed(&mut self, key: &QueueKey) {
        self.changed.insert(key.clone());
    }

    /// Tells whether some sidecar can serve a target.
    pub fn can_serve(&self, now: Time, config: &Config, target: &Target) -> bool {
        self.candidates(now, config, target).next().is_some()
    }

    /// Returns the demand messages that are due; `refresh` repeats all that changed a little.
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

    /// Tells whether more sidecars could be asked to serve a queue.
    pub fn can_increase_fanout(
        &self,
        now: Time,
        config: &Config,
        key: &QueueKey,
        queue: &Queue,
    ) -> bool {
        !queue.is_empty() && queue.fanout < self.candidates(now, config, &key.target).count()
    }

    /// Returns the sidecars that are asked to serve a queue: first those with room, and near ones.
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

    fn is_remote(&self, config: &Config, upstream: &Name) -> bool {
        config.upstreams.get(upstream).is_none_or(|u| u.data_centre != self.data_centre)
    }
}

fn is_empty(queues: &HashMap<QueueKey, Queue>, key: &QueueKey) -> bool {
    queues.get(key).is_none_or(Queue::is_empty)
}

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
