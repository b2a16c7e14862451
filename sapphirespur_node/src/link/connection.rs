//! One connection with its RPC system.

use std::net::SocketAddr;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures::AsyncReadExt;
use sapphirespur_core::name::Name;
use sapphirespur_wire::control_capnp::control;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio_util::compat::TokioAsyncReadCompatExt;

/// Time within which a connection must be open and attached.
const ATTACH_TIMEOUT: Duration = Duration::from_secs(2);

/// Reason why a link does not come up.
#[derive(Debug, Error)]
pub(super) enum LinkError {
    /// The connection fails.
    #[error("the connection fails: {0}")]
    Connection(#[from] std::io::Error),
    /// The peer does not attach.
    #[error("the peer does not attach: {0}")]
    Attach(#[from] capnp::Error),
    /// The peer does not answer in time.
    #[error("the peer does not answer in time")]
    Timeout(#[from] tokio::time::error::Elapsed),
}

/// Starts the server side of a connection; `control` takes the peer's messages.
pub(super) fn serve(stream: TcpStream, control: control::Client) -> Result<Rpc, LinkError> {
    Ok(Rpc(RpcSystem::new(Box::new(network(stream, Side::Server)?), Some(control.client))))
}

/// RPC system that must be polled for the connection to live.
pub(super) struct Rpc(pub RpcSystem<Side>);

/// Attached connection of the client side.
pub(super) struct Attached {
    /// Future that runs the connection until it ends.
    pub task: tokio::task::JoinHandle<()>,
    /// Receiver of messages to the peer.
    pub client: control::Client,
}

/// Connects to `address` and attaches; `control` takes the peer's messages.
pub(super) async fn connect(
    address: SocketAddr,
    name: &Name,
    control: control::Client,
) -> Result<Attached, LinkError> {
    let stream = tokio::time::timeout(ATTACH_TIMEOUT, TcpStream::connect(address)).await??;
    let mut rpc = RpcSystem::new(Box::new(network(stream, Side::Client)?), None);
    let client: control::Client = rpc.bootstrap(Side::Server);
    let task = actix_rt::spawn(async move {
        // The end of the connection is all that matters to the link.
        let _ = rpc.await;
    });

    let mut request = client.attach_request();
    request.get().set_name(name.as_str());
    request.get().set_peer(control);
    let attached = tokio::time::timeout(ATTACH_TIMEOUT, request.send().promise).await;
    match attached {
        Ok(Ok(_)) => Ok(Attached { task, client }),
        Ok(Err(e)) => {
            task.abort();
            Err(e.into())
        }
        Err(e) => {
            task.abort();
            Err(e.into())
        }
    }
}

type Network = twoparty::VatNetwork<
    futures::io::BufReader<futures::io::ReadHalf<tokio_util::compat::Compat<TcpStream>>>,
>;

fn network(stream: TcpStream, side: Side) -> Result<Network, LinkError> {
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.compat().split();

    Ok(twoparty::VatNetwork::new(
        futures::io::BufReader::new(reader),
        futures::io::BufWriter::new(writer),
        side,
        capnp::message::ReaderOptions::new(),
    ))
}
