//! Exchange of reports between routers over UDP.
//!
//! Each report holds absolute values and replaces the one before, so a lost datagram does no harm.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sapphirespur_core::collections::HashMap;
use sapphirespur_core::edge::PeerReport;
use sapphirespur_core::time::Time;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use super::shared::Shared;
use crate::start::StartError;

/// Interval between reports: at this rate, a router sends less than 8 KB per second to three peers.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);

/// Time without a report after which a peer counts as lost; only seeds still receive reports then.
const PEER_TTL: Duration = Duration::from_secs(30);

/// Size of the receive buffer, in bytes; a longer datagram is truncated and fails to decode.
const MAX_DATAGRAM_BYTES: usize = 60 * 1024;

/// Message between routers, encoded with postcard.
#[derive(Debug, Deserialize, Serialize)]
struct Datagram {
    /// Addresses of the routers that the sender currently lists as peers.
    known: Vec<SocketAddr>,
    /// Latest report of the sender.
    report: PeerReport,
}

/// UDP link to the other routers, with the peers seen so far.
#[derive(Debug)]
pub(super) struct PeerLink {
    socket: UdpSocket,
    own_address: SocketAddr,
    /// Addresses that always receive reports, apart from this router's own.
    seeds: Vec<SocketAddr>,
    /// Time of the last report by peer address; an address advertised by another peer starts at the
    /// time of that report.
    last_received: HashMap<SocketAddr, Time>,
}

impl PeerLink {
    /// Binds the link to `own_address`; `seeds` are the addresses of the first peers to contact.
    ///
    /// # Errors
    ///
    /// Returns an error when the socket cannot be bound.
    pub async fn open(own_address: SocketAddr, seeds: &[SocketAddr]) -> Result<Self, StartError> {
        let socket = UdpSocket::bind(own_address)
            .await
            .map_err(|source| StartError::Listen { address: own_address, source })?;

        // All routers receive reports on the same port; a seed names another port of its VM.
        let seeds =
            seeds.iter().map(|seed| SocketAddr::new(seed.ip(), own_address.port())).collect();
        Ok(Self { socket, own_address, seeds, last_received: HashMap::default() })
    }

    /// Sends and receives reports until the process exits.
    pub async fn run(mut self, cx: Rc<Shared>) {
        let mut interval = tokio::time::interval(REPORT_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            tokio::select! {
                _ = interval.tick() => self.send_report(&cx),
                received = self.socket.recv_from(&mut buf) => {
                    match received {
                        Ok((len, from)) => self.on_datagram(&cx, from, &buf[..len]),
                        Err(e) => log::debug!(error = e.to_string().as_str(); "failed to receive peer report"),
                    }
                }
            }
        }
    }

    fn send_report(&mut self, cx: &Shared) {
        let now = cx.now();
        self.last_received.retain(|peer, received| {
            let is_live = now.since(*received) < PEER_TTL;
            if !is_live {
                log::warn!(peer = peer.to_string().as_str(); "peer lost");
            }
            is_live
        });
        let known: Vec<SocketAddr> = self.last_received.keys().copied().collect();
        let mut targets = known.clone();
        for seed in &self.seeds {
            if *seed != self.own_address && !targets.contains(seed) {
                targets.push(*seed);
            }
        }

        let datagram = Datagram { known, report: cx.router.borrow_mut().report(now) };
        let bytes = match postcard::to_stdvec(&datagram) {
            Ok(bytes) => bytes,
            Err(e) => {
                log::error!(error = e.to_string().as_str(); "failed to encode report");
                return;
            }
        };
        for target in targets {
            if let Err(e) = self.socket.try_send_to(&bytes, target) {
                self.on_send_error(target, &e);
            }
        }
    }

    fn on_send_error(&self, target: SocketAddr, e: &io::Error) {
        log::debug!(peer = target.to_string().as_str(), error = e.to_string().as_str(); "failed to send report");
    }

    fn on_datagram(&mut self, cx: &Shared, from: SocketAddr, bytes: &[u8]) {
        let datagram: Datagram = match postcard::from_bytes(bytes) {
            Ok(datagram) => datagram,
            Err(e) => {
                log::warn!(peer = from.to_string().as_str(), error = e.to_string().as_str(); "invalid peer report");
                return;
            }
        };

        let now = cx.now();
        if self.last_received.insert(from, now).is_none() {
            log::info!(peer = from.to_string().as_str(); "peer found");
        }
        for address in datagram.known {
            if address != self.own_address {
                self.last_received.entry(address).or_insert(now);
            }
        }
        cx.peer_addresses.borrow_mut().insert(datagram.report.router, from);
        cx.router.borrow_mut().apply_report(now, datagram.report);
    }
}
