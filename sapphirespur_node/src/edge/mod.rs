//! Edge router daemon: sends requests to upstreams itself, without sidecars.
//!
//! Everything runs on one thread: on VMs with a fraction of a core, handing each request to another
//! thread and back costs more than the routing decision.

mod bootstrap_keeper;
mod buffer_guard;
mod buffered;
mod buffered_body;
mod buffers;
pub mod client_stream;
mod connect;
mod delivered_body;
mod delivery;
mod delivery_stream;
mod dialect;
pub mod event_buffer;
mod guards;
mod half_close;
mod handle;
mod head_wait;
pub mod hop_headers;
mod lazy_identity;
mod lifecycle;
mod listed_names;
pub mod log_budget;
mod metered_stream;
mod metrics;
mod peer_client;
pub mod peer_link;
mod pool;
mod read_progress;
mod received_body;
mod received_body_error;
mod record_store;
mod registry;
mod registry_sync;
pub mod registry_thread;
pub mod response;
mod response_buffer;
mod response_phase;
mod retry_metrics;
mod rollout_keeper;
mod rollout_keys;
mod rollout_log;
mod rollout_metrics;
mod rollout_status;
mod run_end;
mod send;
mod server;
mod shared;
mod skipped_names;
mod snapshot;
mod status;
mod store_call;
mod stream;
mod stream_keeper;
mod stream_keys;
mod stream_lookups;
mod stream_origins;
mod ticker;
mod told_changes;
mod workspace_counts;

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::TcpListener;

pub use connect::{ConnectError, HttpConnection, connect, handshake};
pub use dialect::{Dialect, RequestHead, RequestHeadError, ResponseHead, UpstreamRequestHead};
pub use received_body::ReceivedBody;
pub use received_body_error::ReceivedBodyError;
pub use record_store::{
    ExpectedItem, ItemWrite, LeaseState, RecordStore, StateWrite, Stored, StoredItem, Transaction,
    WriteOutcome,
};
pub use registry::{Registry, RegistryError, RegistryListing};
pub use rollout_keys::{ROLLOUT_LEADER, ROLLOUTS_PREFIX};
pub use rollout_status::RolloutStatus;
use shared::Shared;
pub use skipped_names::{EntryKind, SkippedNames};
pub use status::{EdgeStatus, PredictionStatus, ReportedLoad, STATUS_PATH, UpstreamStatus};
pub use stream_keys::RECORDS_PREFIX;

use crate::settings::EdgeSettings;
use crate::start::StartError;

/// Runs the router until a stop signal, and drains it. `registry` and `records` open clients of the store.
///
/// # Errors
///
/// Returns an error when a socket or signal handler cannot be opened or logging cannot start.
pub async fn run<C: Registry, R: RecordStore + 'static>(
    settings: EdgeSettings,
    dialect: Rc<dyn Dialect>,
    registry: impl FnOnce() -> C + Send + 'static,
    records: impl Fn() -> R + 'static,
) -> Result<(), StartError> {
    let flush_handle = crate::logging::start_on_stdout(&settings.log, settings.node.name.as_str())?;
    let mut lifecycle = lifecycle::Lifecycle::new()?;
    let http = server::listen(settings.listen.http)?;
    let ready = server::listen(settings.listen.ready)?;
    let admin = server::listen(settings.listen.peers)?;
    let own_address = local_address(&admin)?;
    let peers = peer_link::PeerLink::open(own_address).await?;
    let metrics = server::listen(settings.listen.metrics)?;

    let (stream_lookups, lookup_requests) = stream_lookups::StreamLookups::new();
    let cx = Rc::new(Shared::new(settings, dialect, stream_lookups));
    cx.router.borrow_mut().start_exchange(own_address, &cx.settings().seeds);
    log::info!(
        http = local_address(&http)?.to_string().as_str(),
        ready = local_address(&ready)?.to_string().as_str(),
        peers = own_address.to_string().as_str(),
        metrics = local_address(&metrics)?.to_string().as_str(),
        data_centre = cx.settings().node.data_centre.as_str(),
        started_ms = cx.started_ms;
        "started"
    );
    actix_rt::spawn(server::serve_clients(http, Rc::clone(&cx)));
    actix_rt::spawn(server::serve_readiness(ready, Rc::clone(&cx)));
    actix_rt::spawn(server::serve_admin(admin, Rc::clone(&cx)));
    actix_rt::spawn(server::serve_admin(metrics, Rc::clone(&cx)));
    actix_rt::spawn(peers.run(Rc::clone(&cx)));
    let registry = registry_thread::RegistryThread::start(registry)?;
    actix_rt::spawn(registry_sync::run(Rc::clone(&cx), registry));
    actix_rt::spawn(stream_keeper::write_records(Rc::clone(&cx), records()));
    actix_rt::spawn(stream_keeper::keep_bases(Rc::clone(&cx), records()));
    actix_rt::spawn(bootstrap_keeper::run(Rc::clone(&cx), records()));
    if cx.router.borrow().rollouts().is_on() {
        actix_rt::spawn(rollout_keeper::run(Rc::clone(&cx), records()));
    }
    actix_rt::spawn(stream_lookups::run(lookup_requests, records));
    actix_rt::spawn(snapshot::run(Rc::clone(&cx)));
    actix_rt::spawn(ticker::run(Rc::clone(&cx)));

    lifecycle.run(&cx).await;
    log::info!(in_flight = cx.in_flight.get(); "stopped");
    flush_handle.wait();
    Ok(())
}

/// Returns the bound address of a listener; the system chooses the port when it is set to zero.
fn local_address(listener: &TcpListener) -> Result<SocketAddr, StartError> {
    Ok(listener.local_addr()?)
}
