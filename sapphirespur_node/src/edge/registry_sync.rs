//! Synchronisation of the router's state with the platform's registry.

use std::rc::Rc;
use std::time::Duration;

use sapphirespur_core::edge::{
    BootstrapEntry, RegistryChange, RegistryChanges, RegistryEntry, RegistryOutage,
    RegistryVersion, RelayView, RevisedChange, Router,
};
use sapphirespur_core::name::Name;
use sapphirespur_core::time::{Time, exponential_delay};

use super::listed_names::ListedNames;
use super::registry::{Registry, RegistryError, RegistryListing};
use super::rollout_log;
use super::shared::Shared;
use super::told_changes::ToldChanges;

/// Longest wait of one watch; an unresponsive connection is detected soon after.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Longest time between two calls of a router that a relay tells of changes; the registry keeps its
/// history for longer.
const TOLD_INTERVAL: Duration = Duration::from_secs(8);

/// First and longest delay of the exponential backoff after failed calls.
const RETRY_DELAY_RANGE: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(500));

/// Interval between checks whether the relay still answers.
const RELAY_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// State of the loop that applies the registry's entries and changes to the router.
struct RegistrySync {
    cx: Rc<Shared>,
    /// When the registry was last asked.
    asked_at: Time,
    /// Failed calls since the last successful one.
    failures: u32,
    /// Outages of the registry.
    outage: RegistryOutage,
    /// Newest version of another router for which the registry was asked, or the relay.
    checked: RegistryVersion,
    /// Changes by way of the relay.
    told: ToldChanges,
}

/// Keeps the router's state up to date until the process exits.
pub(super) async fn run(cx: Rc<Shared>, mut registry: impl Registry) {
    let mut sync = RegistrySync {
        asked_at: cx.now(),
        cx,
        failures: 0,
        outage: RegistryOutage::default(),
        checked: RegistryVersion::default(),
        told: ToldChanges::default(),
    };
    loop {
        sync.wait_until_told().await;
        let delay = match sync.read_at_relay().await {
            Some(delay) => delay,
            None => {
                let result = sync.poll(&mut registry).await;
                sync.on_result(result)
            }
        };
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }
}

impl RegistrySync {
    /// Waits for as long as a relay tells this router of changes and there are none, but not so long
    /// that the registry forgets the revision.
    async fn wait_until_told(&mut self) {
        loop {
            let now = self.cx.now();
            let view = self.relay_view(now);
            self.outage.on_relay(view);
            let is_listing = self.cx.watch_version.get().is_none();
            let is_unverified = self.cx.unverified_since.get().is_some();
            if is_listing || is_unverified || self.is_call_due(now) {
                return;
            }
            if view != RelayView::Answers || self.newest_unchecked(now).is_some() {
                return;
            }
            let check = self.cx.registry_check.notified();
            // A relay that falls silent is noticed after this time.
            let _ = tokio::time::timeout(RELAY_CHECK_INTERVAL, check).await;
        }
    }

    /// Returns what the relay says of the registry.
    fn relay_view(&self, now: Time) -> RelayView {
        self.cx.router.borrow().exchange().relay_view(now)
    }

    /// Returns the version of a change that another router has seen and for which the registry was
    /// not asked here.
    fn newest_unchecked(&self, now: Time) -> Option<RegistryVersion> {
        let router = self.cx.router.borrow();
        let known = router.registry().version().max(self.checked);
        router.peers().newest_version(now).filter(|newest| *newest > known)
    }

    /// Lists the registry or watches for its next changes, and applies them. Returns the delay
    /// before the next call.
    async fn poll(&mut self, registry: &mut impl Registry) -> Result<Duration, RegistryError> {
        let started = self.cx.now();
        self.asked_at = started;
        let unverified_since = self.cx.unverified_since.get();
        let newest = self.newest_unchecked(started);
        let mut has_changes = true;
        match self.cx.watch_version.get() {
            None => {
                let listing = registry.list().await?;
                self.on_contact();
                self.apply_listing(listing);
            }
            Some(version) => {
                let is_told = self.cx.router.borrow().exchange().is_told_of_changes(started);
                let is_short = is_told || unverified_since.is_some();
                let max_wait = if is_short { Duration::ZERO } else { WATCH_TIMEOUT };
                let changes = tokio::select! {
                    changes = registry.watch(version, max_wait) => changes?,
                    () = self.cx.registry_check.notified(), if !is_short => {
                        return Ok(Duration::ZERO);
                    }
                };
                self.on_contact();
                has_changes = !changes.changes.is_empty();
                self.apply_changes(changes);
            }
        }
        self.checked = self.checked.max(newest.unwrap_or_default());
        if unverified_since.is_some() && self.cx.unverified_since.get() == unverified_since {
            self.cx.unverified_since.set(None);
            self.cx.router.borrow_mut().on_registry_current();
        }

        Ok(self.pause(started, has_changes))
    }

