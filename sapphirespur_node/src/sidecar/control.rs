//! Control thread of a sidecar: runs the state machine and carries out its outputs.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sapphirespur_core::at_most_once::{LedgerBatch, LedgerError};
use sapphirespur_core::collections::HashMap;
use sapphirespur_core::event::{Event, EventListener};
use sapphirespur_core::limiter::Phase;
use sapphirespur_core::request::AttemptId;
use sapphirespur_core::sidecar::{
    AttemptStatus, Sidecar, SidecarInput, SidecarOutput, SidecarPolicy, UpstreamEvent,
};
use serde::Deserialize;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;

use crate::clock::{Clock, wall_s, wall_us};
use crate::daemon::Shutdown;
use crate::link::{LinkEvent, Links};
use crate::logging;
use crate::metrics::Metrics;
use crate::platform::{LedgerStore, Store};
use crate::settings::{SidecarSettings, UpstreamSettings};
use crate::sidecar::answer_registry::AnswerRegistry;
use crate::sidecar::command::{Command, Reply};
use crate::sidecar::traffic_handler::{self, SharedState, TrafficHandler};
use crate::sidecar::upstream;
use crate::start::{StartError, bound_address, listen_control, listen_traffic, log_addresses};

/// Time between two reads of the upstream's load report; also the timeout of a read.
const LOAD_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two deletions of expired ledger entries.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(6 * 3_600);

/// Time between the end of the drain and process exit, in which the last answers are written out.
const EXIT_DELAY: Duration = Duration::from_millis(200);

/// Fields of an upstream's load report that the sidecar uses.
#[derive(Debug, Deserialize)]
struct LoadReport {
    #[serde(default)]
    cold: bool,
}

/// State of the control thread.
struct ControlLoop {
    clock: Clock,
    sidecar: Sidecar,
    links: Links,
    metrics: Rc<Metrics>,
    /// Metrics of events; separate because `EventListener` needs a mutable reference.
    event_metrics: Metrics,
    /// Channels to the tasks of the attempts that have not ended.
    replies: HashMap<AttemptId, UnboundedSender<Reply>>,
    /// Channels of the status queries that are not answered yet.
    pending_queries: HashMap<AttemptId, Vec<oneshot::Sender<AttemptStatus>>>,
    ledger: LedgerStore,
    /// Whether the task that deletes expired ledger entries runs; the first ledger batch starts it.
    expiry_started: bool,
    /// Channel on which background tasks send inputs to this thread.
    inputs: UnboundedSender<SidecarInput>,
    drained: bool,
}

/// Runs a sidecar until it has been asked to shut down and has drained, or the drain timed out.
///
/// # Errors
///
/// Returns an error when logging, metrics, signal handlers or a listener cannot start.
pub async fn run(settings: SidecarSettings) -> Result<(), StartError> {
    let node = settings.node.name.as_str().to_owned();
    let shutdown = Shutdown::new(settings.limits.drain_timeout)?;
    logging::start(&settings.log, &node)?;
    let metrics = Rc::new(Metrics::start(&settings.metrics, &node)?);
    let event_metrics = Metrics::start(&settings.metrics, &node)?;

    let clock = Clock::start();
    let (commands_tx, commands) = mpsc::unbounded_channel();
    let (inputs_tx, inputs) = mpsc::unbounded_channel();
    let (links_tx, link_events) = mpsc::unbounded_channel();
    let links = Links::new(settings.node.name.clone(), links_tx);
    let control = listen_control(settings.listen.control).await?;
    let control_address = bound_address(settings.listen.control, control.local_addr());
    links.accept(control);
    start_servers(&settings, control_address, commands_tx)?;
    if let Some(path) = &settings.upstream.load_path {
        actix_rt::spawn(poll_load(settings.upstream.clone(), path.clone(), inputs_tx.clone()));
    }

    let store = Store::new(&settings.platform.store_url, Some(metrics.clone()));
    let has_load_reports = settings.upstream.load_path.is_some();
    let policy = SidecarPolicy { has_load_reports, ..settings.limits.policy };
    let sidecar = Sidecar::new(clock.now(), settings.node.name.clone(), wall_us(), policy);
    log::info!("the sidecar starts");
    let control = ControlLoop {
        clock,
        sidecar,
        links,
        metrics,
        event_metrics,
        replies: HashMap::default(),
        pending_queries: HashMap::default(),
        ledger: LedgerStore::new(store),
        expiry_started: false,
        inputs: inputs_tx,
        drained: false,
    };
    control.run(commands, inputs, link_events, shutdown).await;
    log::info!("the sidecar stops");
    Ok(())
}

