//! Control thread of a router: runs the state machine and carries out its outputs.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use sapphirespur_core::collections::HashMap;
use sapphirespur_core::event::{Event, EventListener};
use sapphirespur_core::hash::stable_hash;
use sapphirespur_core::name::Name;
use sapphirespur_core::request::{Refusal, RequestId};
use sapphirespur_core::router::{AttemptEvent, Router, RouterInput, RouterOutput};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio_util::sync::CancellationToken;

use crate::clock::{Clock, wall_us};
use crate::daemon::Shutdown;
use crate::link::{LinkEvent, Links};
use crate::logging;
use crate::metrics::Metrics;
use crate::platform::{ConfigStore, Store, VmList};
use crate::router::command::{Command, Reply};
use crate::router::platform_sync::{ConfigWatch, load_initial_config, poll_vm_list};
use crate::router::traffic_handler::{SharedState, TrafficHandler};
use crate::router::{admin, attempt};
use crate::settings::RouterSettings;
use crate::start::{
    StartError, bound_address, listen_control, listen_traffic, log_addresses, parse_peer_address,
};

/// Time between the end of the drain and process exit, in which the last answers are written out.
const EXIT_DELAY: Duration = Duration::from_millis(200);

/// State of the control thread.
struct ControlLoop {
    clock: Clock,
    router: Router,
    links: Links,
    metrics: Rc<Metrics>,
    /// Metrics of events; separate because `EventListener` needs a mutable reference.
    event_metrics: Metrics,
    /// Channels to the tasks of the requests that have not ended.
    replies: HashMap<RequestId, UnboundedSender<Reply>>,
    ready: Arc<AtomicBool>,
    store: Store,
    watch: ConfigWatch,
    /// Channel on which background tasks send inputs to this thread.
    inputs: UnboundedSender<RouterInput>,
    drained: bool,
    /// Cancelled when requests that are left get their final answer, since the process exits.
    answers_due: CancellationToken,
}

/// Runs a router until it has been asked to shut down and has drained, or the drain timed out.
///
/// # Errors
///
/// Returns an error when logging, metrics, signal handlers or a listener cannot start.
pub async fn run(settings: RouterSettings) -> Result<(), StartError> {
    let shutdown = Shutdown::new(settings.limits.drain_timeout)?;
    logging::start(&settings.log, settings.node.name.as_str())?;
    let node = settings.node.name.as_str().to_owned();
    let metrics = Rc::new(Metrics::start(&settings.metrics, &node)?);
    let event_metrics = Metrics::start(&settings.metrics, &node)?;

    let clock = Clock::start();
    let incarnation = stable_hash(&[node.as_bytes(), &wall_us().to_le_bytes()]);
    let (commands_tx, commands) = mpsc::unbounded_channel();
    let (inputs_tx, inputs) = mpsc::unbounded_channel();
    let (links_tx, link_events) = mpsc::unbounded_channel();
    let links = Links::new(settings.node.name.clone(), links_tx);
    let control = listen_control(settings.listen.control).await?;
    let control_address = bound_address(settings.listen.control, control.local_addr());
    links.accept(control);

    let answers_due = CancellationToken::new();
    let shared = SharedState {
        commands: commands_tx.clone(),
        clock,
        answers_due: answers_due.clone(),
        ready: Arc::new(AtomicBool::new(false)),
        next_id: Arc::new(AtomicU64::new(0)),
        incarnation,
        max_body_bytes: settings.limits.max_body_bytes,
    };
    let ready = shared.ready.clone();
    start_servers(&settings, control_address, shared, commands_tx)?;

    let store = Store::new(&settings.platform.store_url, Some(metrics.clone()));
    actix_rt::spawn(poll_vm_list(VmList::new(&settings.platform.vm_list_url), inputs_tx.clone()));
    actix_rt::spawn(load_initial_config(ConfigStore::new(store.clone()), inputs_tx.clone()));

    let router = Router::new(
        clock.now(),
        settings.node.name.clone(),
        settings.node.data_centre.clone(),
        incarnation,
        settings.limits.policy,
    );
    log::info!("the router starts");
    let control = ControlLoop {
        clock,
        router,
        links,
        metrics,
        event_metrics,
        replies: HashMap::default(),
        ready,
        store,
        watch: ConfigWatch::default(),
        inputs: inputs_tx,
        drained: false,
        answers_due,
    };
    control.run(commands, inputs, link_events, shutdown).await;
    log::info!("the router stops");
    Ok(())
}

fn start_servers(
    settings: &RouterSettings,
    control_address: SocketAddr,
    shared: SharedState,
    commands: UnboundedSender<Command>,
) -> Result<(), StartError> {
    let listen_error = |address| move |source| StartError::Listen { address, source };
    let (http_address, admin_address) = (settings.listen.http, settings.listen.admin);
    let (http_listener, admin_listener) =
        (listen_traffic(http_address)?, listen_traffic(admin_address)?);
    log_addresses(
        bound_address(http_address, http_listener.local_addr()),
        control_address,
        bound_address(admin_address, admin_listener.local_addr()),
    );

    let make_handler = move || {
        let traffic = TrafficHandler::new(shared.clone(), attempt::new_client());
        move |req| traffic.clone().handle(req)
    };
    crate::http::start_server("callers", http_listener, settings.listen.workers, make_handler)
        .map_err(listen_error(http_address))?;
    let make_handler = move || {
        let commands = commands.clone();
        move |req| admin::handle(commands.clone(), req)
    };
    crate::http::start_server("operators", admin_listener, 1, make_handler)
        .map_err(listen_error(admin_address))?;
    Ok(())
}

