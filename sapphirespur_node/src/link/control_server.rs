//! RPC server object that receives the messages of a peer.

use std::cell::RefCell;
use std::rc::Rc;

use capnp_rpc::new_client_from_rc;
use sapphirespur_core::message::Message;
use sapphirespur_core::name::Name;
use sapphirespur_wire::control_capnp::control;
use sapphirespur_wire::decode_message;

/// Call that a peer made on a link.
pub(super) enum PeerEvent {
    /// The peer attached to the link.
    Attached {
        /// Name of the peer.
        peer: Name,
        /// RPC client that delivers messages to the peer.
        client: control::Client,
    },
    /// The peer delivered a message.
    Message(Message),
}

/// RPC server of one link, which passes the peer's calls to a callback.
pub(super) struct ControlServer {
    /// Name of this process, which is returned to a peer that attaches.
    name: Name,
    on_event: RefCell<Box<dyn FnMut(PeerEvent)>>,
}

impl ControlServer {
    /// Creates a server for process `name` that passes the peer's calls to `on_event`, and returns
    /// its RPC client.
    pub fn new_client(name: Name, on_event: impl FnMut(PeerEvent) + 'static) -> control::Client {
        let server = Self { name, on_event: RefCell::new(Box::new(on_event)) };

        new_client_from_rc(Rc::new(server))
    }

    fn emit(&self, event: PeerEvent) {
        (self.on_event.borrow_mut())(event);
    }
}

impl control::Server for ControlServer {
    async fn attach(
        self: Rc<Self>,
        params: control::AttachParams,
        mut results: control::AttachResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let peer = Name::new(params.get_name()?.to_str()?);
        let client = params.get_peer()?;

        results.get().set_name(self.name.as_str());
        self.emit(PeerEvent::Attached { peer, client });
        Ok(())
    }

    async fn deliver(
        self: Rc<Self>,
        params: control::DeliverParams,
        _results: control::DeliverResults,
    ) -> Result<(), capnp::Error> {
        let message = decode_message(params.get()?.get_message()?)
            .map_err(|e| capnp::Error::failed(e.to_string()))?;

        self.emit(PeerEvent::Message(message));
        Ok(())
    }
}