fn start_servers(
    settings: &SidecarSettings,
    control_address: SocketAddr,
    commands: UnboundedSender<Command>,
) -> Result<(), StartError> {
    let listen_error = |address| move |source| StartError::Listen { address, source };
    let (attempts, admin_address) = (settings.listen.attempts, settings.listen.admin);
    let (attempts_listener, admin_listener) =
        (listen_traffic(attempts)?, listen_traffic(admin_address)?);
    log_addresses(
        bound_address(attempts, attempts_listener.local_addr()),
        control_address,
        bound_address(admin_address, admin_listener.local_addr()),
    );
    let shared = SharedState {
        commands: commands.clone(),
        registry: AnswerRegistry::default(),
        base_url: Arc::from(settings.upstream.url.as_str()),
    };

    let make_handler = move || {
        let traffic = TrafficHandler::new(shared.clone(), upstream::new_client());
        move |req| traffic.clone().handle(req)
    };
    crate::http::start_server("attempts", attempts_listener, settings.listen.workers, make_handler)
        .map_err(listen_error(attempts))?;
    let make_handler = move || {
        let commands = commands.clone();
        move |req| traffic_handler::handle_admin(commands.clone(), req)
    };
    crate::http::start_server("operators", admin_listener, 1, make_handler)
        .map_err(listen_error(admin_address))?;
    Ok(())
}

/// Polls the upstream's load report and sends it to the control thread.
async fn poll_load(
    settings: UpstreamSettings,
    path: String,
    inputs: UnboundedSender<SidecarInput>,
) {
    let client = awc::Client::builder().timeout(LOAD_POLL_INTERVAL).finish();
    let url = format!("{}{path}", settings.url);
    loop {
        tokio::time::sleep(LOAD_POLL_INTERVAL).await;
        let Ok(mut response) = client.get(&url).send().await else { continue };
        let Ok(body) = response.body().await else { continue };

        // A report that cannot be parsed is ignored: it says nothing about the load.
        if let Ok(report) = serde_json::from_slice::<LoadReport>(&body)
            && inputs.send(SidecarInput::Load { cold: report.cold }).is_err()
        {
            return;
        }
    }
}

/// Deletes expired ledger entries at once and then every `EXPIRY_INTERVAL`.
async fn expire_ledger(ledger: LedgerStore) {
    const DAY_S: u64 = 86_400;

    loop {
        if let Err(e) = ledger.delete_expired(wall_s() / DAY_S).await {
            log::warn!("failed to delete expired ledger entries: {e}");
        }
        tokio::time::sleep(EXPIRY_INTERVAL).await;
    }
}

impl ControlLoop {
    async fn run(
        mut self,
        mut commands: UnboundedReceiver<Command>,
        mut inputs: UnboundedReceiver<SidecarInput>,
        mut link_events: UnboundedReceiver<LinkEvent>,
        mut shutdown: Shutdown,
    ) {
        while !self.drained {
            let deadline = self.sidecar.next_deadline().unwrap_or_else(|| self.clock.now());
            let wake = self.clock.instant_at(deadline).into();
            if shutdown.is_past_deadline() {
                log::warn!("drain timed out; remaining attempts are aborted");
                return;
            }
            tokio::select! {
                Some(command) = commands.recv() => self.on_command(command),
                Some(input) = inputs.recv() => self.handle(input),
                Some(event) = link_events.recv() => self.handle(link_input(event)),
                () = tokio::time::sleep_until(wake) => self.handle(SidecarInput::Tick),
                () = shutdown.requested() => self.drain(),
            }
        }

        // Lets the last answers be written out before the process exits.
        tokio::time::sleep(EXIT_DELAY).await;
    }

    fn drain(&mut self) {
        log::info!("the sidecar drains");
        self.handle(SidecarInput::Drain);
    }

