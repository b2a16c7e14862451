//! Control links of one process.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sapphirespur_core::collections::HashMap;
use sapphirespur_core::message::Message;
use sapphirespur_core::name::Name;
use sapphirespur_wire::control_capnp::control;
use sapphirespur_wire::encode_message;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinHandle;

use crate::link::connection::{self, ServerConnection};
use crate::link::control_server::{ControlServer, PeerEvent};

/// Delay before a closed link is reopened, or before accepting again after an error.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Number of unacknowledged messages to a peer above which its link is closed as broken.
const MAX_OUTSTANDING_MESSAGES: usize = 10_000;

/// Event on a control link.
#[derive(Debug)]
pub enum LinkEvent {
    /// A link was established.
    Up {
        /// Name of the process at the other end.
        peer: Name,
    },
    /// A link was closed.
    Down {
        /// Name of the process at the other end.
        peer: Name,
    },
    /// A message was received.
    Message {
        /// Name of the process that sent it.
        from: Name,
        /// Decoded message.
        message: Message,
    },
}

/// Established control link to a peer.
struct Link {
    /// Number that distinguishes this link from other links to the same peer.
    id: u64,
    /// RPC client that delivers messages to the peer.
    client: control::Client,
    /// Number of messages that the peer has not acknowledged yet.
    outstanding: Rc<RefCell<usize>>,
    /// Task that runs the connection; aborting it closes the connection.
    task: JoinHandle<()>,
}

/// State shared by the tasks of all links.
struct Shared {
    /// Name of this process.
    name: Name,
    /// Channel for the events of all links.
    events: UnboundedSender<LinkEvent>,
    /// Established links by peer.
    links: RefCell<HashMap<Name, Link>>,
    /// Tasks that open and reopen links, by peer.
    dialers: RefCell<HashMap<Name, JoinHandle<()>>>,
    /// Identifier that was assigned last.
    last_id: RefCell<u64>,
}

/// Control links of one process; they all run on its control thread.
#[derive(Clone)]
pub struct Links {
    shared: Rc<Shared>,
}

impl Links {
    /// Creates the links of process `name`, whose events are sent to `events`.
    pub fn new(name: Name, events: UnboundedSender<LinkEvent>) -> Self {
        let shared = Shared {
            name,
            events,
            links: RefCell::default(),
            dialers: RefCell::default(),
            last_id: RefCell::new(0),
        };

        Self { shared: Rc::new(shared) }
    }

    /// Accepts links on `listener` until the process exits.
    pub fn accept(&self, listener: TcpListener) {
        let shared = self.shared.clone();
        actix_rt::spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => accept_link(&shared, stream),
                    Err(e) => {
                        log::warn!("failed to accept a control connection: {e}");
                        tokio::time::sleep(RECONNECT_DELAY).await;
                    }
                }
            }
        });
    }

    /// Opens a link to `peer` and reopens it whenever it closes.
    pub fn connect(&self, peer: &Name, address: SocketAddr) {
        let shared = self.shared.clone();
        let name = peer.clone();
        let dialer = actix_rt::spawn(async move {
            loop {
                dial(&shared, &name, address).await;
                tokio::time::sleep(RECONNECT_DELAY).await;
            }
        });

        if let Some(old) = self.shared.dialers.borrow_mut().insert(peer.clone(), dialer) {
            old.abort();
        }
    }

    /// Closes the link to `peer` and stops reopening it.
    pub fn disconnect(&self, peer: &Name) {
        if let Some(dialer) = self.shared.dialers.borrow_mut().remove(peer) {
            dialer.abort();
        }
        self.reconnect(peer);
    }

    /// Closes the link to `peer`; the process that opened it may reopen it.
    pub fn reconnect(&self, peer: &Name) {
        let link = self.shared.links.borrow_mut().remove(peer);
        if let Some(link) = link {
            link.task.abort();
            self.shared.emit(LinkEvent::Down { peer: peer.clone() });
        }
    }

    /// Sends a message to `peer`; drops it when there is no link.
    ///
    /// Closes the link when too many messages are unacknowledged.
    pub fn send(&self, peer: &Name, message: &Message) {
        let is_broken = {
            let links = self.shared.links.borrow();
            let Some(link) = links.get(peer) else { return };
            link.deliver(message);
            *link.outstanding.borrow() > MAX_OUTSTANDING_MESSAGES
        };

        if is_broken {
            self.reconnect(peer);
        }
    }
}

impl Link {
    fn deliver(&self, message: &Message) {
        let mut request = self.client.deliver_request();
        encode_message(message, request.get().init_message());

        let outstanding = self.outstanding.clone();
        *outstanding.borrow_mut() += 1;
        let promise = request.send().promise;
        actix_rt::spawn(async move {
            // A failure needs no handling: a lost connection closes the link, and a peer drops a
            // message that it cannot decode.
            let _ = promise.await;
            *outstanding.borrow_mut() -= 1;
        });
    }
}

