//! Tasks of a router that ask the platform.

use std::time::Duration;

use futures::StreamExt;
use sapphirespur_core::router::RouterInput;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinHandle;

use crate::platform::{ConfigStore, ROOT_KEY, Store, VmList};

/// Time between two looks at the VM list.
const VM_LIST_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Pause before a failed call is made again.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Longest time between two looks at the configuration while watching, should a watch go silent.
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);

/// Follows the VM list.
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
            Err(e) => log::warn!("the VM list cannot be read: {e}"),
        }
        tokio::time::sleep(VM_LIST_POLL_INTERVAL).await;
    }
}

/// Reads the configuration once, as soon as the platform answers.
pub(super) async fn load_initial_config(store: ConfigStore, inputs: UnboundedSender<RouterInput>) {
    while !load_config(&store, &inputs).await {
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Follows the configuration by a watch and by a regular look at its revision.
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

/// Reads the configuration when its revision is above `known`, and tells whether that worked.
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
            log::warn!("the configuration's revision cannot be read: {e}");
            false
        }
    }
}

async fn load_config(store: &ConfigStore, inputs: &UnboundedSender<RouterInput>) -> bool {
    match store.load().await {
        Ok(stored) => {
            if stored.config.revision > 0 {
                // The control thread ends only with the process.
                let _ = inputs.send(RouterInput::ConfigUpdated(stored.config));
            }
            true
        }
        Err(e) => {
            log::warn!("the configuration cannot be read: {e}");
            false
        }
    }
}

/// Watch of the configuration, on while this router is one of the watchers.
#[derive(Default)]
pub(super) struct ConfigWatch {
    task: Option<JoinHandle<()>>,
}

impl ConfigWatch {
    /// Starts or stops watching.
    pub fn set(&mut self, on: bool, store: &Store, inputs: &UnboundedSender<RouterInput>) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
        if on {
            self.task = Some(actix_rt::spawn(watch_config(store.clone(), inputs.clone())));
        }
    }
}
