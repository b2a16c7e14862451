//! Router daemon that sends requests to upstreams itself, without sidecars.
//!
//! One thread runs it all: on VMs with a part of one core, handing each request to another thread
//! and back costs more than the decision about it.

mod answer;
mod connect;
mod dialect;
pub mod events;
mod handle;
pub mod hop;
mod in_flight;
mod life;
pub mod log_budget;
mod metrics;
mod peer_link;
mod plain;
mod pool;
mod registry;
mod send;
mod server;
mod shared;
mod snapshot;
mod status;
mod stream;
mod sync;
mod ticker;

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::TcpListener;

pub use connect::{HttpConnection, OpenError, open};
pub use dialect::{AnswerHead, BadCall, CallHead, Dialect, SendHead};
pub use registry::{Change, Changes, Entry, Listing, Registry, RegistryError};
use shared::Shared;
pub use status::{EdgeStatus, STATUS_PATH, UpstreamStatus};

use crate::settings::EdgeSettings;
use crate::start::StartError;

/// Runs the router until it is asked to stop.
///
/// # Errors
///
/// Returns an error when a socket cannot be opened or logging cannot start.
pub async fn run(
    settings: EdgeSettings,
    dialect: Rc<dyn Dialect>,
    registry: impl Registry + 'static,
) -> Result<(), StartError> {
    let flush_handle = crate::logging::start_on_stdout(&settings.log, settings.node.name.as_str())?;
    let mut life = life::Life::new()?;
    let http = server::listen(settings.listen.http)?;
    let ready = server::listen(settings.listen.ready)?;
    let admin = server::listen(settings.listen.peers)?;
    let peers = peer_link::PeerLink::open(bound(&admin)?, &settings.seeds).await?;
    let metrics = server::listen(settings.listen.metrics)?;

    let cx = Rc::new(Shared::new(settings, dialect));
    log::info!(
        http = bound(&http)?.to_string().as_str(),
        ready = bound(&ready)?.to_string().as_str(),
        peers = bound(&admin)?.to_string().as_str(),
        metrics = bound(&metrics)?.to_string().as_str(),
        data_centre = cx.settings().node.data_centre.as_str(),
        started_ms = cx.started_ms;
        "started"
    );
    actix_rt::spawn(server::serve_clients(http, Rc::clone(&cx)));
    actix_rt::spawn(server::serve_readiness(ready, Rc::clone(&cx)));
    actix_rt::spawn(server::serve_admin(admin, Rc::clone(&cx)));
    actix_rt::spawn(server::serve_admin(metrics, Rc::clone(&cx)));
    actix_rt::spawn(peers.run(Rc::clone(&cx)));
    actix_rt::spawn(sync::run(Rc::clone(&cx), registry));
    actix_rt::spawn(snapshot::run(Rc::clone(&cx)));
    actix_rt::spawn(ticker::run(Rc::clone(&cx)));

    life.run(&cx).await;
    log::info!(in_flight = cx.in_flight.get(); "stopped");
    flush_handle.wait();
    Ok(())
}

/// Returns the address of a listener, of which the system may have chosen the port.
fn bound(listener: &TcpListener) -> Result<SocketAddr, StartError> {
    Ok(listener.local_addr()?)
}
