//! Writes of stream records and base versions to the platform's store.

use std::rc::Rc;
use std::time::Duration;

use sapphirespur_core::edge::{BaseDuty, BaseVersion, RecordBatch};
use sapphirespur_core::hash::stable_hash;
use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;
use tokio::time::timeout;

use super::record_store::{
    ExpectedItem, ItemWrite, RecordStore, Stored, Transaction, WriteOutcome,
};
use super::registry::RegistryError;
use super::shared::Shared;
use super::store_call::in_time;
use super::stream_keys::{base_key, record_key};
use super::stream_lookups::decode_base;

/// Fraction of the store's writes that the records of streams may take.
const WRITE_FRACTION: f64 = 0.25;

/// Pause after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Interval between checks of the base versions.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time of a lease that the store grants.
const MAX_LEASE: Duration = Duration::from_secs(600);

/// Shortest time of a lease; services without streams need none.
const MIN_LEASE: Duration = Duration::from_secs(3);

/// Times that the life of a stream fits into a lease: one in which records are attached to it, one
/// until the last of them is needed no more, one to spare.
const LIVES_PER_LEASE: u32 = 3;

/// Writes records of streams as they are added, until the process exits.
pub(super) async fn write_records(cx: Rc<Shared>, mut store: impl RecordStore) {
    loop {
        wait_until_due(&cx).await;
        let started = cx.now();
        let result = write_waiting(&cx, &mut store).await;
        cx.metrics.record_registry_call(result.is_ok());
        cx.records_written.notify_waiters();
        let pause = match result {
            Ok(()) => shortest_interval(&cx),
            Err(e) => {
                if cx.may_log_failure() {
                    log::warn!(error = e.to_string().as_str(); "streams not recorded");
                }
                RETRY_DELAY
            }
        };
        tokio::time::sleep(pause.saturating_sub(cx.now().since(started))).await;
    }
}

/// Waits until a write of records is due.
async fn wait_until_due(cx: &Shared) {
    loop {
        let due_at = cx.router.borrow().streams().log.due_at();
        let Some(due_at) = due_at else {
            cx.records_due.notified().await;
            continue;
        };
        let wait = due_at.since(cx.now());
        if wait.is_zero() {
            return;
        }
        // An earlier write may be asked for meanwhile.
        let _ = timeout(wait, cx.records_due.notified()).await;
    }
}

/// Returns the shortest interval between two writes of records at which all routers together stay within
/// their fraction of the store's writes.
fn shortest_interval(cx: &Shared) -> Duration {
    let routers = cx.router.borrow().peers().count(cx.now()) + 1;
    let per_s = cx.settings().record_writes_per_s * WRITE_FRACTION;
    Duration::from_secs_f64(routers as f64 / per_s)
}

/// Writes the records that wait, with a lease that holds.
async fn write_waiting(cx: &Rc<Shared>, store: &mut impl RecordStore) -> Result<(), RegistryError> {
    if cx.router.borrow().streams().log.needs_lease(cx.now())
        && let Err(e) = in_time(grant_lease(cx, store)).await
    {
        cx.router.borrow_mut().streams_mut().log.on_failed(cx.now(), None);
        return Err(e);
    }
    let batch = cx.router.borrow_mut().streams_mut().log.batch();
    let Some(batch) = batch else { return Ok(()) };
    let result = in_time(write_batch(cx, store, &batch)).await;
    if result.is_err() {
        cx.router.borrow_mut().streams_mut().log.on_failed(cx.now(), Some(&batch));
    }
    result
}

/// Writes a batch of records.
async fn write_batch(
    cx: &Rc<Shared>,
    store: &mut impl RecordStore,
    batch: &RecordBatch,
) -> Result<(), RegistryError> {
    let transaction = records_transaction(cx, batch)?;
    let Stored { era, value } = store.write(&transaction).await?;
    cx.check_record_era(era);
    let mut router = cx.router.borrow_mut();
    let log = &mut router.streams_mut().log;
    match value {
        WriteOutcome::Written(revision) => log.on_written(cx.now(), batch, revision),
        // Only a restore of the store changes an item of this process.
        WriteOutcome::Conflict | WriteOutcome::LeaseEnded => {
            log.on_lost(cx.now());
            log::info!(era = era, is_conflict = value == WriteOutcome::Conflict; "stream records are written again");
        }
    }
    Ok(())
}

