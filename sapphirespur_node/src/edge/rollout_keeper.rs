//! Calls to the platform's store that roll-outs need.

use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use sapphirespur_core::edge::{RolloutDuty, RolloutRecord, RolloutState};
use sapphirespur_core::name::Name;
use sapphirespur_core::time::{Time, exponential_delay};

use super::peer_client::refuses_connections;
use super::record_store::{
    ExpectedItem, ItemWrite, LeaseState, RecordStore, StateWrite, Stored, StoredItem, Transaction,
    WriteOutcome,
};
use super::registry::RegistryError;
use super::rollout_keys::{leader_key, rollout_key};
use super::rollout_log::{self, LeaveReason};
use super::shared::{Phase, Shared};
use super::store_call::in_time;

/// Interval between two passes over the calls that are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two passes over the routers that are silent.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time of the leader's lease. Without a renewal, this router leads for as long at most.
const LEASE_TTL: Duration = Duration::from_secs(2);

/// First and longest pause after failed calls; the longest fits into the lease twice.
const RETRY_DELAY_RANGE: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(400));

/// Result of a call that the store answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    /// The router was told of the result.
    Done,
    /// A revision was not as expected, or the lease has ended.
    Refused,
}

/// Lease by which this router leads.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    id: u64,
    /// When the call began that granted or last renewed it.
    renewed_at: Time,
}

/// Performs the calls of roll-outs.
struct RolloutKeeper<S> {
    cx: Rc<Shared>,
    store: S,
    /// Lease by which this router leads; for the log only, the router decides on its own.
    lease: Option<HeldLease>,
    /// Failed calls since the last successful one.
    failures: u32,
    /// Passes over the routers that are silent, and when the last one began.
    silence_checks: (u32, Time),
}

/// Performs the calls that are due until the process exits.
pub(super) async fn run(cx: Rc<Shared>, store: impl RecordStore) {
    let mut keeper =
        RolloutKeeper { cx, store, lease: None, failures: 0, silence_checks: (0, Time::default()) };
    loop {
        keeper.log_notices();
        keeper.check_lease();
        keeper.leave_if_stopping().await;
        keeper.perform_due().await;
        keeper.check_silent_routers().await;
        tokio::time::sleep(keeper.pause()).await;
    }
}

impl<S: RecordStore> RolloutKeeper<S> {
    /// Returns whether the process is to stop, and leaves the lead to another router.
    fn is_stopping(&self) -> bool {
        self.cx.phase.get() != Phase::Serving
    }

    /// Ends the lease of a process that is to stop, so that another router leads at once.
    async fn leave_if_stopping(&mut self) {
        if let Some(lease) = self.lease.filter(|_| self.is_stopping()) {
            self.perform(&RolloutDuty::Release { lease: lease.id }).await;
        }
    }

    /// Returns the calls that are due.
    fn due(&self) -> Vec<RolloutDuty> {
        let cx = &self.cx;
        let is_usable = !cx.is_registry_failing() && cx.is_registry_fresh() && !self.is_stopping();
        cx.router.borrow_mut().rollout_duties(cx.now(), is_usable)
    }

    /// Performs the calls that are due. Once the store does not answer one, the rest of them counts as
    /// failed without a call, so that a renewal is not delayed by them. A process that is to stop makes
    /// none.
    async fn perform_due(&mut self) {
        let mut answers = !self.is_stopping();
        for duty in self.due() {
            if answers {
                answers = self.perform(&duty).await;
            } else {
                let now = self.cx.now();
                self.cx.router.borrow_mut().rollouts_mut().on_failed(now, &duty);
            }
        }
    }

    /// Tells the router which of those that it waits for have ended: their reports do not come.
    async fn check_silent_routers(&mut self) {
        let now = self.cx.now();
        let (round, checked_at) = self.silence_checks;
        if now.since(checked_at) < SILENCE_CHECK_INTERVAL {
            return;
        }
        let silent = self.cx.router.borrow().silent_routers(now, round);
        if silent.is_empty() {
            return;
        }

        self.silence_checks = (round.wrapping_add(1), now);
        let checks = silent.iter().map(|contact| refuses_connections(contact.address));
        let refusals = join_all(checks).await;
        let ended = silent.iter().zip(refusals).filter(|(_, is_refused)| *is_refused);
        for (contact, _) in ended {
            log::info!(address = contact.address.to_string().as_str(); "router has ended");
            self.cx.router.borrow_mut().on_router_refused(now, contact.router);
        }
    }