    /// Reads the changes of which the relay has told this router there, and applies them. Returns the
    /// delay before the next call; none when the registry is to be asked.
    async fn read_at_relay(&mut self) -> Option<Duration> {
        let started = self.cx.now();
        let is_told = self.cx.router.borrow().exchange().is_told_of_changes(started);
        // A router that is late would wait for the relay in vain, and lose the time for the registry.
        let is_late = self.cx.overload.borrow().is_refusing();
        let is_in_doubt =
            is_late || self.cx.unverified_since.get().is_some() || self.outage.is_suspected();
        if !is_told || is_in_doubt || self.failures > 0 || self.is_call_due(started) {
            return None;
        }
        let (version, newest) = (self.cx.watch_version.get()?, self.newest_unchecked(started)?);
        let changes = self.told.fetch(&self.cx, version, newest).await?;
        self.checked = self.checked.max(newest);
        self.apply_changes(changes);
        Some(self.pause(started, true))
    }

    /// Returns whether the registry is to be asked although no change is known.
    fn is_call_due(&self, now: Time) -> bool {
        now.since(self.asked_at) >= TOLD_INTERVAL
    }

    /// Returns the delay before the next call: changes often come in series, and a pause collects them
    /// into one call.
    fn pause(&self, started: Time, has_changes: bool) -> Duration {
        let interval = if has_changes { self.cx.settings().watch_interval } else { Duration::ZERO };
        interval.saturating_sub(self.cx.now().since(started))
    }

    /// Records the result of a call and returns the delay before the next one.
    fn on_result(&mut self, result: Result<Duration, RegistryError>) -> Duration {
        self.cx.metrics.record_registry_call(result.is_ok());
        match result {
            Ok(delay) => return delay,
            Err(RegistryError::Compacted) => {
                log::warn!(revision = self.watch_version().revision; "record forgot the revision; it is listed again");
                self.on_contact();
                self.cx.watch_version.set(None);
                return Duration::ZERO;
            }
            Err(RegistryError::Restored) => {
                self.on_contact();
                self.cx.watch_version.set(None);
                return Duration::ZERO;
            }
            Err(e) => {
                if self.failures == 0 {
                    log::warn!(error = e.to_string().as_str(); "record lost");
                }
                self.failures += 1;
                self.outage.on_failure(self.relay_view(self.cx.now()));
                self.cx.set_registry_failing(true);
            }
        }

        exponential_delay(RETRY_DELAY_RANGE, self.failures - 1)
    }

    /// Records that the registry responded, and the end of an outage.
    fn on_contact(&mut self) {
        let now = self.cx.now();
        if self.failures > 0 {
            log::info!(failures = self.failures; "record is back");
        }
        self.failures = 0;
        self.outage.on_contact(now, self.relay_view(now));
        self.cx.set_registry_failing(false);
        self.cx.last_registry_response.set(Some(now));
    }

    /// Returns the version after which the registry is watched; zero when it is to be listed.
    fn watch_version(&self) -> RegistryVersion {
        self.cx.watch_version.get().unwrap_or_default()
    }

    /// Records that the registry was restored if a listing is from a later era: like after an
    /// outage, what the copy lacks is written again soon.
    fn check_restored(&mut self, version: RegistryVersion) {
        let now = self.cx.now();
        let mut router = self.cx.router.borrow_mut();
        let known = router.registry().version();
        if router.registry().is_restored_at(version) {
            log::warn!(
                era = version.era,
                revision = version.revision,
                known_era = known.era,
                known_revision = known.revision;
                "record restored from an older copy"
            );
            router.registry_mut().on_restored(now);
            self.outage.on_restored(now);
        }
    }

