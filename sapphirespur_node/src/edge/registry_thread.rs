//! Client of the registry on a thread of its own.

use std::thread;
use std::time::Duration;

use sapphirespur_core::edge::{RegistryChanges, RegistryVersion};
use tokio::sync::{mpsc, oneshot};

use super::registry::{Registry, RegistryError, RegistryListing};
use crate::start::StartError;

/// Call to the registry, with the channel of its result.
#[derive(Debug)]
enum RegistryCall {
    /// Reads all entries.
    List(oneshot::Sender<Result<RegistryListing, RegistryError>>),
    /// Waits for changes after a version, at most for a time.
    Watch(RegistryVersion, Duration, oneshot::Sender<Result<RegistryChanges, RegistryError>>),
}

/// Registry whose calls are made on a thread of its own.
///
/// A call passes through the queue of tasks several times. With hundreds of connections in a flood, each
/// pass takes a few hundred milliseconds, so that calls on the thread of the traffic time out, and the
/// router misses changes for seconds.
#[derive(Debug)]
pub struct RegistryThread {
    calls: mpsc::UnboundedSender<RegistryCall>,
}

impl RegistryThread {
    /// Starts the thread; `open` opens the client there.
    ///
    /// # Errors
    ///
    /// Returns an error when the thread or its runtime cannot be started.
    pub fn start<R: Registry>(
        open: impl FnOnce() -> R + Send + 'static,
    ) -> Result<Self, StartError> {
        let (calls, received) = mpsc::unbounded_channel();
        thread::Builder::new().name("registry".to_owned()).spawn(move || {
            match actix_rt::Runtime::new() {
                Ok(runtime) => runtime.block_on(serve(open(), received)),
                Err(e) => {
                    log::error!(error = e.to_string().as_str(); "registry thread not started")
                }
            }
        })?;
        Ok(Self { calls })
    }

    /// Makes a call and waits for its result.
    async fn call<T>(
        &self,
        call: impl FnOnce(oneshot::Sender<Result<T, RegistryError>>) -> RegistryCall,
    ) -> Result<T, RegistryError> {
        let (tx, rx) = oneshot::channel();
        let ended = || RegistryError::Unreachable("the registry thread has ended".to_owned());
        self.calls.send(call(tx)).map_err(|_| ended())?;
        rx.await.unwrap_or_else(|_| Err(ended()))
    }
}

impl Registry for RegistryThread {
    async fn list(&mut self) -> Result<RegistryListing, RegistryError> {
        self.call(RegistryCall::List).await
    }

    async fn watch(
        &mut self,
        after: RegistryVersion,
        max_wait: Duration,
    ) -> Result<RegistryChanges, RegistryError> {
        self.call(|tx| RegistryCall::Watch(after, max_wait, tx)).await
    }
}

/// Makes calls until the other side of the channel is dropped.
async fn serve(mut registry: impl Registry, mut calls: mpsc::UnboundedReceiver<RegistryCall>) {
    while let Some(call) = calls.recv().await {
        match call {
            RegistryCall::List(tx) => respond(tx, registry.list()).await,
            RegistryCall::Watch(after, max_wait, tx) => {
                respond(tx, registry.watch(after, max_wait)).await;
            }
        }
    }
}

/// Sends the result of a call; gives the call up when nobody waits for it any more.
async fn respond<T>(mut tx: oneshot::Sender<T>, call: impl Future<Output = T>) {
    tokio::select! {
        result = call => {
            // Nobody waits for the result if the send fails.
            let _ = tx.send(result);
        }
        () = tx.closed() => {}
    }
}
