//! Calls to the registry while the thread of the traffic is busy.

use std::time::{Duration, Instant};

use futures::FutureExt;
use sapphirespur_core::edge::{RegistryChanges, RegistryVersion};
use sapphirespur_node::edge::registry_thread::RegistryThread;
use sapphirespur_node::edge::{Registry, RegistryError, RegistryListing};

/// Steps of a call, each of which passes through the queue of tasks.
const STEPS: u32 = 8;

/// Time of a step.
const STEP: Duration = Duration::from_millis(10);

/// Registry whose calls take some steps, and whose watches end when their wait is over.
struct SlowRegistry;

impl Registry for SlowRegistry {
    async fn list(&mut self) -> Result<RegistryListing, RegistryError> {
        for _ in 0..STEPS {
            tokio::time::sleep(STEP).await;
        }
        Ok(RegistryListing::default())
    }

    async fn watch(
        &mut self,
        after: RegistryVersion,
        max_wait: Duration,
    ) -> Result<RegistryChanges, RegistryError> {
        tokio::time::sleep(max_wait).await;
        Ok(RegistryChanges { version: after, ..RegistryChanges::default() })
    }
}

/// EVAC: a flooded router lost the store for seconds, since each step of a call waited for a pass of its
/// tasks.
#[test]
fn call_goes_on_while_the_traffic_thread_is_busy() {
    actix_rt::Runtime::new().expect("a runtime").block_on(async {
        let mut registry = RegistryThread::start(|| SlowRegistry).expect("it starts");
        let mut call = Box::pin(registry.list());
        assert!(call.as_mut().now_or_never().is_none());
        // One pass of the tasks that takes longer than all steps of the call.
        std::thread::sleep(STEP * STEPS * 20);
        assert!(call.now_or_never().is_some_and(|listed| listed.is_ok()));
    });
}

/// A watch that is given up must not hold up the next call until its wait is over.
#[test]
fn watch_that_is_given_up_makes_way_for_the_next_call() {
    actix_rt::Runtime::new().expect("a runtime").block_on(async {
        let mut registry = RegistryThread::start(|| SlowRegistry).expect("it starts");
        let wait = Duration::from_secs(60);
        let watch = registry.watch(RegistryVersion::default(), wait);
        assert!(tokio::time::timeout(STEP, watch).await.is_err());
        let started = Instant::now();
        assert!(registry.list().await.is_ok());
        assert!(started.elapsed() < wait / 2);
    });
}
