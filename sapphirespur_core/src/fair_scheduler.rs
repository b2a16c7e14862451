//! Start-time fair queueing at one sidecar, over workspaces and then over their classes.
//!
//! Source: Goyal, Vin and Cheng, "Start-Time Fair Queueing", 1996. The virtual time of a workspace
//! covers the whole fleet, as reported by the home of its account.

use std::time::Duration;

use crate::account::to_virtual_time;
use crate::collections::HashMap;
use crate::message::{AccountEntry, ReportEntry};
use crate::name::Name;
use crate::time::Time;

/// Time without work after which a workspace without unacknowledged charges is removed.
const IDLE_WORKSPACE_TTL: Duration = Duration::from_secs(600);

/// Weight of the fleet virtual time against the local one in a workspace's tag.
const FLEET_VIRTUAL_TIME_WEIGHT: i64 = 4;

/// Number of its requests by which a waiting workspace's local virtual time may exceed the lowest.
const MAX_LOCAL_ADVANCE_REQUESTS: i64 = 16;

/// Number of waiting workspaces with the lowest tags that are in every report.
const ALWAYS_REPORTED_WORKSPACES: usize = 16;

/// Interval, in reports, at which a report contains all waiting workspaces. Homes count competing
/// sidecars from these reports.
const FULL_REPORT_INTERVAL: u64 = 4;

/// Scheduling state of a class within its workspace, ordered by virtual time.
#[derive(Clone, Debug, Default)]
struct ClassState {
    virtual_time: i64,
    weight: u32,
    waiting: bool,
}

/// Scheduling state of a workspace.
#[derive(Clone, Debug)]
struct WorkspaceState {
    share: u32,
    home: Option<Name>,
    session: u64,
    /// Virtual time last received from the home, raised after idleness so that the fleet virtual
    /// time starts at `unconfirmed_floor`.
    home_virtual_time: i64,
    /// Cost units charged in this session.
    charged: i64,
    /// Cost units charged in this session that `home_virtual_time` includes.
    acknowledged: i64,
    /// Sidecars at which the workspace has requests waiting, including this one.
    competitors: u32,
    /// Start after idleness that the home has not yet confirmed.
    unconfirmed_floor: Option<i64>,
    /// Service at this sidecar in virtual time, multiplied by the number of competing sidecars.
    local_virtual_time: i64,
    /// Cost units of the last charge for a whole request.
    last_request_cost: i64,
    waiting: bool,
    /// Value of `waiting` in the last report entry.
    reported_waiting: bool,
    last_use: Time,
    /// Highest virtual time of a selected class, at which a class starts when no other waits.
    last_class_virtual_time: i64,
    classes: HashMap<Name, ClassState>,
}

/// Virtual times by which workspaces are ordered.
#[derive(Clone, Copy, Debug, Default)]
struct Position {
    /// Service at this sidecar in virtual time, multiplied by the number of competing sidecars.
    local_virtual_time: i64,
    /// Service over the whole fleet, in virtual time.
    fleet_virtual_time: i64,
}

/// Queue of one class of one workspace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClassQueue {
    /// Workspace of the queue.
    pub workspace: Name,
    /// Class of the queue.
    pub class: Name,
}

/// Scheduler that selects the next queue to serve.
#[derive(Clone, Debug)]
pub struct FairScheduler {
    workspaces: HashMap<Name, WorkspaceState>,
    /// Highest virtual times of a selected workspace.
    last_position: Position,
    next_session: u64,
    report_count: u64,
}

impl FairScheduler {
    /// Creates a scheduler whose report sessions are numbered above `first_session`.
    pub fn new(first_session: u64) -> Self {
        Self {
            workspaces: HashMap::default(),
            last_position: Position::default(),
            next_session: first_session,
            report_count: 0,
        }
    }

    /// Marks a queue as waiting.
    ///
    /// A workspace that was idle starts at the lowest virtual time of the waiting ones.
    pub fn set_waiting(&mut self, now: Time, queue: &ClassQueue, share: u32, weight: u32) {
        let floor = self.floor();
        let session = &mut self.next_session;
        let state = self.workspaces.entry(queue.workspace.clone()).or_insert_with(|| {
            *session += 1;
            WorkspaceState::new(*session)
        });

        state.share = share;
        state.last_use = now;
        if !state.waiting {
            state.waiting = true;
            state.advance_to(floor);
        }
        state.set_class_waiting(&queue.class, weight);
    }

    /// Marks a queue as empty.
    pub fn set_empty(&mut self, queue: &ClassQueue) {
        let Some(state) = self.workspaces.get_mut(&queue.workspace) else { return };

        if let Some(class) = state.classes.get_mut(&queue.class) {
            class.waiting = false;
        }
        state.waiting = state.classes.values().any(|class| class.waiting);
    }

