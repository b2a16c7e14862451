//! Platform, as the processes reach it.

use std::time::Duration;

use sapphirespur_core::at_most_once::{LedgerBatch, LedgerError};
use sapphirespur_core::config::{Change, Config, DataCentreState, Upstream, UpstreamState};
use sapphirespur_core::name::Name;
use sapphirespur_core::router::RouterInput;
use sapphirespur_core::vm::Vm;

use crate::fleet::{Fleet, NodeInput};
use crate::history::HistoryEvent;
use crate::sim_event::SimEvent;

/// Pause before the configuration is read again after a failure.
const READ_RETRY: Duration = Duration::from_secs(1);

/// Time between two looks of a watcher at the configuration.
const WATCH_REFRESH: Duration = Duration::from_secs(5);

/// Time for which a call to the platform waits for its answer.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Name under which cuts of the platform are set.
pub const PLATFORM: &str = "platform";

impl Fleet {
    /// Sets the platform's VM list; routers see it after the lag.
    pub fn set_members(&mut self, members: Vec<Vm>) {
        let lag = self.options.members_lag;
        self.schedule_event(lag, SimEvent::Action(Box::new(move |fleet| fleet.members = members)));
    }

    /// Confirms changes against the accepted revision, and tells whether they were accepted.
    pub fn confirm(&mut self, changes: &[Change]) -> bool {
        let base = self.platform.config.revision;
        self.confirm_against(base, changes)
    }

    /// Confirms changes against `base`, and tells whether they were accepted.
    pub fn confirm_against(&mut self, base: u64, changes: &[Change]) -> bool {
        let before = self.platform.config.clone();
        if !self.platform.confirm(base, changes) {
            return false;
        }

        let after = self.platform.config.clone();
        self.record(HistoryEvent::ConfigAccepted { revision: after.revision });
        for (name, upstream) in &after.upstreams {
            let open = is_open(&after, upstream);
            let was_open = before.upstreams.get(name).is_some_and(|u| is_open(&before, u));
            match (was_open, open) {
                (true, false) => self.record(HistoryEvent::Closed { upstream: name.clone() }),
                (false, true) => self.record(HistoryEvent::Opened { upstream: name.clone() }),
                _ => {}
            }
        }
        let watchers: Vec<Name> = self
            .nodes
            .iter()
            .filter(|(_, n)| n.is_watching)
            .map(|(name, _)| name.clone())
            .collect();
        for name in watchers {
            self.schedule_event(self.options.latency * 2, SimEvent::ReadConfig(name));
        }
        true
    }

    pub(super) fn on_read_config(&mut self, name: &Name) {
        let Some(node) = self.nodes.get(name).filter(|node| node.is_alive) else { return };
        let is_watching = node.is_watching;
        let reaches = self.links.is_reachable(name, &Name::new(PLATFORM));
        if self.platform.fault.is_down || !reaches {
            self.schedule_event(READ_RETRY, SimEvent::ReadConfig(name.clone()));
            return;
        }

        let config = self.platform.config.clone();
        if config.revision > 0 {
            // A slow platform answers later reads before earlier ones.
            let slow = self.platform.fault.delay.as_micros() as u64;
            let delay = Duration::from_micros(self.rng.below(slow + 1));
            let name = name.clone();
            self.schedule_action(delay, move |fleet| {
                fleet.deliver_input(&name, NodeInput::Router(RouterInput::ConfigUpdated(config)));
            });
        } else {
            self.schedule_event(READ_RETRY, SimEvent::ReadConfig(name.clone()));
            return;
        }
        if is_watching {
            self.schedule_event(WATCH_REFRESH, SimEvent::ReadConfig(name.clone()));
        }
    }

    pub(super) fn on_send_batch(&mut self, sidecar: &Name, batch: LedgerBatch) {
        let incarnation = self.nodes[sidecar].incarnation;
        let reaches = self.links.is_reachable(sidecar, &Name::new(PLATFORM));
        let sidecar = sidecar.clone();
        if !reaches || self.platform.fault.is_down {
            let wait = if reaches { Duration::from_millis(1) } else { PLATFORM_TIMEOUT };
            let result = Err(LedgerError::OutcomeUnknown);
            let batch = batch.id;
            self.schedule_event(
                wait,
                SimEvent::CommitResult { sidecar, incarnation, batch, result },
            );
            return;
        }

        let span = self.latency() + self.platform.fault.delay;
        self.schedule_event(span, SimEvent::Commit { sidecar, incarnation, batch });
    }

    pub(super) fn on_commit(&mut self, sidecar: Name, incarnation: u64, batch: &LedgerBatch) {
        let results = self.platform.commit(batch);
        let batch = batch.id;
        let way_back = self.latency() + self.platform.fault.delay;
        let there_and_back = way_back * 2;
        let is_lost = self.platform.fault.responses_to_lose > 0;
        if is_lost {
            self.platform.fault.responses_to_lose -= 1;
        }

        if is_lost || there_and_back > PLATFORM_TIMEOUT {
            let result = Err(LedgerError::OutcomeUnknown);
            let wait = PLATFORM_TIMEOUT.saturating_sub(way_back);
            self.schedule_event(
                wait,
                SimEvent::CommitResult { sidecar, incarnation, batch, result },
            );
        } else {
            let result = Ok(results);
            self.schedule_event(
                way_back,
                SimEvent::CommitResult { sidecar, incarnation, batch, result },
            );
        }
    }
}

/// Tells whether operators let an upstream take work, without the code that is checked.
fn is_open(config: &Config, upstream: &Upstream) -> bool {
    let data_centre = config.data_centres.get(&upstream.data_centre);

    upstream.state == UpstreamState::Active
        && data_centre.is_some_and(|data_centre| data_centre.state == DataCentreState::In)
}
