//! Stand-in for the metadata store, with paged lists, watches and faults.

mod calls;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::Notify;

use self::calls::handle;
use crate::loopback::own_ip;

/// Interval between checks for leases whose time is over.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// Fault with which the store answers new calls; watches that wait already are not affected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFault {
    /// Answers every call correctly.
    None,
    /// Refuses every call with 503.
    Unavailable,
    /// Accepts calls and never responds.
    Unresponsive,
    /// Executes transactions and never responds to them; other calls are answered.
    WriteResponsesLost,
}

/// Value of a key with its revisions.
#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    creation_revision: u64,
    /// Lease that removes the item when it ends; zero for none.
    lease_id: u64,
}

/// Change of a key.
#[derive(Clone, Debug)]
struct Event {
    key: String,
    revision: u64,
    /// New value; absent when the key was deleted.
    item: Option<Item>,
}

/// Lease that holds.
#[derive(Clone, Copy, Debug)]
struct Lease {
    id: u64,
    ttl: Duration,
    ends_at: Instant,
}

/// State that the connections share.
#[derive(Debug)]
struct State {
    items: RefCell<BTreeMap<String, Item>>,
    /// Changes since the last compaction, oldest first.
    events: RefCell<Vec<Event>>,
    revision: Cell<u64>,
    /// Revision of the last compaction; watches from before it get status 410.
    compacted: Cell<u64>,
    fault: Cell<StoreFault>,
    /// Whether values of queries are percent-decoded, or taken as they are.
    decodes_queries: Cell<bool>,
    /// Bytes of each response that are sent in a second; absent when all are sent at once.
    bytes_per_s: Cell<Option<usize>>,
    /// Every how many calls one is refused with 429; zero for none.
    refusal_interval: Cell<u32>,
    /// Number of times the store was restored from a copy.
    era: Cell<u64>,
    /// Leases that hold.
    leases: RefCell<Vec<Lease>>,
    /// Number of calls of any kind.
    call_count: Cell<u32>,
    /// Number of reads of a first page.
    list_count: Cell<u32>,
    /// Number of watch calls.
    watch_count: Cell<u32>,
    /// Wakes watches after a change, a compaction or a new fault.
    changed: Notify,
}

/// Copy of the items of a store, from which it can be restored.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    items: BTreeMap<String, Item>,
    revision: u64,
}

/// Handle of a running metadata store; clones share its state.
#[derive(Clone, Debug)]
pub struct MetadataStore {
    state: Rc<State>,
    address: SocketAddr,
}

impl State {
    fn next_revision(&self) -> u64 {
        self.revision.set(self.revision.get() + 1);
        self.revision.get()
    }

    /// Writes an item at a revision of its own.
    fn put(&self, key: &str, value: &[u8], lease_id: u64) {
        self.put_at(self.next_revision(), key, value, lease_id);
    }

    /// Writes an item at a revision that was given out.
    fn put_at(&self, revision: u64, key: &str, value: &[u8], lease_id: u64) {
        let mut items = self.items.borrow_mut();
        let creation_revision = items.get(key).map_or(revision, |item| item.creation_revision);
        let item = Item { value: value.to_vec(), revision, creation_revision, lease_id };
        items.insert(key.to_owned(), item.clone());
        drop(items);
        self.publish(Event { key: key.to_owned(), revision, item: Some(item) });
    }

    /// Deletes an item at a revision of its own; does nothing when it is absent.
    fn delete(&self, key: &str) {
        if self.items.borrow().contains_key(key) {
            self.delete_at(self.next_revision(), key);
        }
    }

    /// Deletes an item at a revision that was given out; does nothing when it is absent.
    fn delete_at(&self, revision: u64, key: &str) {
        if self.items.borrow_mut().remove(key).is_some() {
            self.publish(Event { key: key.to_owned(), revision, item: None });
        }
    }

    /// Returns whether a lease holds.
    fn holds(&self, lease_id: u64) -> bool {
        self.leases.borrow().iter().any(|lease| lease.id == lease_id)
    }

    /// Ends a lease and deletes its items; returns whether it held.
    fn end_lease(&self, lease_id: u64) -> bool {
        if !self.holds(lease_id) {
            return false;
        }
        self.leases.borrow_mut().retain(|lease| lease.id != lease_id);
        let items = self.items.borrow();
        let leased = items.iter().filter(|(_, item)| item.lease_id == lease_id);
        let keys: Vec<String> = leased.map(|(key, _)| key.clone()).collect();
        drop(items);
        for key in keys {
            self.delete(&key);
        }
        true
    }

    /// Ends leases whose time is over.
    fn expire_leases(&self) {
        let now = Instant::now();
        let leases = self.leases.borrow();
        let ended = leases.iter().filter(|lease| lease.ends_at <= now).map(|lease| lease.id);
        let ended: Vec<u64> = ended.collect();
        drop(leases);
        for lease_id in ended {
            self.end_lease(lease_id);
        }
    }