    /// Selects the next queue to serve among the waiting ones whose workspace and class `available`
    /// accepts; `None` when there is none.
    pub fn choose(&mut self, available: impl Fn(&Name, &Name) -> bool) -> Option<ClassQueue> {
        let (_, workspace, class) = self
            .workspaces
            .iter()
            .filter(|(_, state)| state.waiting)
            .filter_map(|(name, state)| {
                let class = state.next_class(|class| available(name, class))?;
                Some((state.tag(), name, class))
            })
            .min()?;

        let queue = ClassQueue { workspace: workspace.clone(), class: class.clone() };
        if let Some(state) = self.workspaces.get(&queue.workspace) {
            self.last_position.local_virtual_time =
                self.last_position.local_virtual_time.max(state.local_virtual_time);
            self.last_position.fleet_virtual_time =
                self.last_position.fleet_virtual_time.max(state.fleet_virtual_time());
        }
        if let Some(state) = self.workspaces.get_mut(&queue.workspace) {
            state.on_class_selected(&queue.class);
        }
        Some(queue)
    }

    /// Charges the expected cost of a whole request, in cost units, to a queue.
    pub fn charge_request(&mut self, now: Time, queue: &ClassQueue, cost: i64) {
        if let Some(state) = self.workspaces.get_mut(&queue.workspace) {
            state.last_request_cost = cost;
        }
        self.charge(now, queue, cost);
    }

    /// Charges `cost` cost units to a queue; a negative cost is a refund.
    pub fn charge(&mut self, now: Time, queue: &ClassQueue, cost: i64) {
        let Some(state) = self.workspaces.get_mut(&queue.workspace) else { return };

        state.last_use = now;
        state.charged += cost;
        state.local_virtual_time += state.to_local_virtual_time(cost);
        if let Some(class) = state.classes.get_mut(&queue.class) {
            class.virtual_time += to_virtual_time(cost, class.weight);
        }
    }

    /// Returns the entries of the next service report, by home.
    ///
    /// Unacknowledged charges are always reported. Of the waiting workspaces, those with the lowest
    /// tags are in every report, because their order matters next, and the others in each full one.
    pub fn report(
        &mut self,
        home_router: impl Fn(&Name) -> Option<Name>,
    ) -> HashMap<Name, Vec<ReportEntry>> {
        self.clamp_local_virtual_times();
        self.report_count += 1;
        let is_full = self.report_count.is_multiple_of(FULL_REPORT_INTERVAL);
        let max_tag = self.max_always_reported_tag();

        let mut reports: HashMap<Name, Vec<ReportEntry>> = HashMap::default();
        for (name, state) in &mut self.workspaces {
            let Some(home) = home_router(name) else { continue };
            if state.home.as_ref() != Some(&home) {
                self.next_session += 1;
                state.change_home(home.clone(), self.next_session);
            }
            if state.has_unreported_state()
                || (state.waiting && (is_full || state.tag() <= max_tag))
            {
                reports.entry(home).or_default().push(state.report_entry(name));
            }
        }

        for entries in reports.values_mut() {
            entries.sort_unstable_by(|a, b| a.workspace.cmp(&b.workspace));
        }
        reports
    }

    /// Returns the highest tag with which a waiting workspace is in every report.
    fn max_always_reported_tag(&self) -> i64 {
        let waiting = self.workspaces.values().filter(|state| state.waiting);
        let mut tags: Vec<i64> = waiting.map(WorkspaceState::tag).collect();
        if tags.len() <= ALWAYS_REPORTED_WORKSPACES {
            return i64::MAX;
        }

        *tags.select_nth_unstable(ALWAYS_REPORTED_WORKSPACES - 1).1
    }

    /// Applies an account entry from a home; ignores one of an earlier session.
    pub fn on_account(&mut self, entry: &AccountEntry) {
        let Some(state) = self.workspaces.get_mut(&entry.workspace) else { return };
        if state.session != entry.session {
            return;
        }

        state.on_account(entry);
    }

    /// Removes workspaces that have been idle for `IDLE_WORKSPACE_TTL` and have no unacknowledged
    /// charges.
    pub fn prune(&mut self, now: Time) {
        self.workspaces.retain(|_, state| {
            state.waiting
                || state.charged != state.acknowledged
                || now.since(state.last_use) < IDLE_WORKSPACE_TTL
        });
    }

    /// Returns the fleet-wide virtual time of a workspace; `None` for an unknown workspace.
    pub fn fleet_virtual_time(&self, workspace: &Name) -> Option<i64> {
        self.workspaces.get(workspace).map(WorkspaceState::fleet_virtual_time)
    }

    /// Returns the number of workspaces with state.
    pub fn len(&self) -> usize {
        self.workspaces.len()
    }

