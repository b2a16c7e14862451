//! Measures the bytes of a control message on a real Cap'n Proto connection.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, new_client, twoparty};
use futures::AsyncReadExt;
use futures::io::{AsyncRead, AsyncWrite, BufReader, BufWriter};
use sapphirespur_core::message::Message;
use sapphirespur_wire::control_capnp::control;
use sapphirespur_wire::{decode_message, encode_message};
use tokio_util::compat::TokioAsyncReadCompatExt;

/// Number of messages that are sent and averaged.
const MESSAGE_COUNT: u64 = 1_000;

/// Buffer size of the in-memory connection, in bytes.
const DUPLEX_BUFFER_BYTES: usize = 1 << 20;

/// Control server that decodes each message and discards it.
struct Sink;

impl control::Server for Sink {
    async fn deliver(
        self: Rc<Self>,
        params: control::DeliverParams,
        _results: control::DeliverResults,
    ) -> Result<(), capnp::Error> {
        decode_message(params.get()?.get_message()?)
            .map(|_| ())
            .map_err(|e| capnp::Error::failed(e.to_string()))
    }
}

/// Writer that adds the bytes it has written to a shared counter.
struct CountingWriter<W> {
    inner: W,
    bytes: Arc<AtomicU64>,
}

impl<W: AsyncWrite + Unpin> AsyncWrite for CountingWriter<W> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = written {
            self.bytes.fetch_add(count as u64, Ordering::Relaxed);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}

/// Returns the mean bytes that one message and its answer need in both directions, without the
/// overhead of TCP and IP.
///
/// # Errors
///
/// Returns an error when the connection breaks or the server cannot decode the message.
pub async fn message_bytes(message: &Message) -> Result<u64, capnp::Error> {
    let bytes = Arc::new(AtomicU64::new(0));
    let (client_end, server_end) = tokio::io::duplex(DUPLEX_BUFFER_BYTES);
    let (client_reader, client_writer) = client_end.compat().split();
    let (server_reader, server_writer) = server_end.compat().split();

    let sink: control::Client = new_client(Sink);
    let server = RpcSystem::new(
        Box::new(network(server_reader, server_writer, &bytes, Side::Server)),
        Some(sink.client),
    );
    let mut client =
        RpcSystem::new(Box::new(network(client_reader, client_writer, &bytes, Side::Client)), None);
    let control: control::Client = client.bootstrap(Side::Server);
    actix_rt::spawn(async { drop(server.await) });
    actix_rt::spawn(async { drop(client.await) });

    deliver(&control, message).await?;
    let before = bytes.load(Ordering::Relaxed);
    for _ in 0..MESSAGE_COUNT {
        deliver(&control, message).await?;
    }
    Ok((bytes.load(Ordering::Relaxed) - before) / MESSAGE_COUNT)
}

async fn deliver(control: &control::Client, message: &Message) -> Result<(), capnp::Error> {
    let mut request = control.deliver_request();
    encode_message(message, request.get().init_message());

    request.send().promise.await.map(|_| ())
}

/// Returns one end of the connection, which counts the bytes that it writes.
fn network(
    reader: impl AsyncRead + Unpin + 'static,
    writer: impl AsyncWrite + Unpin + 'static,
    bytes: &Arc<AtomicU64>,
    side: Side,
) -> twoparty::VatNetwork<BufReader<impl AsyncRead + Unpin + 'static>> {
    let writer = CountingWriter { inner: writer, bytes: bytes.clone() };

    twoparty::VatNetwork::new(
        BufReader::new(reader),
        BufWriter::new(writer),
        side,
        capnp::message::ReaderOptions::new(),
    )
}