impl ControlLoop {
    async fn run(
        mut self,
        mut commands: UnboundedReceiver<Command>,
        mut inputs: UnboundedReceiver<RouterInput>,
        mut link_events: UnboundedReceiver<LinkEvent>,
        mut shutdown: Shutdown,
    ) {
        while !self.drained {
            let deadline = self.router.next_deadline().unwrap_or_else(|| self.clock.now());
            let wake = self.clock.instant_at(deadline).into();
            if shutdown.is_past_deadline() {
                log::warn!(requests = self.replies.len(); "drain timed out; remaining requests get their final answer");
                break;
            }
            tokio::select! {
                Some(command) = commands.recv() => self.on_command(command),
                Some(input) = inputs.recv() => self.handle(input),
                Some(event) = link_events.recv() => self.handle(link_input(event)),
                () = tokio::time::sleep_until(wake) => self.handle(RouterInput::Tick),
                () = shutdown.requested() => self.drain(),
            }
        }

        self.answers_due.cancel();
        // Lets the last answers be written out before the process exits.
        tokio::time::sleep(EXIT_DELAY).await;
    }

    fn drain(&mut self) {
        log::info!("the router drains");
        self.handle(RouterInput::Drain);
    }

    fn on_command(&mut self, command: Command) {
        match command {
            Command::Request { id, head, reply } => {
                self.replies.insert(id, reply);
                self.handle(RouterInput::Request { id, head });
            }
            Command::Attempt { id, attempt, event } => {
                let is_finished = event == AttemptEvent::Finished;
                self.handle(RouterInput::Attempt { id, attempt, event });
                if is_finished {
                    self.replies.remove(&id);
                }
            }
            Command::Cancelled { id } => {
                self.replies.remove(&id);
                self.handle(RouterInput::Cancelled { id });
            }
            // Replies fail only when the requester has disconnected.
            Command::Status { reply } => {
                let _ = reply.send(self.router.status(self.clock.now()));
            }
            Command::Models { key_digest, reply } => {
                let _ = reply.send(self.models(key_digest.as_deref()));
            }
        }
    }

    fn models(&self, key_digest: Option<&str>) -> Option<Vec<String>> {
        let is_valid = key_digest.is_some_and(|digest| self.router.has_key(digest));

        is_valid.then(|| self.router.config().models.keys().map(Name::to_string).collect())
    }

    fn handle(&mut self, input: RouterInput) {
        let mut out = Vec::new();
        self.router.handle(self.clock.now(), input, &mut out);
        for output in out {
            self.perform(output);
        }

        self.ready.store(self.router.is_ready(), Ordering::Relaxed);
    }

    fn perform(&mut self, output: RouterOutput) {
        match output {
            RouterOutput::Send { to, message } => {
                self.metrics.on_message_sent(&message);
                self.links.send(&to, &message);
            }
            RouterOutput::Connect { peer, address } => match parse_peer_address(address.as_str()) {
                Ok(address) => self.links.connect(&peer, address),
                Err(e) => log::error!(peer = peer.as_str(); "invalid control address: {e}"),
            },
            RouterOutput::Disconnect { peer } => self.links.disconnect(&peer),
            RouterOutput::Reconnect { peer } => self.links.reconnect(&peer),
            RouterOutput::Dispatch(dispatch) => {
                self.send_reply(dispatch.id, Reply::Dispatch(dispatch.clone()));
            }
            RouterOutput::Refuse { id, refusal } => self.refuse(id, refusal),
            RouterOutput::SetWatching(on) => self.watch.set(on, &self.store, &self.inputs),
            RouterOutput::Event(event) => {
                log_event(&event);
                self.event_metrics.on_event(&event);
            }
            RouterOutput::Drained => self.drained = true,
        }
    }

    fn refuse(&mut self, id: RequestId, refusal: Refusal) {
        self.send_reply(id, Reply::Refuse(refusal));
        self.replies.remove(&id);
    }

    fn send_reply(&self, id: RequestId, reply: Reply) {
        if let Some(replies) = self.replies.get(&id) {
            // Fails only when the caller disconnected, which `Command::Cancelled` reports.
            let _ = replies.send(reply);
        }
    }
}

fn link_input(event: LinkEvent) -> RouterInput {
    match event {
        LinkEvent::Up { peer } => RouterInput::LinkUp { peer },
        LinkEvent::Down { peer } => RouterInput::LinkDown { peer },
        LinkEvent::Message { from, message } => RouterInput::Message { from, message },
    }
}

fn log_event(event: &Event) {
    match event {
        Event::ConfigApplied { revision } => {
            log::info!(revision = *revision; "configuration in force");
        }
        Event::ConfigRejected { from } => {
            log::error!(peer = from.as_str(); "configuration from a peer rejected");
        }
        Event::Refused { request, code } => {
            log::debug!(request = request.0, code = code.as_str(); "request refused");
        }
        Event::Retried { request } => {
            log::info!(request = request.0; "request retried");
        }
        Event::PhaseChanged { .. }
        | Event::Dispatched { .. }
        | Event::Completed { .. }
        | Event::FirstToken { .. }
        | Event::Served { .. } => {}
    }
}