    /// Returns the pause until the next pass.
    fn pause(&self) -> Duration {
        match self.failures {
            0 => CHECK_INTERVAL,
            failures => exponential_delay(RETRY_DELAY_RANGE, failures),
        }
    }

    /// Logs what happened to roll-outs since the last pass.
    fn log_notices(&self) {
        let notices = self.cx.router.borrow_mut().rollouts_mut().take_notices();
        for notice in notices {
            rollout_log::log_notice(&notice);
        }
    }

    /// Notices that the lease was not renewed in time.
    fn check_lease(&mut self) {
        let now = self.cx.now();
        if self.lease.is_some_and(|lease| now.since(lease.renewed_at) >= LEASE_TTL) {
            self.lose_lease(LeaveReason::NotRenewed);
        }
    }

    /// Forgets the lease, if there is one.
    fn lose_lease(&mut self, reason: LeaveReason) {
        if let Some(lease) = self.lease.take() {
            rollout_log::log_leads_no_more(lease.id, reason);
        }
    }

    /// Performs a call and tells the router of its result. Returns whether the store answered.
    async fn perform(&mut self, duty: &RolloutDuty) -> bool {
        let result = self.call(duty).await;
        self.cx.metrics.record_rollout_call(result.is_ok());
        let now = self.cx.now();
        match result {
            Ok(outcome) => {
                self.failures = 0;
                if outcome == Outcome::Refused {
                    self.on_refused(duty);
                    self.cx.router.borrow_mut().rollouts_mut().on_conflict(now, duty);
                }
            }
            Err(e) => {
                self.failures += 1;
                if self.cx.may_log_failure() {
                    rollout_log::log_failure(name(duty), &e, self.failures);
                }
                self.cx.router.borrow_mut().rollouts_mut().on_failed(now, duty);
            }
        }
        self.failures == 0
    }

    /// Logs a refusal.
    fn on_refused(&mut self, duty: &RolloutDuty) {
        match duty {
            RolloutDuty::Renew { .. } => self.lose_lease(LeaveReason::Ended),
            RolloutDuty::Write { record, expected_record, leader_revision, .. } => {
                rollout_log::log_refused(record, *expected_record, *leader_revision);
            }
            _ => {}
        }
    }

    async fn call(&mut self, duty: &RolloutDuty) -> Result<Outcome, RegistryError> {
        match duty {
            RolloutDuty::ReadLeader => self.read_leader().await,
            RolloutDuty::Acquire => self.acquire().await,
            RolloutDuty::Renew { lease } => self.renew(*lease).await,
            RolloutDuty::Release { lease } => self.release(*lease).await,
            RolloutDuty::Write { record, state, expected_record, leader_revision } => {
                let transaction =
                    write_transaction(record, *state, *expected_record, *leader_revision)?;
                self.write(record, &transaction).await
            }
            RolloutDuty::Read { service } => self.read(service).await,
        }
    }

    async fn read_leader(&mut self) -> Result<Outcome, RegistryError> {
        let stored = in_time(self.store.get(&leader_key())).await?;
        let item = self.check_era(stored);
        let leader = item.map(|item| (decode_leader(&item), item.revision));
        let now = self.cx.now();
        self.cx.router.borrow_mut().rollouts_mut().on_leader_read(now, leader);
        Ok(Outcome::Done)
    }

    /// Grants a lease and creates the leader's item. Whatever goes wrong after that, the lease is ended:
    /// an item that was created, or is created later, goes with it.
    async fn acquire(&mut self) -> Result<Outcome, RegistryError> {
        let asked_at = self.cx.now();
        let stored = in_time(self.store.grant_lease(LEASE_TTL)).await?;
        let lease = self.check_era(stored);
        let name = self.cx.settings().node.name.clone();
        let transaction = Transaction {
            expected: vec![ExpectedItem { key: leader_key(), revision: 0 }],
            writes: vec![ItemWrite {
                key: leader_key(),
                value: name.as_str().as_bytes().to_vec(),
                lease: Some(lease),
            }],
            ..Transaction::default()
        };
        let result = in_time(self.store.write(&transaction)).await;
        if let Ok(Stored { era, value: WriteOutcome::Written(revision) }) = result {
            self.check_era(Stored { era, value: () });
            self.lease = Some(HeldLease { id: lease, renewed_at: asked_at });
            rollout_log::log_leads(lease, revision);
            let mut router = self.cx.router.borrow_mut();
            router.rollouts_mut().on_acquired(asked_at, lease, revision);
            return Ok(Outcome::Done);
        }
        // If this fails too, the lease ends by itself.
        let _ = in_time(self.store.end_lease(lease)).await;
        result.map(|_| Outcome::Refused)
    }