/// Grants the lease for the next records.
async fn grant_lease(cx: &Rc<Shared>, store: &mut impl RecordStore) -> Result<(), RegistryError> {
    let ttl = {
        let router = cx.router.borrow();
        let lives = router.stream_services().into_iter().map(|known| known.life);
        let longest = lives.max().unwrap_or_default();
        (longest * LIVES_PER_LEASE).clamp(MIN_LEASE, MAX_LEASE)
    };
    let asked_at = cx.now();
    let Stored { era, value: lease } = store.grant_lease(ttl).await?;
    cx.check_record_era(era);
    let until = asked_at + ttl / LIVES_PER_LEASE;
    cx.router.borrow_mut().streams_mut().log.set_lease(lease, until);
    Ok(())
}

/// Builds the transaction that writes a batch.
fn records_transaction(cx: &Shared, batch: &RecordBatch) -> Result<Transaction, RegistryError> {
    let router = cx.settings().node.name.clone();
    let lease = Some(batch.lease);
    let mut transaction = Transaction::default();
    for write in &batch.writes {
        let key = record_key(write, &router, cx.started_ms);
        let value = postcard::to_stdvec(&write.record);
        let value = value.map_err(|e| RegistryError::Malformed(e.to_string()))?;
        let revision = write.expected_revision;
        transaction.expected.push(ExpectedItem { key: key.clone(), revision });
        transaction.writes.push(ItemWrite { key, value, lease });
    }
    Ok(transaction)
}

/// Reads and writes base versions as they are due, until the process exits.
pub(super) async fn keep_bases(cx: Rc<Shared>, mut store: impl RecordStore) {
    let name = cx.settings().node.name.clone();
    let stagger = stable_hash(&[name.as_str().as_bytes()]) as f64 / u64::MAX as f64;
    loop {
        for duty in due(&cx, stagger) {
            let result = in_time(perform(&cx, &mut store, &duty)).await;
            cx.metrics.record_registry_call(result.is_ok());
            if let Err(e) = result
                && cx.may_log_failure()
            {
                log::warn!(error = e.to_string().as_str(); "base version neither read nor written");
            }
        }
        // A listing may show new versions.
        let _ = timeout(CHECK_INTERVAL, cx.bases_due.notified()).await;
    }
}

/// Returns the calls that are due; none while the registry may be stale.
fn due(cx: &Shared, stagger: f64) -> Vec<BaseDuty> {
    if cx.is_registry_failing() || !cx.is_registry_fresh() {
        return Vec::new();
    }
    let now = cx.now();
    let mut router = cx.router.borrow_mut();
    let (era, services) = (router.registry().version().era, router.stream_services());
    router.streams_mut().bases.duties(now, era, &services, stagger)
}

async fn perform(
    cx: &Rc<Shared>,
    store: &mut impl RecordStore,
    duty: &BaseDuty,
) -> Result<(), RegistryError> {
    match duty {
        BaseDuty::Read(service) => {
            let Stored { era, value } = store.get(&base_key(service)).await?;
            cx.check_record_era(era);
            let item = value.and_then(|item| Some((decode_base(&item)?, item.revision)));
            set_base(cx, service, item);
        }
        BaseDuty::Write { base, expected_revision } => {
            let key = base_key(&base.service);
            let value =
                serde_json::to_vec(base).map_err(|e| RegistryError::Malformed(e.to_string()))?;
            let transaction = Transaction {
                expected: vec![ExpectedItem { key: key.clone(), revision: *expected_revision }],
                writes: vec![ItemWrite { key, value, lease: None }],
                ..Transaction::default()
            };
            let Stored { era, value } = store.write(&transaction).await?;
            cx.check_record_era(era);
            match value {
                WriteOutcome::Written(revision) => {
                    set_base(cx, &base.service, Some((base.clone(), revision)));
                }
                WriteOutcome::Conflict | WriteOutcome::LeaseEnded => {
                    cx.router.borrow_mut().streams_mut().bases.on_conflict(&base.service);
                }
            }
        }
    }
    Ok(())
}

/// Applies a base version that is in the store; logs a change.
fn set_base(cx: &Shared, service: &Name, item: Option<(BaseVersion, u64)>) {
    let now: Time = cx.now();
    let mut router = cx.router.borrow_mut();
    let bases = &mut router.streams_mut().bases;
    let new = item.as_ref().map(|(base, _)| base);
    let known = bases.get(service);
    if known != new {
        let text =
            |base: Option<&BaseVersion>| base.map_or("", |base| base.version.as_str()).to_owned();
        log::info!(service = service.as_str(), version = text(new).as_str(), before = text(known).as_str(), is_settled = new.is_some_and(|base| base.is_settled), era = new.map_or(0, |base| base.era); "base version of streams");
    }
    bases.on_read(now, service, item);
}
