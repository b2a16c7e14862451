//! TCP connection of a control link with its RPC system.

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

/// Timeout of each of the two steps that open a link: the TCP connect and the attach call.
const ATTACH_TIMEOUT: Duration = Duration::from_secs(2);

/// Reason why a link cannot be opened.
#[derive(Debug, Error)]
pub(super) enum LinkError {
    /// The TCP connection cannot be opened or configured.
    #[error("connection failed: {0}")]
    Connection(#[from] std::io::Error),
    /// The attach call to the peer fails.
    #[error("attach call failed: {0}")]
    Attach(#[from] capnp::Error),
    /// The connect or the attach call times out.
    #[error("timed out")]
    Timeout(#[from] tokio::time::error::Elapsed),
}

/// Creates the server side of an accepted connection; `control` receives the peer's messages.
pub(super) fn serve(
    stream: TcpStream,
    control: control::Client,
) -> Result<ServerConnection, LinkError> {
    Ok(ServerConnection(RpcSystem::new(
        Box::new(network(stream, Side::Server)?),
        Some(control.client),
    )))
}

/// Server side of an accepted connection: its RPC system, which runs only while it is polled.
pub(super) struct ServerConnection(pub RpcSystem<Side>);

/// Client side of an attached connection.
pub(super) struct ClientConnection {
    /// Task that runs the connection until it closes.
    pub task: tokio::task::JoinHandle<()>,
    /// RPC client that delivers messages to the peer.
    pub client: control::Client,
}

/// Connects to `address` and attaches as `name`; `control` receives the peer's messages.
pub(super) async fn connect(
    address: SocketAddr,
    name: &Name,
    control: control::Client,
) -> Result<ClientConnection, LinkError> {
    let stream = tokio::time::timeout(ATTACH_TIMEOUT, TcpStream::connect(address)).await??;
    let mut rpc = RpcSystem::new(Box::new(network(stream, Side::Client)?), None);
    let client: control::Client = rpc.bootstrap(Side::Server);
    let task = actix_rt::spawn(async move {
        // The link is closed in the same way whatever ended the connection.
        let _ = rpc.await;
    });

    let mut request = client.attach_request();
    request.get().set_name(name.as_str());
    request.get().set_peer(control);
    let attached = tokio::time::timeout(ATTACH_TIMEOUT, request.send().promise).await;
    match attached {
        Ok(Ok(_)) => Ok(ClientConnection { task, client }),
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

/// Cap'n Proto transport over a TCP stream.
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
