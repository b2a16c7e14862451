//! Tasks that read the VM list and the configuration from the platform.

use std::time::Duration;

use futures::StreamExt;
use sapphirespur_core::router::RouterInput;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinHandle;

use crate::platform::{ConfigStore, ROOT_KEY, Store, VmList};

/// Time between two reads of the VM list.
const VM_LIST_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Delay before a failed call is retried and before an ended watch is reopened.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Longest time between two checks of the revision while watching; covers an unresponsive watch.
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);

/// Polls the VM list and sends each changed list to the control thread.
pub(super) async fn poll_vm_list(list: VmList, inputs: UnboundedSender<RouterInput>) {
    let mut last = None;
    loop {
        match list.get().await {
            Ok(vms) if last.as_ref() != Some(&vms) => {
                last = Some(vms.clone());
                if inputs.send(RouterInput::MembersUpdated(vms)).is_err() {
                    return;
                }
            }
            Ok(_) => {}
            Err(e) => log::warn!("failed to read the VM list: {e}"),
        }
        tokio::time::sleep(VM_LIST_POLL_INTERVAL).await;
    }
}

/// Loads the configuration once, with retries until the platform answers.
pub(super) async fn load_initial_config(store: ConfigStore, inputs: UnboundedSender<RouterInput>) {
    while !load_config(&store, &inputs).await {
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Loads each new configuration, on notifications of a watch and on regular checks of the revision.
pub(super) async fn watch_config(store: Store, inputs: UnboundedSender<RouterInput>) {
    let config_store = ConfigStore::new(store.clone());
    loop {
        let changes = store.watch(ROOT_KEY).await;
        let mut last_revision = 0;
        load_if_newer(&config_store, &inputs, &mut last_revision).await;
        let Ok(mut changes) = changes else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };

        loop {
            let change = tokio::time::timeout(REFRESH_INTERVAL, changes.next()).await;
            if matches!(change, Ok(None | Some(Err(_)))) {
                break;
            }
            if !load_if_newer(&config_store, &inputs, &mut last_revision).await {
                break;
            }
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Loads the configuration when its revision is above `last_revision`; returns whether the calls
/// succeeded.
async fn load_if_newer(
    store: &ConfigStore,
    inputs: &UnboundedSender<RouterInput>,
    last_revision: &mut u64,
) -> bool {
    match store.load_revision().await {
        Ok(revision) if revision > *last_revision => {
            *last_revision = revision;
            load_config(store, inputs).await
        }
        Ok(_) => true,
        Err(e) => {
            log::warn!("failed to read the configuration's revision: {e}");
            false
        }
    }
}

/// Loads the configuration and sends it to the control thread; returns whether the call succeeded.
async fn load_config(store: &ConfigStore, inputs: &UnboundedSender<RouterInput>) -> bool {
    match store.load().await {
        Ok(stored) => {
            if stored.config.revision > 0 {
                // Fails only when the control thread has stopped, which happens at process exit.
                let _ = inputs.send(RouterInput::ConfigUpdated(stored.config));
            }
            true
        }
        Err(e) => {
            log::warn!("failed to load the configuration: {e}");
            false
        }
    }
}

/// Watch of the configuration, which runs while this router is one of the watchers.
#[derive(Default)]
pub(super) struct ConfigWatch {
    task: Option<JoinHandle<()>>,
}

impl ConfigWatch {
    /// Starts or stops the watch; restarts it when it is already running.
    pub fn set(&mut self, on: bool, store: &Store, inputs: &UnboundedSender<RouterInput>) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
        if on {
            self.task = Some(actix_rt::spawn(watch_config(store.clone(), inputs.clone())));
        }
    }
}