    /// Returns whether no workspace has state.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
    }

    /// Returns the position at which a workspace starts after idleness.
    ///
    /// It is the lowest of the waiting workspaces, or that of the last selected ones if none waits.
    fn floor(&self) -> Position {
        let waiting = || self.workspaces.values().filter(|state| state.waiting);
        let local_virtual_time = waiting().map(|state| state.local_virtual_time).min();
        let fleet_virtual_time = waiting().map(WorkspaceState::fleet_virtual_time).min();

        Position {
            local_virtual_time: local_virtual_time.unwrap_or(self.last_position.local_virtual_time),
            fleet_virtual_time: fleet_virtual_time.unwrap_or(self.last_position.fleet_virtual_time),
        }
    }

    /// Limits how far the local virtual time of a waiting workspace is above the lowest one.
    fn clamp_local_virtual_times(&mut self) {
        let lowest = self.floor().local_virtual_time;
        for state in self.workspaces.values_mut().filter(|state| state.waiting) {
            let request = state.to_local_virtual_time(state.last_request_cost);
            state.local_virtual_time = state
                .local_virtual_time
                .min(lowest + request.saturating_mul(MAX_LOCAL_ADVANCE_REQUESTS));
        }
    }
}

impl WorkspaceState {
    fn new(session: u64) -> Self {
        Self {
            share: 1,
            home: None,
            session,
            home_virtual_time: 0,
            charged: 0,
            acknowledged: 0,
            competitors: 1,
            unconfirmed_floor: None,
            local_virtual_time: 0,
            last_request_cost: 0,
            waiting: false,
            reported_waiting: false,
            last_use: Time::default(),
            last_class_virtual_time: 0,
            classes: HashMap::default(),
        }
    }

    /// Returns the scheduling tag; the workspace with the lowest tag is served next.
    ///
    /// If sidecars ordered by fleet virtual time alone, all would select the same workspace until
    /// their next reports. So the tag is based on the local virtual time, which differs between
    /// sidecars, and the fleet virtual time corrects it.
    fn tag(&self) -> i64 {
        self.local_virtual_time
            .saturating_add(self.fleet_virtual_time().saturating_mul(FLEET_VIRTUAL_TIME_WEIGHT))
    }

    /// Converts cost units charged by this sidecar into local virtual time.
    fn to_local_virtual_time(&self, cost: i64) -> i64 {
        to_virtual_time(cost.saturating_mul(i64::from(self.competitors)), self.share)
    }

    /// Returns the fleet-wide virtual time: the last received one plus unacknowledged charges.
    fn fleet_virtual_time(&self) -> i64 {
        self.home_virtual_time + to_virtual_time(self.charged - self.acknowledged, self.share)
    }

    fn on_account(&mut self, entry: &AccountEntry) {
        self.home_virtual_time = entry.virtual_time;
        self.acknowledged = entry.acknowledged;
        self.competitors = entry.competitors.max(1);
        self.unconfirmed_floor = None;
    }

    /// Advances the virtual times that are behind `floor`, so that idleness earns no credit.
    fn advance_to(&mut self, floor: Position) {
        self.local_virtual_time = self.local_virtual_time.max(floor.local_virtual_time);
        let lag = floor.fleet_virtual_time - self.fleet_virtual_time();
        if lag > 0 {
            self.home_virtual_time += lag;
            self.unconfirmed_floor = Some(floor.fleet_virtual_time);
        }
    }

    fn set_class_waiting(&mut self, name: &Name, weight: u32) {
        let waiting = self.classes.values().filter(|class| class.waiting);
        let floor =
            waiting.map(|class| class.virtual_time).min().unwrap_or(self.last_class_virtual_time);

        let class = self.classes.entry(name.clone()).or_default();
        class.weight = weight;
        if !class.waiting {
            class.waiting = true;
            class.virtual_time = class.virtual_time.max(floor);
        }
    }

    fn next_class(&self, available: impl Fn(&Name) -> bool) -> Option<&Name> {
        self.classes
            .iter()
            .filter(|(name, class)| class.waiting && available(name))
            .min_by_key(|(name, class)| (class.virtual_time, *name))
            .map(|(name, _)| name)
    }

    fn on_class_selected(&mut self, name: &Name) {
        if let Some(class) = self.classes.get(name) {
            self.last_class_virtual_time = self.last_class_virtual_time.max(class.virtual_time);
        }
    }

    /// Starts a session with a new home, to which the unacknowledged charges are carried over.
    fn change_home(&mut self, home: Name, session: u64) {
        self.home = Some(home);
        self.session = session;
        self.charged -= self.acknowledged;
        self.acknowledged = 0;
    }

    /// Returns whether the home lacks a charge or the last change of `waiting`.
    fn has_unreported_state(&self) -> bool {
        self.waiting != self.reported_waiting || self.charged != self.acknowledged
    }

    fn report_entry(&mut self, name: &Name) -> ReportEntry {
        self.reported_waiting = self.waiting;

        ReportEntry {
            workspace: name.clone(),
            session: self.session,
            charged: self.charged,
            observed_virtual_time: self.home_virtual_time,
            floor: self.unconfirmed_floor,
            backlogged: self.waiting,
        }
    }
}
