//! Exchange of reports between routers over UDP.

use std::net::SocketAddr;
use std::rc::Rc;

use sapphirespur_core::edge::{ExchangeRole, MessageExtension, OutgoingMessage, PeerMessage};
use serde::Deserialize;
use thiserror::Error;
use tokio::net::UdpSocket;

use super::shared::Shared;
use crate::start::StartError;

/// Size of the receive buffer, in bytes; a longer datagram is truncated and fails to decode.
const MAX_DATAGRAM_BYTES: usize = 60 * 1024;

/// First bytes of each datagram. Builds with another format read a list of one address from them
/// whose kind does not exist, and refuse the datagram.
const FORMAT: [u8; 2] = [1, 0x7f];

/// Reason why a datagram is refused.
#[derive(Debug, Error)]
pub enum DatagramError {
    /// It is of another format, as from another build.
    #[error("unknown format")]
    UnknownFormat,
    /// It is not a message.
    #[error("{0}")]
    Malformed(#[from] postcard::Error),
}

/// UDP link to the other routers.
#[derive(Debug)]
pub(super) struct PeerLink {
    socket: UdpSocket,
}

impl PeerLink {
    /// Binds the link to `own_address`.
    ///
    /// # Errors
    ///
    /// Returns an error when the socket cannot be bound.
    pub async fn open(own_address: SocketAddr) -> Result<Self, StartError> {
        let socket = UdpSocket::bind(own_address)
            .await
            .map_err(|source| StartError::Listen { address: own_address, source })?;
        Ok(Self { socket })
    }

    /// Sends and receives reports until the process exits.
    pub async fn run(self, cx: Rc<Shared>) {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        let mut role = ExchangeRole::Mesh;
        let mut due = tokio::time::Instant::now();
        loop {
            tokio::select! {
                () = tokio::time::sleep_until(due) => {
                    self.send_reports(&cx);
                    due = tokio::time::Instant::now() + cx.router.borrow().exchange().interval();
                    log_role(&cx, &mut role);
                }
                received = self.socket.recv_from(&mut buf) => {
                    match received {
                        Ok((len, from)) => self.on_datagram(&cx, from, &buf[..len]),
                        Err(e) => log::debug!(error = e.to_string().as_str(); "failed to receive peer report"),
                    }
                }
            }
        }
    }

    fn send_reports(&self, cx: &Shared) {
        let is_registry_fresh = cx.has_registry_answered() && !cx.is_registry_failing();
        let mut router = cx.router.borrow_mut();
        router.set_registry_fresh(is_registry_fresh);
        let messages = router.exchange_messages(cx.now());
        drop(router);
        // Many receivers get the same message, one after the other.
        let mut encoded: Option<(&PeerMessage, Vec<u8>)> = None;
        for OutgoingMessage { to, message } in &messages {
            match &encoded {
                Some((previous, bytes)) if *previous == message => self.send(*to, bytes),
                _ => {
                    let Some(bytes) = encode(message) else { continue };
                    self.send(*to, &bytes);
                    encoded = Some((message, bytes));
                }
            }
        }
    }

    fn send(&self, to: SocketAddr, bytes: &[u8]) {
        if let Err(e) = self.socket.try_send_to(bytes, to) {
            log::debug!(peer = to.to_string().as_str(), error = e.to_string().as_str(); "failed to send report");
        }
    }

    fn on_datagram(&self, cx: &Shared, from: SocketAddr, bytes: &[u8]) {
        let message = match decode_datagram(bytes) {
            Ok(message) => message,
            Err(e) => {
                if cx.may_log_failure() {
                    log::warn!(peer = from.to_string().as_str(), error = e.to_string().as_str(); "invalid peer report");
                }
                return;
            }
        };

        let now = cx.now();
        let answer = cx.router.borrow_mut().on_peer_message(now, from, message);
        cx.check_registry_if_told(now);
        if let Some(OutgoingMessage { to, message }) = answer
            && let Some(bytes) = encode(&message)
        {
            self.send(to, &bytes);
        }
    }
}

/// Logs a change of this router's part in the exchange.
fn log_role(cx: &Shared, last: &mut ExchangeRole) {
    let router = cx.router.borrow();
    let role = router.exchange().role();
    if role != *last {
        log::info!(role = role.as_str(), before = last.as_str(), routers = router.peers().count(cx.now()); "role in the exchange of reports");
        *last = role;
    }
}

/// Encodes a message as a datagram; logs when it cannot.
fn encode(message: &PeerMessage) -> Option<Vec<u8>> {
    match encode_datagram(message) {
        Ok(bytes) => Some(bytes),
        Err(e) => {
            log::error!(error = e.to_string().as_str(); "failed to encode report");
            None
        }
    }
}

/// Encodes a message as a datagram.
///
/// # Errors
///
/// Returns an error when the message cannot be encoded.
pub fn encode_datagram(message: &PeerMessage) -> Result<Vec<u8>, DatagramError> {
    let bytes = postcard::to_extend(message, FORMAT.to_vec())?;
    let extension = message.extension();
    let bytes = postcard::to_extend(&extension, bytes)?;
    let bytes = postcard::to_extend(&message.news.requests, bytes)?;
    let bytes = postcard::to_extend(&message.news.loads, bytes)?;
    let bytes = postcard::to_extend(&message.work_values(), bytes)?;
    if extension.rollouts.is_empty() {
        return Ok(bytes);
    }
    Ok(postcard::to_extend(&extension.rollouts, bytes)?)
}

/// Decodes a datagram of another router.
///
/// # Errors
///
/// Returns an error when the datagram has another format or is malformed.
pub fn decode_datagram(bytes: &[u8]) -> Result<PeerMessage, DatagramError> {
    let encoded = bytes.strip_prefix(&FORMAT).ok_or(DatagramError::UnknownFormat)?;
    let (mut message, rest) = postcard::take_from_bytes::<PeerMessage>(encoded)?;
    // Builds that know nothing of the extension, or of its later parts, end the datagram before.
    if !rest.is_empty() {
        let (mut extension, rest) = postcard::take_from_bytes::<MessageExtension>(rest)?;
        let (requests, rest) = take_list(rest)?;
        let (loads, rest) = take_list(rest)?;
        let (work, rest) = take_list(rest)?;
        (extension.rollouts, _) = take_list(rest)?;
        message.apply_extension(extension);
        message.news.requests = requests;
        message.news.loads = loads;
        message.apply_work_values(work);
    }

    Ok(message)
}

/// Reads a list that may be missing at the end of a datagram. Returns it with the bytes after it.
fn take_list<'a, T: Deserialize<'a>>(
    bytes: &'a [u8],
) -> Result<(Vec<T>, &'a [u8]), postcard::Error> {
    if bytes.is_empty() {
        return Ok((Vec::new(), bytes));
    }
    postcard::take_from_bytes(bytes)
}
