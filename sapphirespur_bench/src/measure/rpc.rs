//! Bytes of a control message on a real link.

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

/// Messages that are sent.
const MESSAGES: u64 = 1_000;

/// Bytes that a pipe buffers.
const PIPE_BYTES: usize = 1 << 20;

/// Receiver that decodes and drops.
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

/// Writer that counts.
struct Counted<W> {
    inner: W,
    bytes: Arc<AtomicU64>,
}

impl<W: AsyncWrite + Unpin> AsyncWrite for Counted<W> {
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

/// Returns the bytes of one message in both directions, answer included, without TCP and IP.
///
/// # Errors
///
/// Returns an error when the pipe breaks.
pub async fn message_bytes(message: &Message) -> Result<u64, capnp::Error> {
    let bytes = Arc::new(AtomicU64::new(0));
    let (client_end, server_end) = tokio::io::duplex(PIPE_BYTES);
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
    for _ in 0..MESSAGES {
        deliver(&control, message).await?;
    }
    Ok((bytes.load(Ordering::Relaxed) - before) / MESSAGES)
}

async fn deliver(control: &control::Client, message: &Message) -> Result<(), capnp::Error> {
    let mut request = control.deliver_request();
    encode_message(message, request.get().init_message());

    request.send().promise.await.map(|_| ())
}

fn network(
    reader: impl AsyncRead + Unpin + 'static,
    writer: impl AsyncWrite + Unpin + 'static,
    bytes: &Arc<AtomicU64>,
    side: Side,
) -> twoparty::VatNetwork<BufReader<impl AsyncRead + Unpin + 'static>> {
    let counted = Counted { inner: writer, bytes: bytes.clone() };

    twoparty::VatNetwork::new(
        BufReader::new(reader),
        BufWriter::new(counted),
        side,
        capnp::message::ReaderOptions::new(),
    )
}
