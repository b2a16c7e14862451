//! Look-ups of streams in the platform's store.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sapphirespur_core::edge::{BaseVersion, StreamKey, StreamLookup, StreamRecord};
use sapphirespur_core::name::Name;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::timeout;

use super::record_store::{RecordStore, StoredItem};
use super::registry::RegistryError;
use super::store_call::answered_within;
use super::stream_keys::{base_key, shard_prefix};

/// Look-ups that wait for a connection; further ones are refused.
const QUEUE_LEN: usize = 1_024;

/// Look-ups at the same time, each on a connection of its own.
const MAX_PARALLEL: usize = 8;

/// Time within which a look-up must end.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(800);

/// Look-up that is to be made.
#[derive(Debug)]
pub(super) struct LookupRequest {
    service: Name,
    key: StreamKey,
    reply: oneshot::Sender<Result<StreamLookup, RegistryError>>,
}

/// Sender of look-ups.
#[derive(Clone, Debug)]
pub(super) struct StreamLookups(mpsc::Sender<LookupRequest>);

impl StreamLookups {
    /// Creates a sender and the receiver for [`run`].
    pub fn new() -> (Self, mpsc::Receiver<LookupRequest>) {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        (Self(tx), rx)
    }

    /// Reads what the store holds about a stream.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer in time, or too many look-ups wait.
    pub async fn find(
        &self,
        service: &Name,
        key: StreamKey,
    ) -> Result<StreamLookup, RegistryError> {
        let (reply, response) = oneshot::channel();
        let request = LookupRequest { service: service.clone(), key, reply };
        self.0.try_send(request).map_err(|e| RegistryError::Unreachable(e.to_string()))?;
        let response = timeout(LOOKUP_TIMEOUT, response).await.map_err(|_| {
            RegistryError::Unreachable(format!("no look-up within {LOOKUP_TIMEOUT:?}"))
        })?;
        response.map_err(|e| RegistryError::Unreachable(e.to_string()))?
    }
}

/// Makes look-ups until the process exits.
pub(super) async fn run<R: RecordStore + 'static>(
    mut rx: mpsc::Receiver<LookupRequest>,
    open: impl Fn() -> R,
) {
    let idle: Rc<RefCell<Vec<R>>> = Rc::default();
    let permits = Arc::new(Semaphore::new(MAX_PARALLEL));
    while let Some(request) = rx.recv().await {
        // The client may have left, or the look-up have timed out, while it waited.
        if request.reply.is_closed() {
            continue;
        }
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
        let mut store = idle.borrow_mut().pop().unwrap_or_else(&open);
        let idle = Rc::clone(&idle);
        actix_rt::spawn(async move {
            let result = answered_within(LOOKUP_TIMEOUT, look_up(&mut store, &request)).await;
            idle.borrow_mut().push(store);
            // Fails when nobody waits for it any more.
            let _ = request.reply.send(result);
            drop(permit);
        });
    }
}

/// Reads the records of a stream's shard, and the base version.
///
/// The first event of a stream is passed on only after its record is written, so records that are read
/// after the client took the stream up are complete. The base is read after the records: once it has
/// moved, no stream without a record can be taken up that began before.
async fn look_up(
    store: &mut impl RecordStore,
    request: &LookupRequest,
) -> Result<StreamLookup, RegistryError> {
    let prefix = shard_prefix(&request.service, request.key.shard());
    let records = store.range(&prefix).await?;
    let base = store.get(&base_key(&request.service)).await?;
    if base.era != records.era {
        return Err(RegistryError::Restored);
    }

    Ok(StreamLookup {
        era: base.era,
        records: records.value.iter().filter_map(decode_record).collect(),
        base: base.value.as_ref().and_then(decode_base),
    })
}

/// Decodes a record; logs when it cannot.
fn decode_record(item: &StoredItem) -> Option<StreamRecord> {
    postcard::from_bytes(&item.value)
        .inspect_err(|e| {
            log::error!(error = e.to_string().as_str(); "record of streams cannot be read");
        })
        .ok()
}

/// Decodes a base version; logs when it cannot.
pub(super) fn decode_base(item: &StoredItem) -> Option<BaseVersion> {
    serde_json::from_slice(&item.value)
        .inspect_err(|e| log::error!(error = e.to_string().as_str(); "base version cannot be read"))
        .ok()
}
