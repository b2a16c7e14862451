//! Access of nodes and operators to the simulated platform.

use std::time::Duration;

use sapphirespur_core::at_most_once::{LedgerBatch, LedgerError};
use sapphirespur_core::config::{Change, Config, DataCentreState, Upstream, UpstreamState};
use sapphirespur_core::name::Name;
use sapphirespur_core::router::RouterInput;
use sapphirespur_core::vm::Vm;

use crate::fleet::{Fleet, NodeInput};
use crate::history::HistoryEvent;
use crate::sim_event::SimEvent;

/// Delay before the configuration is read again after a failure.
const READ_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time between two reads of the configuration by a router that watches it.
const WATCH_INTERVAL: Duration = Duration::from_secs(5);

/// Timeout of a call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Name of the platform in network partitions.
pub const PLATFORM: &str = "platform";

impl Fleet {
    /// Sets the platform's VM list, which routers read after `members_lag`.
    pub fn set_members(&mut self, members: Vec<Vm>) {
        let lag = self.options.members_lag;
        self.schedule_event(lag, SimEvent::Action(Box::new(move |fleet| fleet.members = members)));
    }

    /// Confirms changes against the accepted revision; returns whether they were accepted.
    pub fn confirm(&mut self, changes: &[Change]) -> bool {
        let base = self.platform.config.revision;
        self.confirm_against(base, changes)
    }

    /// Confirms changes against the revision `base`; returns whether they were accepted.
    pub fn confirm_against(&mut self, base: u64, changes: &[Change]) -> bool {
        let before = self.platform.config.clone();
        if !self.platform.confirm(base, changes) {
            return false;
        }

        let after = self.platform.config.clone();
        self.record(HistoryEvent::ConfigAccepted { revision: after.revision });
        for (name, upstream) in &after.upstreams {
            let is_accepting = accepts_work(&after, upstream);
            let was_accepting =
                before.upstreams.get(name).is_some_and(|u| accepts_work(&before, u));
            match (was_accepting, is_accepting) {
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
        let is_reachable = self.links.is_reachable(name, &Name::new(PLATFORM));
        if self.platform.fault.is_down || !is_reachable {
            self.schedule_event(READ_RETRY_DELAY, SimEvent::ReadConfig(name.clone()));
            return;
        }

        let config = self.platform.config.clone();
        if config.revision > 0 {
            // The delay is random, so a slow platform may answer reads out of order.
            let max_delay_us = self.platform.fault.delay.as_micros() as u64;
            let delay = Duration::from_micros(self.rng.below(max_delay_us + 1));
            let name = name.clone();
            self.schedule_action(delay, move |fleet| {
                fleet.deliver_input(&name, NodeInput::Router(RouterInput::ConfigUpdated(config)));
            });
        } else {
            self.schedule_event(READ_RETRY_DELAY, SimEvent::ReadConfig(name.clone()));
            return;
        }
        if is_watching {
            self.schedule_event(WATCH_INTERVAL, SimEvent::ReadConfig(name.clone()));
        }
    }

    pub(super) fn on_send_batch(&mut self, sidecar: &Name, batch: LedgerBatch) {
        let incarnation = self.nodes[sidecar].incarnation;
        let is_reachable = self.links.is_reachable(sidecar, &Name::new(PLATFORM));
        let sidecar = sidecar.clone();
        if !is_reachable || self.platform.fault.is_down {
            let wait = if is_reachable { Duration::from_millis(1) } else { PLATFORM_TIMEOUT };
            let result = Err(LedgerError::OutcomeUnknown);
            let batch = batch.id;
            self.schedule_event(
                wait,
                SimEvent::CommitResult { sidecar, incarnation, batch, result },
            );
            return;
        }

        let delay = self.latency() + self.platform.fault.delay;
        self.schedule_event(delay, SimEvent::Commit { sidecar, incarnation, batch });
    }

    pub(super) fn on_commit(&mut self, sidecar: Name, incarnation: u64, batch: &LedgerBatch) {
        let results = self.platform.commit(batch);
        let batch = batch.id;
        let one_way = self.latency() + self.platform.fault.delay;
        let round_trip = one_way * 2;
        let is_lost = self.platform.fault.responses_to_lose > 0;
        if is_lost {
            self.platform.fault.responses_to_lose -= 1;
        }

        if is_lost || round_trip > PLATFORM_TIMEOUT {
            let result = Err(LedgerError::OutcomeUnknown);
            let wait = PLATFORM_TIMEOUT.saturating_sub(one_way);
            self.schedule_event(
                wait,
                SimEvent::CommitResult { sidecar, incarnation, batch, result },
            );
        } else {
            let result = Ok(results);
            self.schedule_event(
                one_way,
                SimEvent::CommitResult { sidecar, incarnation, batch, result },
            );
        }
    }
}

/// Returns whether the configuration allows work at an upstream.
///
/// This repeats `Config::accepts_work`, because the checks must not rely on the code under test.
fn accepts_work(config: &Config, upstream: &Upstream) -> bool {
    let data_centre = config.data_centres.get(&upstream.data_centre);

    upstream.state == UpstreamState::Active
        && data_centre.is_some_and(|data_centre| data_centre.state == DataCentreState::In)
}
