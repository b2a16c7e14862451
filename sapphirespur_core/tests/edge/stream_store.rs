//! Model of the platform's store for the records of streams.

use std::collections::BTreeMap;
use std::time::Duration;

use sapphirespur_core::edge::{BaseVersion, RecordBatch, StreamLookup, StreamRecord};
use sapphirespur_core::time::Time;

/// Content of an item.
#[derive(Clone, Debug)]
enum Content {
    Record(StreamRecord),
    Base(BaseVersion),
}

#[derive(Clone, Debug)]
struct Item {
    content: Content,
    revision: u64,
    /// Lease that removes the item; zero for none.
    lease: u64,
}

/// Transaction: items with the revisions that they must have.
#[derive(Clone, Debug)]
struct Transaction {
    writes: Vec<(String, u64, Content)>,
    lease: u64,
}

/// Items of the store, with their revisions and leases.
#[derive(Clone, Debug, Default)]
struct Items {
    by_key: BTreeMap<String, Item>,
    revision: u64,
    leases: BTreeMap<u64, Time>,
}

/// What becomes of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteFate {
    Answered,
    LostBefore,
    LostAfter,
    /// Executed after this time, without an answer.
    Late(Duration),
}

/// Result of a write that was answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    Written(u64),
    Refused,
}

/// Store whose writes may be lost, and which may be restored from an older copy.
#[derive(Clone, Debug, Default)]
pub struct StoreModel {
    items: Items,
    pub era: u64,
    pub is_down: bool,
    /// When the store was last restored.
    pub restored_at: Time,
    late: Vec<(Time, Transaction)>,
    /// Copies, oldest first.
    copies: Vec<Items>,
    pub writes: usize,
}

impl StoreModel {
    /// Copies that are kept; one is made each second.
    const COPIES: usize = 5;

    /// Creates an empty store.
    pub fn new() -> Self {
        Self { era: 1, ..Self::default() }
    }

    /// Executes late writes and ends leases.
    pub fn tick(&mut self, now: Time) {
        let (due, late) = self.late.drain(..).partition(|(at, _)| *at <= now);
        self.late = late;
        let due: Vec<(Time, Transaction)> = due;
        for (_, transaction) in due {
            self.items.execute(&transaction);
        }
        let items = &mut self.items;
        items.leases.retain(|_, until| *until > now);
        let leases = &items.leases;
        items.by_key.retain(|_, item| item.lease == 0 || leases.contains_key(&item.lease));
    }

    /// Keeps a copy from which the store may be restored.
    pub fn keep_copy(&mut self) {
        self.copies.push(self.items.clone());
        if self.copies.len() > Self::COPIES {
            self.copies.remove(0);
        }
    }

    /// Restores the oldest copy.
    pub fn restore(&mut self, now: Time) {
        if let Some(copy) = self.copies.first() {
            self.items = copy.clone();
            self.copies.clear();
            self.era += 1;
            self.restored_at = now;
        }
    }

    pub fn grant_lease(&mut self, now: Time, ttl: Duration) -> Option<u64> {
        if self.is_down {
            return None;
        }
        self.items.revision += 1;
        self.items.leases.insert(self.items.revision, now + ttl);
        Some(self.items.revision)
    }

    /// Writes the records of a process; none without an answer.
    pub fn write_records(
        &mut self,
        now: Time,
        process: &str,
        batch: &RecordBatch,
        fate: WriteFate,
    ) -> Option<Answer> {
        let key = |write: &sapphirespur_core::edge::RecordWrite| {
            format!("{}/{process}-{}-{}", write.id.shard, write.id.span, write.generation)
        };
        let writes = batch.writes.iter().map(|write| {
            (key(write), write.expected_revision, Content::Record(write.record.clone()))
        });
        let transaction = Transaction { writes: writes.collect(), lease: batch.lease };
        self.write(now, transaction, fate)
    }

    /// Writes the base version; none without an answer.
    pub fn write_base(
        &mut self,
        now: Time,
        base: BaseVersion,
        expected_revision: u64,
    ) -> Option<Answer> {
        let writes = vec![("base".to_owned(), expected_revision, Content::Base(base))];
        self.write(now, Transaction { writes, lease: 0 }, WriteFate::Answered)
    }

    fn write(&mut self, now: Time, transaction: Transaction, fate: WriteFate) -> Option<Answer> {
        self.writes += 1;
        if self.is_down {
            return None;
        }
        match fate {
            WriteFate::Answered => Some(self.items.execute(&transaction)),
            WriteFate::LostBefore => None,
            WriteFate::LostAfter => {
                self.items.execute(&transaction);
                None
            }
            WriteFate::Late(delay) => {
                self.late.push((now + delay, transaction));
                None
            }
        }
    }

    /// Returns the base version with its revision; none when the store does not answer.
    pub fn read_base(&self) -> Option<Option<(BaseVersion, u64)>> {
        (!self.is_down).then(|| {
            let item = self.items.by_key.get("base")?;
            match &item.content {
                Content::Base(base) => Some((base.clone(), item.revision)),
                Content::Record(_) => None,
            }
        })
    }

    /// Returns what the store holds about the streams of a shard; none when it does not answer.
    pub fn look_up(&self, shard: u8) -> Option<StreamLookup> {
        let base = self.read_base()?.map(|(base, _)| base);
        let prefix = format!("{shard}/");
        let items = self.items.by_key.iter().filter(|(key, _)| key.starts_with(&prefix));
        let records = items.filter_map(|(_, item)| match &item.content {
            Content::Record(record) => Some(record.clone()),
            Content::Base(_) => None,
        });
        Some(StreamLookup { era: self.era, records: records.collect(), base })
    }
}

impl Items {
    fn execute(&mut self, transaction: &Transaction) -> Answer {
        let revision_of = |key: &String| self.by_key.get(key).map_or(0, |item| item.revision);
        let holds = transaction.writes.iter().all(|(key, at, _)| revision_of(key) == *at);
        let has_lease = transaction.lease == 0 || self.leases.contains_key(&transaction.lease);
        if !holds || !has_lease {
            return Answer::Refused;
        }
        self.revision += 1;
        for (key, _, content) in &transaction.writes {
            let item = Item {
                content: content.clone(),
                revision: self.revision,
                lease: transaction.lease,
            };
            self.by_key.insert(key.clone(), item);
        }
        Answer::Written(self.revision)
    }
}
