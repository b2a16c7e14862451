//! Group commit of the records of streams.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::edge::{StreamRecord, StreamSend};
use crate::name::Name;
use crate::time::Time;

/// Place of a record among those of one process.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RecordId {
    /// Service of the streams.
    pub service: Name,
    /// Part of the keys.
    pub shard: u8,
    /// Number of the span of time in which the streams were sent, since the start of the process.
    pub span: u64,
}

/// Stream whose record is to be written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordTicket {
    id: RecordId,
    number: u64,
}

/// Record with the item that is to hold it.
#[derive(Clone, Debug)]
pub struct RecordWrite {
    /// Place of the record.
    pub id: RecordId,
    /// Number of the item among those of the same place: one of which a write may have been lost is not
    /// written again, as the store may execute that write later.
    pub generation: u32,
    /// Revision that the item must have; zero when it must not exist.
    pub expected_revision: u64,
    /// Content of the item.
    pub record: StreamRecord,
}

/// Records that are written in one transaction.
#[derive(Clone, Debug)]
pub struct RecordBatch {
    /// Records to write.
    pub writes: Vec<RecordWrite>,
    /// Lease that removes the records once no stream of them can be taken up.
    pub lease: u64,
    /// Number of the last stream that they hold.
    number: u64,
}

/// Record with the state of its writes.
#[derive(Clone, Debug, Default)]
struct Slot {
    record: StreamRecord,
    generation: u32,
    revision: u64,
    /// Number of the last stream that was added.
    added: u64,
    /// Number up to which all streams are on record.
    written: u64,
    /// When no stream of the record can be taken up any more.
    until: Time,
}

/// Lease to which new records are attached.
#[derive(Clone, Copy, Debug)]
struct Lease {
    id: u64,
    /// When the next lease is needed, so that each record outlives its streams.
    until: Time,
}

/// Collects the streams whose origin has to be on record before their first event is passed on.
#[derive(Clone, Debug, Default)]
pub struct StreamLog {
    slots: BTreeMap<RecordId, Slot>,
    lease: Option<Lease>,
    /// Number of the last stream.
    number: u64,
    /// When the last write failed; none since it succeeded.
    failed_at: Option<Time>,
    /// When the next write is due; none while no stream waits for one.
    due_at: Option<Time>,
}

impl StreamLog {
    /// Span of time that one record covers.
    const SPAN: Duration = Duration::from_secs(4);

    /// Largest number of records in one transaction, which has two entries for each.
    const MAX_WRITES: usize = 16;

    /// Time after a failed write in which streams begin where they need no record.
    const FAILURE_TIME: Duration = Duration::from_secs(1);

    /// Adds a send of a stream, which can be taken up for `life`. Returns none when it cannot be
    /// recorded.
    pub fn append(&mut self, now: Time, send: &StreamSend, life: Duration) -> Option<RecordTicket> {
        self.slots.retain(|_, slot| slot.until > now);
        let span = now.as_micros() / Self::SPAN.as_micros() as u64;
        let id = RecordId { service: send.service.clone(), shard: send.key.shard(), span };
        let slot = self.slots.entry(id.clone()).or_default();
        if !slot.record.push(send) {
            return None;
        }
        self.number += 1;
        slot.added = self.number;
        slot.until = slot.until.max(now + life);
        Some(RecordTicket { id, number: self.number })
    }

    /// Returns whether a stream is on record.
    pub fn is_written(&self, ticket: &RecordTicket) -> bool {
        self.slots.get(&ticket.id).is_some_and(|slot| slot.written >= ticket.number)
    }

    /// Asks for a write at `at` or before: a stream waits for its record. All streams that were added by
    /// then share it, so that most of them need not wait.
    pub fn request_write(&mut self, at: Time) {
        self.due_at = Some(self.due_at.map_or(at, |due_at| due_at.min(at)));
    }

    /// Returns when the next write is due; none while no stream waits for one.
    pub fn due_at(&self) -> Option<Time> {
        self.due_at
    }

    /// Returns whether the store has taken the last records, or may take them again.
    pub fn may_record(&self, now: Time) -> bool {
        self.failed_at.is_none_or(|at| now.since(at) >= Self::FAILURE_TIME)
    }

    /// Returns whether a lease has to be granted before the next batch.
    pub fn needs_lease(&self, now: Time) -> bool {
        self.lease.is_none_or(|lease| lease.until <= now)
    }

    /// Sets the lease for the records that are written until `until`.
    pub fn set_lease(&mut self, id: u64, until: Time) {
        self.lease = Some(Lease { id, until });
    }

    /// Returns the records to write now; none when all are written or there is no lease.
    pub fn batch(&mut self) -> Option<RecordBatch> {
        let lease = self.lease?.id;
        let unwritten = self.slots.iter().filter(|(_, slot)| slot.written < slot.added);
        let writes: Vec<_> = unwritten
            .take(Self::MAX_WRITES)
            .map(|(id, slot)| RecordWrite {
                id: id.clone(),
                generation: slot.generation,
                expected_revision: slot.revision,
                record: slot.record.clone(),
            })
            .collect();
        self.due_at = None;
        (!writes.is_empty()).then_some(RecordBatch { writes, lease, number: self.number })
    }

    /// Records that a batch is in the store, at this revision.
    pub fn on_written(&mut self, now: Time, batch: &RecordBatch, revision: u64) {
        self.failed_at = None;
        for write in &batch.writes {
            if let Some(slot) = self.slots.get_mut(&write.id)
                && slot.generation == write.generation
            {
                slot.revision = revision;
                slot.written = slot.written.max(slot.added.min(batch.number));
            }
        }
        // Records that did not fit into the batch.
        if self.slots.values().any(|slot| slot.written < slot.added.min(batch.number)) {
            self.request_write(now);
        }
    }

    /// Records that the store has not confirmed a batch. It may execute it later, so its records are
    /// written to other items.
    pub fn on_failed(&mut self, now: Time, batch: Option<&RecordBatch>) {
        self.failed_at = Some(now);
        self.request_write(now);
        for write in batch.iter().flat_map(|batch| &batch.writes) {
            if let Some(slot) = self.slots.get_mut(&write.id) {
                slot.renew();
            }
        }
    }

    /// Records that the lease has ended, or that the store was restored from an older copy: all streams
    /// that can still be taken up are recorded again, under a new lease.
    pub fn on_lost(&mut self, now: Time) {
        self.lease = None;
        self.request_write(now);
        self.slots.values_mut().for_each(Slot::renew);
    }
}

impl Slot {
    /// Continues with another item.
    fn renew(&mut self) {
        self.generation += 1;
        self.revision = 0;
        self.written = 0;
    }
}
