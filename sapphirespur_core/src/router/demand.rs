//! What the sidecars are told of the waiting work.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::collections::{HashMap, HashSet};
use crate::config::{Config, Target};
use crate::message::{Message, QueueDemand, SidecarState};
use crate::name::Name;
use crate::request::QueueKey;
use crate::router::queue::{Breadth, Queue};
use crate::router::sidecar_view::SidecarView;
use crate::time::Time;

/// Age of the first request at which all sidecars of the target are asked.
pub(super) const WIDEN_AFTER: Duration = Duration::from_millis(20);

/// Sidecars that are asked first, in addition to one for each waiting request.
const FIRST_ASKED: usize = 1;

/// Controller of the demand.
#[derive(Clone, Debug)]
pub(super) struct DemandController {
    data_centre: Name,
    views: BTreeMap<Name, SidecarView>,
    changed: HashSet<QueueKey>,
}

impl DemandController {
    /// Creates a controller without sidecars, for a router in `data_centre`.
    pub fn new(data_centre: Name) -> Self {
        Self { data_centre, views: BTreeMap::new(), changed: HashSet::default() }
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
            view.last_heard = now;
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
        }
        changed.sort_unstable();
        changed.dedup();

        for key in &changed {
            self.tell(now, config, key, queues.get(key), refresh);
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

            view.is_serving(now) && upstream.is_some_and(|upstream| config.takes_work(upstream))
        })
    }

    fn tell(
        &mut self,
        now: Time,
        config: &Config,
        key: &QueueKey,
        queue: Option<&Queue>,
        refresh: bool,
    ) {
        let asked =
            queue.map_or_else(HashSet::default, |queue| self.asked(now, config, key, queue));
        let demand = demand_of(now, key, queue);

        for (name, view) in &mut self.views {
            if asked.contains(name) {
                view.tell(key, demand.clone(), refresh);
            } else if demand.count == 0 && view.has_told(key) {
                view.tell(key, demand.clone(), true);
            }
        }
    }

    /// Returns the sidecars that are asked to serve a queue.
    fn asked(&self, now: Time, config: &Config, key: &QueueKey, queue: &Queue) -> HashSet<Name> {
        let candidates = || self.candidates(now, config, &key.target);
        if queue.breadth == Breadth::All {
            return candidates().map(|(name, _)| name.clone()).collect();
        }

        let mut roomy: Vec<(bool, std::cmp::Reverse<u32>, &Name)> = candidates()
            .filter(|(_, view)| view.free() > 0)
            .map(|(name, view)| {
                (self.is_remote(config, name), std::cmp::Reverse(view.free()), name)
            })
            .collect();
        if roomy.is_empty() {
            return candidates().map(|(name, _)| name.clone()).collect();
        }
        roomy.sort_unstable();
        roomy.truncate(FIRST_ASKED + queue.len());
        roomy.into_iter().map(|(_, _, name)| name.clone()).collect()
    }

    fn is_remote(&self, config: &Config, upstream: &Name) -> bool {
        config.upstreams.get(upstream).is_none_or(|u| u.data_centre != self.data_centre)
    }
}

fn demand_of(now: Time, key: &QueueKey, queue: Option<&Queue>) -> QueueDemand {
    let head = queue.and_then(Queue::head);

    QueueDemand {
        workspace: key.workspace.clone(),
        class: key.class.clone(),
        count: queue.map_or(0, Queue::len) as u32,
        head_age: head.map_or(Duration::ZERO, |head| now.since(head.since)),
        head_cost: head.map_or(0, |head| head.cost),
    }
}
