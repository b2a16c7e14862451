//! Order of service at one sidecar: start-time fair queueing over workspaces, then classes.
//!
//! Source: Goyal, Vin and Cheng, "Start-Time Fair Queueing", 1996; the virtual time of a workspace
//! spans the fleet, as its account's home reports it.

use std::time::Duration;

use crate::account::to_virtual_time;
use crate::collections::HashMap;
use crate::message::{AccountEntry, ReportEntry};
use crate::name::Name;
use crate::time::Time;

/// Time without work after which a workspace without open charges is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// Weight of the service over the fleet against the sidecar's own lead.
const CORRECTION_GAIN: i64 = 4;

/// Requests of its own by which a workspace may lead at one sidecar.
const MAX_LEAD_REQUESTS: i64 = 16;

/// Waiting workspaces that are reported each time because they are next in the order.
const MAX_NEXT: usize = 16;

/// Reports of which one has all waiting workspaces; their homes count competitors by them.
const FULL_REPORT_EVERY: u64 = 4;

/// Class within a workspace, ordered by its own virtual time.
#[derive(Clone, Debug, Default)]
struct ClassOrder {
    virtual_time: i64,
    weight: u32,
    waiting: bool,
}

/// Workspace as the sidecar orders it.
#[derive(Clone, Debug)]
struct WorkspaceOrder {
    share: u32,
    home: Option<Name>,
    session: u64,
    /// Virtual time that the home last told.
    known: i64,
    charged: i64,
    acknowledged: i64,
    competitors: u32,
    /// Start that the home has not yet confirmed.
    floor: Option<i64>,
    /// Service at this sidecar, as if each competing sidecar gave as much, in virtual time.
    lead: i64,
    /// Cost units of the last charge of a whole request.
    last_cost: i64,
    waiting: bool,
    reported_waiting: bool,
    last_use: Time,
    class_virtual_time: i64,
    classes: HashMap<Name, ClassOrder>,
}

/// Place of a workspace in the order.
#[derive(Clone, Copy, Debug, Default)]
struct Place {
    /// Service at this sidecar, as if each competing sidecar gave as much, in virtual time.
    lead: i64,
    /// Service over the whole fleet, in virtual time.
    fleet_time: i64,
}

/// Queue that is served next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClassQueue {
    /// Workspace of the queue.
    pub workspace: Name,
    /// Class of the queue.
    pub class: Name,
}

/// Controller of the order of service.
#[derive(Clone, Debug)]
pub struct FairScheduler {
    workspaces: HashMap<Name, WorkspaceOrder>,
    /// Furthest place at which a choice started.
    last: Place,
    next_session: u64,
    reports: u64,
}

impl FairScheduler {
    /// Creates an order whose report sessions start at `first_session`.
    pub fn new(first_session: u64) -> Self {
        Self {
            workspaces: HashMap::default(),
            last: Place::default(),
            next_session: first_session,
            reports: 0,
        }
    }

    /// Marks a queue as waiting; a workspace that was idle starts at the current virtual time.
    pub fn set_waiting(&mut self, now: Time, choice: &ClassQueue, share: u32, weight: u32) {
        let floor = self.floor();
        let session = &mut self.next_session;
        let order = self.workspaces.entry(choice.workspace.clone()).or_insert_with(|| {
            *session += 1;
            WorkspaceOrder::new(*session)
        });

        order.share = share;
        order.last_use = now;
        if !order.waiting {
            order.waiting = true;
            order.start_at(floor);
        }
        order.set_class_waiting(&choice.class, weight);
    }

    /// Marks a queue as empty.
    pub fn set_empty(&mut self, choice: &ClassQueue) {
        let Some(order) = self.workspaces.get_mut(&choice.workspace) else { return };

        if let Some(class) = order.classes.get_mut(&choice.class) {
            class.waiting = false;
        }
        order.waiting = order.classes.values().any(|class| class.waiting);
    }