    fn on_command(&mut self, command: Command) {
        match command {
            Command::Start { start, reply } => {
                self.replies.insert(start.attempt, reply);
                self.handle(SidecarInput::Start(start));
            }
            Command::Upstream { attempt, event } => {
                let is_finished = matches!(event, UpstreamEvent::Finished { .. });
                self.handle(SidecarInput::Upstream { attempt, event });
                if is_finished {
                    self.replies.remove(&attempt);
                }
            }
            Command::Query { attempt, permit, reply } => {
                self.pending_queries.entry(attempt).or_default().push(reply);
                self.handle(SidecarInput::QueryAttempt { attempt, permit });
            }
            Command::Cancel { attempt } => self.handle(SidecarInput::Cancel { attempt }),
            Command::Status { reply } => {
                // Fails only when the requester has disconnected.
                let _ = reply.send(self.sidecar.status(self.clock.now()));
            }
        }
    }

    fn handle(&mut self, input: SidecarInput) {
        let mut out = Vec::new();
        self.sidecar.handle(self.clock.now(), input, &mut out);
        for output in out {
            self.perform(output);
        }
    }

    fn perform(&mut self, output: SidecarOutput) {
        match output {
            SidecarOutput::Send { to, message } => {
                self.metrics.on_message_sent(&message);
                self.links.send(&to, &message);
            }
            SidecarOutput::Call { attempt } => self.send_reply(attempt, Reply::Call),
            SidecarOutput::Replay { attempt, response } => {
                self.send_final_reply(attempt, Reply::Replay(response));
            }
            SidecarOutput::Refuse { attempt, refusal } => {
                self.send_final_reply(attempt, Reply::Refuse(refusal));
            }
            SidecarOutput::Abort { attempt } => self.send_final_reply(attempt, Reply::Abort),
            SidecarOutput::AttemptStatus { attempt, status } => {
                for reply in self.pending_queries.remove(&attempt).unwrap_or_default() {
                    // Fails only when the router has disconnected; it then queries again.
                    let _ = reply.send(status);
                }
            }
            SidecarOutput::Commit(batch) => self.commit(batch),
            SidecarOutput::Reconnect { peer } => self.links.reconnect(&peer),
            SidecarOutput::Event(event) => {
                log_event(&event);
                self.event_metrics.on_event(&event);
            }
            SidecarOutput::Drained => self.drained = true,
        }
    }

    fn commit(&mut self, batch: LedgerBatch) {
        if !self.expiry_started {
            self.expiry_started = true;
            actix_rt::spawn(expire_ledger(self.ledger.clone()));
        }

        let (ledger, inputs) = (self.ledger.clone(), self.inputs.clone());
        actix_rt::spawn(async move {
            let result = ledger.commit(&batch).await.map_err(|e| {
                log::warn!("outcome of a ledger batch is unknown: {e}");
                LedgerError::OutcomeUnknown
            });
            // Fails only when the control thread has stopped, which happens at process exit.
            let _ = inputs.send(SidecarInput::Ledger { batch: batch.id, result });
        });
    }

    fn send_reply(&self, attempt: AttemptId, reply: Reply) {
        if let Some(replies) = self.replies.get(&attempt) {
            // Fails only when the task of the attempt has ended.
            let _ = replies.send(reply);
        }
    }

    fn send_final_reply(&mut self, attempt: AttemptId, reply: Reply) {
        self.send_reply(attempt, reply);
        self.replies.remove(&attempt);
    }
}

fn link_input(event: LinkEvent) -> SidecarInput {
    match event {
        LinkEvent::Up { peer } => SidecarInput::LinkUp { peer },
        LinkEvent::Down { peer } => SidecarInput::LinkDown { peer },
        LinkEvent::Message { from, message } => SidecarInput::Message { from, message },
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
        Event::PhaseChanged { phase: Phase::Cold } => log::warn!("upstream is cold"),
        Event::PhaseChanged { phase: Phase::Warm } => log::info!("upstream is warm"),
        Event::Refused { .. }
        | Event::Retried { .. }
        | Event::Dispatched { .. }
        | Event::Completed { .. }
        | Event::FirstToken { .. }
        | Event::Served { .. } => {}
    }
}