    async fn renew(&mut self, lease: u64) -> Result<Outcome, RegistryError> {
        let asked_at = self.cx.now();
        let stored = in_time(self.store.renew_lease(lease)).await?;
        if self.check_era(stored) == LeaseState::Ended {
            return Ok(Outcome::Refused);
        }
        if let Some(held) = &mut self.lease {
            held.renewed_at = asked_at;
        }
        self.cx.router.borrow_mut().rollouts_mut().on_renewed(asked_at);
        Ok(Outcome::Done)
    }

    async fn release(&mut self, lease: u64) -> Result<Outcome, RegistryError> {
        let stored = in_time(self.store.end_lease(lease)).await?;
        self.check_era(stored);
        self.lose_lease(LeaveReason::Released);
        let now = self.cx.now();
        self.cx.router.borrow_mut().rollouts_mut().on_released(now);
        Ok(Outcome::Done)
    }

    async fn write(
        &mut self,
        record: &RolloutRecord,
        transaction: &Transaction,
    ) -> Result<Outcome, RegistryError> {
        let stored = in_time(self.store.write(transaction)).await?;
        let WriteOutcome::Written(revision) = self.check_era(stored) else {
            return Ok(Outcome::Refused);
        };
        if let Some(state) = transaction.states.first() {
            rollout_log::log_written(record, state, revision);
        }
        let now = self.cx.now();
        let mut router = self.cx.router.borrow_mut();
        router.rollouts_mut().on_written(now, &record.service, revision);
        Ok(Outcome::Done)
    }

    async fn read(&mut self, service: &Name) -> Result<Outcome, RegistryError> {
        let stored = in_time(self.store.get(&rollout_key(service))).await?;
        let item = self.check_era(stored).map(|item| decode_record(&item)).transpose()?;
        let now = self.cx.now();
        self.cx.router.borrow_mut().rollouts_mut().on_read(now, service, item);
        Ok(Outcome::Done)
    }

    /// Notices a restore of the store, and returns what it responded.
    fn check_era<T>(&self, stored: Stored<T>) -> T {
        self.cx.check_record_era(stored.era);
        let known = self.cx.router.borrow().registry().version().era;
        if stored.era > known {
            // The registry's watch may wait for a while before it notices.
            self.cx.registry_check.notify_one();
        }
        stored.value
    }
}

/// Builds the transaction that writes a record as the leader.
fn write_transaction(
    record: &RolloutRecord,
    state: Option<RolloutState>,
    expected_record: u64,
    leader_revision: u64,
) -> Result<Transaction, RegistryError> {
    let key = rollout_key(&record.service);
    let value = serde_json::to_vec(record).map_err(|e| RegistryError::Malformed(e.to_string()))?;
    let state = state.map(|state| StateWrite {
        service: record.service.clone(),
        state,
        target: record.target.clone(),
    });
    Ok(Transaction {
        expected: vec![
            ExpectedItem { key: leader_key(), revision: leader_revision },
            ExpectedItem { key: key.clone(), revision: expected_record },
        ],
        writes: vec![ItemWrite { key, value, lease: None }],
        states: state.into_iter().collect(),
        ..Transaction::default()
    })
}

/// Returns the router that the leader's item names.
fn decode_leader(item: &StoredItem) -> Name {
    Name::new(&String::from_utf8_lossy(&item.value))
}

/// Decodes a record with the revision of its item.
fn decode_record(item: &StoredItem) -> Result<(RolloutRecord, u64), RegistryError> {
    let record = serde_json::from_slice(&item.value);
    Ok((record.map_err(|e| RegistryError::Malformed(e.to_string()))?, item.revision))
}

/// Returns a short name of a duty for the log.
fn name(duty: &RolloutDuty) -> &'static str {
    match duty {
        RolloutDuty::ReadLeader => "read-leader",
        RolloutDuty::Acquire => "acquire",
        RolloutDuty::Renew { .. } => "renew",
        RolloutDuty::Release { .. } => "release",
        RolloutDuty::Write { .. } => "write",
        RolloutDuty::Read { .. } => "read",
    }
}