    /// Chooses the queue to serve next among the waiting ones that `available` accepts.
    pub fn choose(&mut self, available: impl Fn(&Name, &Name) -> bool) -> Option<ClassQueue> {
        let (_, workspace, class) = self
            .workspaces
            .iter()
            .filter(|(_, order)| order.waiting)
            .filter_map(|(name, order)| {
                let class = order.first_class(|class| available(name, class))?;
                Some((order.tag(), name, class))
            })
            .min()?;

        let choice = ClassQueue { workspace: workspace.clone(), class: class.clone() };
        if let Some(order) = self.workspaces.get(&choice.workspace) {
            self.last.lead = self.last.lead.max(order.lead);
            self.last.fleet_time = self.last.fleet_time.max(order.fleet_time());
        }
        if let Some(order) = self.workspaces.get_mut(&choice.workspace) {
            order.note_class(&choice.class);
        }
        Some(choice)
    }

    /// Charges the expected cost of a whole request to a queue.
    pub fn charge_request(&mut self, now: Time, choice: &ClassQueue, cost: i64) {
        if let Some(order) = self.workspaces.get_mut(&choice.workspace) {
            order.last_cost = cost;
        }
        self.charge(now, choice, cost);
    }

    /// Charges `cost` cost units to a queue; a negative cost is a refund.
    pub fn charge(&mut self, now: Time, choice: &ClassQueue, cost: i64) {
        let Some(order) = self.workspaces.get_mut(&choice.workspace) else { return };

        order.last_use = now;
        order.charged += cost;
        order.lead += order.lead_of(cost);
        if let Some(class) = order.classes.get_mut(&choice.class) {
            class.virtual_time += to_virtual_time(cost, class.weight);
        }
    }

    /// Returns the report entries by home.
    ///
    /// Charges are always reported. Of the waiting workspaces, those that are next in the order are
    /// reported each time, for their places matter now, and the others from time to time.
    pub fn report(
        &mut self,
        home_router: impl Fn(&Name) -> Option<Name>,
    ) -> HashMap<Name, Vec<ReportEntry>> {
        self.limit_leads();
        self.reports += 1;
        let is_full = self.reports.is_multiple_of(FULL_REPORT_EVERY);
        let horizon = self.horizon();

        let mut reports: HashMap<Name, Vec<ReportEntry>> = HashMap::default();
        for (name, order) in &mut self.workspaces {
            let Some(home) = home_router(name) else { continue };
            if order.home.as_ref() != Some(&home) {
                self.next_session += 1;
                order.move_home(home.clone(), self.next_session);
            }
            if order.is_open() || (order.waiting && (is_full || order.tag() <= horizon)) {
                reports.entry(home).or_default().push(order.report_entry(name));
            }
        }

        for entries in reports.values_mut() {
            entries.sort_unstable_by(|a, b| a.workspace.cmp(&b.workspace));
        }
        reports
    }

    /// Returns the place up to which waiting workspaces are next in the order.
    fn horizon(&self) -> i64 {
        let waiting = self.workspaces.values().filter(|order| order.waiting);
        let mut tags: Vec<i64> = waiting.map(WorkspaceOrder::tag).collect();
        if tags.len() <= MAX_NEXT {
            return i64::MAX;
        }

        *tags.select_nth_unstable(MAX_NEXT - 1).1
    }

    /// Takes the account that a home answered.
    pub fn on_account(&mut self, entry: &AccountEntry) {
        let Some(order) = self.workspaces.get_mut(&entry.workspace) else { return };
        if order.session != entry.session {
            return;
        }

        order.on_account(entry);
    }

    /// Forgets workspaces that have been idle for long.
    pub fn prune(&mut self, now: Time) {
        self.workspaces.retain(|_, order| {
            order.waiting
                || order.charged != order.acknowledged
                || now.since(order.last_use) < FORGET_AFTER
        });
    }

    /// Returns the service of a workspace over the fleet in virtual time, when it is known.
    pub fn fleet_time(&self, workspace: &Name) -> Option<i64> {
        self.workspaces.get(workspace).map(WorkspaceOrder::fleet_time)
    }

    /// Returns the number of workspaces.
    pub fn len(&self) -> usize {
        self.workspaces.len()
    }