    fn publish(&self, event: Event) {
        self.events.borrow_mut().push(event);
        self.changed.notify_waiters();
    }
}

impl MetadataStore {
    /// Starts a store on a loopback address of its own.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot listen.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind((own_ip(), 0)).await?;
        let state = Rc::new(State {
            items: RefCell::default(),
            events: RefCell::default(),
            revision: Cell::new(1),
            compacted: Cell::new(0),
            fault: Cell::new(StoreFault::None),
            decodes_queries: Cell::new(true),
            bytes_per_s: Cell::default(),
            refusal_interval: Cell::default(),
            era: Cell::new(1),
            leases: RefCell::default(),
            call_count: Cell::new(0),
            list_count: Cell::new(0),
            watch_count: Cell::new(0),
            changed: Notify::new(),
        });
        let store = Self { address: listener.local_addr()?, state: Rc::clone(&state) };

        let expiring = Rc::downgrade(&state);
        actix_rt::spawn(async move {
            while let Some(state) = expiring.upgrade() {
                state.expire_leases();
                drop(state);
                tokio::time::sleep(EXPIRY_INTERVAL).await;
            }
        });
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = Rc::clone(&state);
                actix_rt::spawn(async move {
                    let service = service_fn(move |req| handle(Rc::clone(&state), req));
                    // Fails when the client disconnects, which is normal.
                    let _ = Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
        Ok(store)
    }

    /// Returns the address on which the store listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how often the first page of a list was read, which starts a new listing.
    pub fn list_count(&self) -> u32 {
        self.state.list_count.get()
    }

    /// Returns how many calls of any kind arrived.
    pub fn call_count(&self) -> u32 {
        self.state.call_count.get()
    }

    /// Returns how many watch calls arrived.
    pub fn watch_count(&self) -> u32 {
        self.state.watch_count.get()
    }

    /// Sets the fault; `StoreFault::None` ends it.
    pub fn set_fault(&self, fault: StoreFault) {
        self.state.fault.set(fault);
        self.state.changed.notify_waiters();
    }

    /// Sets whether values of queries are percent-decoded, as they are at first, or taken as they are.
    pub fn set_query_decoding(&self, decodes_queries: bool) {
        self.state.decodes_queries.set(decodes_queries);
    }

    /// Sets how many bytes of each response are sent in a second, as over a link that is shared.
    pub fn set_bytes_per_s(&self, bytes_per_s: usize) {
        self.state.bytes_per_s.set(Some(bytes_per_s));
    }

    /// Sets that one call of every `interval` is refused with 429, as at the rate limit.
    pub fn set_refusal_interval(&self, interval: u32) {
        self.state.refusal_interval.set(interval);
    }

    /// Writes a JSON value.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, value.to_string().as_bytes());
    }

    /// Writes a value of arbitrary bytes, for example malformed JSON.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        self.state.put(key, value, 0);
    }

    /// Deletes a key; does nothing when it is absent.
    pub fn delete(&self, key: &str) {
        self.state.delete(key);
    }

    /// Ends all leases and deletes their items.
    pub fn end_leases(&self) {
        let leases: Vec<u64> = self.state.leases.borrow().iter().map(|lease| lease.id).collect();
        for lease_id in leases {
            self.state.end_lease(lease_id);
        }
    }

    /// Ends the lease of an item, as if its time was over; returns whether there is one.
    pub fn expire_lease_of(&self, key: &str) -> bool {
        let lease_id = self.state.items.borrow().get(key).map(|item| item.lease_id);
        lease_id.is_some_and(|lease_id| self.state.end_lease(lease_id))
    }

    /// Returns the bytes of an item; none when there is none.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        Some(self.state.items.borrow().get(key)?.value.clone())
    }

    /// Returns an item as JSON; null when there is none or it is not JSON.
    pub fn json(&self, key: &str) -> Value {
        let value = self.value(key).unwrap_or_default();
        serde_json::from_slice(&value).unwrap_or_default()
    }

    /// Returns the keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let items = self.state.items.borrow();
        items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Returns a copy of all items.
    pub fn take_copy(&self) -> StoreCopy {
        StoreCopy { items: self.state.items.borrow().clone(), revision: self.state.revision.get() }
    }

    /// Restores the store from a copy: later changes are gone, their revisions are given out again,
    /// and the era rises. Waiting watches go on as if nothing had happened.
    pub fn restore(&self, copy: &StoreCopy) {
        *self.state.items.borrow_mut() = copy.items.clone();
        self.state.leases.borrow_mut().clear();
        self.state.revision.set(copy.revision);
        self.state.events.borrow_mut().retain(|event| event.revision <= copy.revision);
        self.state.era.set(self.state.era.get() + 1);
        self.state.changed.notify_waiters();
    }

    /// Drops the history of changes; watches from an earlier revision get status 410 instead of the
    /// lost events.
    pub fn compact(&self) {
        self.state.compacted.set(self.state.revision.get());
        self.state.events.borrow_mut().clear();
        self.state.changed.notify_waiters();
    }
}