    /// Applies a listing; upstreams that it lacks are scheduled for removal.
    fn apply_listing(&mut self, listing: RegistryListing) {
        self.check_restored(listing.version);
        self.cx.metrics.record_listing_gaps(listing.skipped.len());
        self.cx.change_log.borrow_mut().restart(listing.version);
        let now = self.cx.now();
        let remove_at = self.outage.removal_time(now);
        let mut router = self.cx.router.borrow_mut();
        let mut listed = ListedNames::default();
        // The configuration comes first: its services define what the entries of upstreams mean.
        let (configs, others): (Vec<RegistryEntry>, Vec<RegistryEntry>) = listing
            .entries
            .into_iter()
            .partition(|entry| matches!(entry, RegistryEntry::Config(_)));
        for entry in configs.into_iter().chain(others) {
            listed.add(&entry);
            // Data centres are marked together, since those that are not listed are back.
            if !matches!(entry, RegistryEntry::DataCentreOut(_)) {
                apply_entry(&self.cx, &mut router, now, entry);
            }
        }
        listed.add_skipped(&router, &listing.skipped);
        let known_out = router.registry().upstreams().data_centres_out();
        listed.data_centres_out.difference(known_out).for_each(log_data_centre_out);
        router.registry_mut().set_data_centres_out(now, &listed.data_centres_out);
        router.registry_mut().remove_unlisted_at(&listed.upstreams, remove_at);
        if !listed.has_bootstrap && listing.skipped.is_empty() {
            router.set_bootstrap_entry(now, BootstrapEntry::default());
        }
        router.rollouts_mut().on_listed(now, &listed.orders, &listed.records);
        log::info!(
            era = listing.version.era,
            revision = listing.version.revision,
            upstreams = listed.upstreams.len(),
            data_centres_out = listed.data_centres_out.len(),
            gaps = listing.skipped.len(),
            version = router.registry().table().map_or(0, |table| table.version);
            "record listed"
        );
        // A listing shows removals without their revisions, so all of it counts as a change.
        router.registry_mut().set_version(listing.version);
        drop(router);
        self.cx.watch_version.set(Some(listing.version));
        self.cx.check_record_era(listing.version.era);
        self.cx.bases_due.notify_one();
    }

    /// Applies changes in their order.
    fn apply_changes(&mut self, changes: RegistryChanges) {
        let now = self.cx.now();
        let remove_at = self.outage.removal_time(now);
        self.cx.change_log.borrow_mut().append(now, &changes);
        let mut router = self.cx.router.borrow_mut();
        for RevisedChange { revision, change } in changes.changes {
            match change {
                RegistryChange::Written(entry) => apply_entry(&self.cx, &mut router, now, entry),
                RegistryChange::UpstreamRemoved(id) => {
                    log::info!(upstream = id.as_str(), in_ms = remove_at.since(now).as_millis() as u64, revision = changes.version.revision; "upstream gone");
                    router.registry_mut().remove_upstream_at(id.as_str(), remove_at);
                }
                RegistryChange::DataCentreRestored(data_centre) => {
                    log::info!(data_centre = data_centre.as_str(); "data centre back");
                    router.registry_mut().mark_data_centre_back(now, data_centre.as_str());
                }
                RegistryChange::RolloutOrderRemoved(service) => {
                    rollout_log::log_order_removed(&service, revision);
                    router.rollouts_mut().remove_order(now, &service);
                }
            }
        }
        let known = router.registry().version();
        router.registry_mut().set_version(known.max(changes.changed));
        drop(router);
        self.cx.bases_due.notify_one();
        self.cx.watch_version.set(Some(changes.version));
    }
}

/// Logs that a data centre was taken out of service.
fn log_data_centre_out(data_centre: &Name) {
    log::info!(data_centre = data_centre.as_str(); "data centre out");
}

/// Applies one written entry to the router's state.
fn apply_entry(cx: &Shared, router: &mut Router, now: Time, entry: RegistryEntry) {
    match entry {
        RegistryEntry::Config(table) => {
            let (version, routes) = (table.version, table.route_count());
            if router.registry_mut().apply_table(table) {
                log::info!(version = version, routes = routes; "configuration in force");
            }
        }
        RegistryEntry::Upstream(upstream) => {
            let id = upstream.id.clone();
            let state = format!("{:?}", upstream.state);
            let cold_ms = upstream.cold.as_millis() as u64;
            let (version, started_ms) = (upstream.version.clone(), upstream.started_ms);
            let is_new = router.registry_mut().apply_upstream(now, upstream);
            log::info!(upstream = id.as_str(), version = version.as_str(), started_ms = started_ms, state = state.as_str(), cold_ms = cold_ms, is_new = is_new; "upstream entry");
        }
        RegistryEntry::DataCentreOut(data_centre) => {
            log_data_centre_out(&data_centre);
            router.registry_mut().mark_data_centre_out(data_centre);
        }
        RegistryEntry::RolloutOrder(order) => {
            rollout_log::log_order(&order);
            router.rollouts_mut().apply_order(now, order);
        }
        RegistryEntry::RolloutRecord { record, revision } => {
            router.rollouts_mut().apply_record(now, record, revision);
        }
        RegistryEntry::Bootstrap(entry) => {
            let address = entry.contact.map(|contact| contact.address.to_string());
            log::info!(
                address = address.unwrap_or_default().as_str(),
                revision = entry.revision;
                "router named in the record"
            );
            router.set_bootstrap_entry(now, entry);
        }
        RegistryEntry::Invalid { key, reason } => {
            cx.metrics.record_ignored_entry();
            if cx.may_log_entry() {
                log::warn!(key = key.as_str(), reason = reason.as_str(); "entry of the record ignored");
            }
        }
    }
}