    /// Tells whether no workspace is known.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
    }

    /// Returns the place at which a workspace starts that was idle.
    fn floor(&self) -> Place {
        let waiting = || self.workspaces.values().filter(|order| order.waiting);
        let lead = waiting().map(|order| order.lead).min();
        let fleet_time = waiting().map(WorkspaceOrder::fleet_time).min();

        Place {
            lead: lead.unwrap_or(self.last.lead),
            fleet_time: fleet_time.unwrap_or(self.last.fleet_time),
        }
    }

    fn limit_leads(&mut self) {
        let least = self.floor().lead;
        for order in self.workspaces.values_mut().filter(|order| order.waiting) {
            let request = order.lead_of(order.last_cost);
            order.lead = order.lead.min(least + request.saturating_mul(MAX_LEAD_REQUESTS));
        }
    }
}

impl WorkspaceOrder {
    fn new(session: u64) -> Self {
        Self {
            share: 1,
            home: None,
            session,
            known: 0,
            charged: 0,
            acknowledged: 0,
            competitors: 1,
            floor: None,
            lead: 0,
            last_cost: 0,
            waiting: false,
            reported_waiting: false,
            last_use: Time::default(),
            class_virtual_time: 0,
            classes: HashMap::default(),
        }
    }

    /// Returns the place in the order; the lowest is served next.
    ///
    /// Sidecars with the same knowledge would all choose alike until their next reports. So each
    /// keeps its own lead, in which the sidecars differ, and the fleet's view only corrects it.
    fn tag(&self) -> i64 {
        self.lead.saturating_add(self.fleet_time().saturating_mul(CORRECTION_GAIN))
    }

    /// Returns by how much a charge of this sidecar moves its lead.
    fn lead_of(&self, cost: i64) -> i64 {
        to_virtual_time(cost.saturating_mul(i64::from(self.competitors)), self.share)
    }

    /// Returns the service over the whole fleet, as far as it is known here.
    fn fleet_time(&self) -> i64 {
        self.known + to_virtual_time(self.charged - self.acknowledged, self.share)
    }

    fn on_account(&mut self, entry: &AccountEntry) {
        self.known = entry.virtual_time;
        self.acknowledged = entry.acknowledged;
        self.competitors = entry.competitors.max(1);
        self.floor = None;
    }

    /// Starts at `floor` where the workspace is behind it, so that idleness earns no credit.
    fn start_at(&mut self, floor: Place) {
        self.lead = self.lead.max(floor.lead);
        let lift = floor.fleet_time - self.fleet_time();
        if lift > 0 {
            self.known += lift;
            self.floor = Some(floor.fleet_time);
        }
    }

    fn set_class_waiting(&mut self, name: &Name, weight: u32) {
        let waiting = self.classes.values().filter(|class| class.waiting);
        let floor =
            waiting.map(|class| class.virtual_time).min().unwrap_or(self.class_virtual_time);

        let class = self.classes.entry(name.clone()).or_default();
        class.weight = weight;
        if !class.waiting {
            class.waiting = true;
            class.virtual_time = class.virtual_time.max(floor);
        }
    }

    fn first_class(&self, available: impl Fn(&Name) -> bool) -> Option<&Name> {
        self.classes
            .iter()
            .filter(|(name, class)| class.waiting && available(name))
            .min_by_key(|(name, class)| (class.virtual_time, *name))
            .map(|(name, _)| name)
    }

    fn note_class(&mut self, name: &Name) {
        if let Some(class) = self.classes.get(name) {
            self.class_virtual_time = self.class_virtual_time.max(class.virtual_time);
        }
    }

    fn move_home(&mut self, home: Name, session: u64) {
        self.home = Some(home);
        self.session = session;
        self.charged -= self.acknowledged;
        self.acknowledged = 0;
    }

    /// Tells whether the home does not know all that it must.
    fn is_open(&self) -> bool {
        self.waiting != self.reported_waiting || self.charged != self.acknowledged
    }

    fn report_entry(&mut self, name: &Name) -> ReportEntry {
        self.reported_waiting = self.waiting;

        ReportEntry {
            workspace: name.clone(),
            session: self.session,
            charged: self.charged,
            observed_virtual_time: self.known,
            floor: self.floor,
            backlogged: self.waiting,
        }
    }
}