impl Shared {
    fn emit(&self, event: LinkEvent) {
        // The receiver is dropped only when the process exits.
        let _ = self.events.send(event);
    }

    /// Assigns the identifier of a new link.
    fn next_id(&self) -> u64 {
        *self.last_id.borrow_mut() += 1;
        *self.last_id.borrow()
    }

    /// Adds an established link and closes the previous one to the same peer.
    fn add(&self, id: u64, peer: &Name, client: control::Client, task: JoinHandle<()>) {
        let link = Link { id, client, outstanding: Rc::default(), task };
        let old = self.links.borrow_mut().insert(peer.clone(), link);
        if let Some(old) = old {
            old.task.abort();
            self.emit(LinkEvent::Down { peer: peer.clone() });
        }

        self.emit(LinkEvent::Up { peer: peer.clone() });
    }

    /// Removes link `id`, unless another link to the same peer has replaced it.
    fn remove(&self, id: u64, peer: &Name) {
        let is_current = self.links.borrow().get(peer).is_some_and(|link| link.id == id);
        if is_current {
            self.links.borrow_mut().remove(peer);
            self.emit(LinkEvent::Down { peer: peer.clone() });
        }
    }

    fn is_current(&self, id: u64, peer: &Name) -> bool {
        self.links.borrow().get(peer).is_some_and(|link| link.id == id)
    }
}

/// Opens a link to `peer` and runs its client side until it closes.
async fn dial(shared: &Rc<Shared>, peer: &Name, address: SocketAddr) {
    let id = shared.next_id();
    let state = shared.clone();
    let from = peer.clone();
    let control = ControlServer::new_client(shared.name.clone(), move |event| {
        if let PeerEvent::Message(message) = event {
            state.emit(LinkEvent::Message { from: from.clone(), message });
        }
    });

    let attached = match connection::connect(address, &shared.name, control).await {
        Ok(attached) => attached,
        Err(e) => {
            log::debug!(peer = peer.as_str(); "failed to open a control link: {e}");
            return;
        }
    };
    let (closed_tx, closed_rx) = tokio::sync::oneshot::channel::<()>();
    let task = actix_rt::spawn(async move {
        let _closed_tx = closed_tx;
        let _ = AbortOnDrop(attached.task).await;
    });
    shared.add(id, peer, attached.client, task);
    // Nothing is sent: the sender is dropped when the connection closes or its task is aborted.
    let _ = closed_rx.await;
    shared.remove(id, peer);
}

/// Starts the server side of a link; the link is established when the peer attaches.
fn accept_link(shared: &Rc<Shared>, stream: tokio::net::TcpStream) {
    let id = shared.next_id();
    let state = shared.clone();
    let peer_slot: Rc<RefCell<Option<Name>>> = Rc::default();
    let task_slot: Rc<RefCell<Option<JoinHandle<()>>>> = Rc::default();

    let (attached_peer, pending_task) = (peer_slot.clone(), task_slot.clone());
    let control = ControlServer::new_client(shared.name.clone(), move |event| match event {
        PeerEvent::Attached { peer, client } => {
            *attached_peer.borrow_mut() = Some(peer.clone());
            if let Some(task) = pending_task.borrow_mut().take() {
                state.add(id, &peer, client, task);
            }
        }
        PeerEvent::Message(message) => {
            let Some(from) = attached_peer.borrow().clone() else { return };
            if state.is_current(id, &from) {
                state.emit(LinkEvent::Message { from, message });
            }
        }
    });

    let Ok(ServerConnection(rpc)) = connection::serve(stream, control) else { return };
    let shared = shared.clone();
    let task = actix_rt::spawn(async move {
        let guard = RemoveOnDrop { shared, id, peer: peer_slot };
        // The link is closed in the same way whatever ended the connection.
        let _ = rpc.await;
        drop(guard);
    });
    *task_slot.borrow_mut() = Some(task);
}

/// Aborts a task when the task that waits for it ends.
struct AbortOnDrop(JoinHandle<()>);

impl Future for AbortOnDrop {
    type Output = ();

    fn poll(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<()> {
        std::pin::Pin::new(&mut self.0).poll(cx).map(|_| ())
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Removes an accepted link when its connection closes.
struct RemoveOnDrop {
    shared: Rc<Shared>,
    id: u64,
    /// Peer of the link; `None` until it attaches.
    peer: Rc<RefCell<Option<Name>>>,
}

impl Drop for RemoveOnDrop {
    fn drop(&mut self) {
        if let Some(peer) = self.peer.borrow().as_ref() {
            self.shared.remove(self.id, peer);
        }
    }
}
