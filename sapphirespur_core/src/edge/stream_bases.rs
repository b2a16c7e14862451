//! Base versions of services: where streams without a record began.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::collections::HashMap;
use crate::name::Name;
use crate::time::Time;

/// Version of a service whose streams have no record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BaseVersion {
    /// Name of the service.
    pub service: Name,
    /// Version at which a stream without a record began.
    pub version: Name,
    /// Whether that is certain: streams that began without a record at an earlier base version cannot be
    /// taken up any more. Until then, no stream without a record goes on.
    pub is_settled: bool,
    /// Era of the store since which this holds. After a restore, records may be missing.
    pub era: u64,
}

/// What a router knows of the upstreams of a service.
#[derive(Clone, Debug)]
pub struct ServiceVersions {
    /// Name of the service.
    pub service: Name,
    /// Versions that serve, with the number of their upstreams, most first.
    pub versions: Vec<(Name, usize)>,
    /// Time for which a stream can be taken up after it began.
    pub life: Duration,
}

/// Call to the store that is due.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BaseDuty {
    /// Reads the base version of a service.
    Read(Name),
    /// Writes a base version if the item still has this revision; zero when there must be none.
    Write {
        /// Base version to write.
        base: BaseVersion,
        /// Revision that the item must have.
        expected_revision: u64,
    },
}

/// Base version of one service as last read.
#[derive(Clone, Debug, Default)]
struct Base {
    /// Item with its revision; none when there is none, or before it was read.
    item: Option<(BaseVersion, u64)>,
    /// When it was last read or asked for.
    asked_at: Option<Time>,
    /// Whether it has been read, and nothing happened since that makes it doubtful.
    is_current: bool,
    /// Since when no upstream of the version serves.
    absent_since: Option<Time>,
    /// Since when this router knows that the version is the next base, and not settled.
    unsettled_since: Option<Time>,
    /// Since when this router has seen that the store was restored after the item was written.
    restored_since: Option<Time>,
    /// Since when this router wants to write the item.
    wanted_since: Option<Time>,
}

/// Base versions of all services.
#[derive(Clone, Debug, Default)]
pub struct StreamBases {
    by_service: HashMap<Name, Base>,
}

impl StreamBases {
    /// Interval between reads while it matters which version is the base. Until a router knows the next
    /// one, it records more streams than it has to.
    const READ_INTERVAL: Duration = Duration::from_secs(8);

    /// Interval between reads until one succeeds.
    const RETRY_INTERVAL: Duration = Duration::from_secs(1);

    /// Time for which a base version must have been absent before its streams are given up: upstreams
    /// that have crashed may come back.
    const ABSENCE_TIME: Duration = Duration::from_secs(5);

    /// Time that must pass beyond the life of the last streams of a base version before the next one is
    /// settled: routers hear of changes at different times.
    const SLACK: Duration = Duration::from_secs(3);

    /// Longest time by which routers write after one another, so that one of them is enough.
    const MAX_STAGGER: Duration = Duration::from_secs(1);

    /// Returns the base version of a service; none when it is not known.
    pub fn get(&self, service: &Name) -> Option<&BaseVersion> {
        Some(&self.by_service.get(service)?.item.as_ref()?.0)
    }

    /// Returns the known base versions.
    pub fn iter(&self) -> impl Iterator<Item = &BaseVersion> {
        self.by_service.values().filter_map(|base| Some(&base.item.as_ref()?.0))
    }

    /// Takes a base version over from another router, if none is known here.
    pub fn adopt(&mut self, base: BaseVersion) {
        let known = self.by_service.entry(base.service.clone()).or_default();
        if known.item.is_none() {
            known.item = Some((base, 0));
        }
    }

    /// Returns whether a stream that begins at a version must be recorded: another one is the base, or
    /// it is not certain.
    pub fn needs_record(&self, service: &Name, version: &Name, era: u64) -> bool {
        let Some(Base { item: Some((base, _)), is_current: true, .. }) =
            self.by_service.get(service)
        else {
            return true;
        };
        !base.is_settled || base.version != *version || base.era != era
    }

    /// Records what the store has for a service, with the revision of the item.
    pub fn on_read(&mut self, now: Time, service: &Name, item: Option<(BaseVersion, u64)>) {
        let base = self.by_service.entry(service.clone()).or_default();
        if base.item.as_ref().map(|(item, _)| item) != item.as_ref().map(|(item, _)| item) {
            base.absent_since = None;
            base.unsettled_since = None;
            base.restored_since = None;
            base.wanted_since = None;
        }
        base.item = item;
        base.asked_at = Some(now);
        base.is_current = true;
    }

    /// Records that another router has written the item first.
    pub fn on_conflict(&mut self, service: &Name) {
        if let Some(base) = self.by_service.get_mut(service) {
            base.asked_at = None;
        }
    }

    /// Doubts all base versions until they are read again, as after a pause of the process.
    pub fn doubt_all(&mut self) {
        for base in self.by_service.values_mut() {
            base.is_current = false;
            base.asked_at = None;
        }
    }

    /// Returns the calls that are due; to be called about once a second while the store answers.
    ///
    /// `era` is that of the store, `stagger` a fraction that differs between routers.
    pub fn duties(
        &mut self,
        now: Time,
        era: u64,
        services: &[ServiceVersions],
        stagger: f64,
    ) -> Vec<BaseDuty> {
        let mut duties = Vec::new();
        for known in services.iter().filter(|known| !known.versions.is_empty()) {
            let base = self.by_service.entry(known.service.clone()).or_default();
            base.observe(now, era, known);
            if base.is_read_due(now, era, known) {
                base.asked_at = Some(now);
                duties.push(BaseDuty::Read(known.service.clone()));
                continue;
            }
            let Some(write) = base.wanted(now, era, known) else {
                base.wanted_since = None;
                continue;
            };
            let since = *base.wanted_since.get_or_insert(now);
            if now.since(since) >= Self::MAX_STAGGER.mul_f64(stagger) {
                duties.push(write);
            }
        }
        duties
    }
}

impl Base {
    /// Records whether upstreams of the base version serve, and whether the store was restored. A
    /// version that is back may find that the base has moved on without this router.
    fn observe(&mut self, now: Time, era: u64, known: &ServiceVersions) {
        let Some((base, _)) = &self.item else { return };
        if base.era < era {
            self.restored_since.get_or_insert(now);
        } else {
            self.restored_since = None;
        }
        if !base.is_settled {
            self.unsettled_since.get_or_insert(now);
        }
        if !known.serves(&base.version) {
            self.absent_since.get_or_insert(now);
        } else if self.absent_since.take().is_some() {
            self.is_current = false;
            self.asked_at = None;
        }
    }

    /// Returns whether the item is to be read: it is doubtful, or not the only version that serves.
    fn is_read_due(&self, now: Time, era: u64, known: &ServiceVersions) -> bool {
        let Some(asked_at) = self.asked_at else { return true };
        let is_sole = self.item.as_ref().is_some_and(|(base, _)| {
            let is_base = |(version, _): &(Name, usize)| *version == base.version;
            base.is_settled && base.era == era && known.versions.iter().all(is_base)
        });
        // The last read may have failed.
        if !self.is_current {
            return now.since(asked_at) >= StreamBases::RETRY_INTERVAL;
        }
        !is_sole && now.since(asked_at) >= StreamBases::READ_INTERVAL
    }

    /// Returns the base version to write, with the revision that the item must have.
    ///
    /// Another version is the next base once the present one has left, and is settled when no stream
    /// of the present one can be taken up any more. The same time passes after a restore of the store,
    /// as records of routers that have ended since may be missing.
    fn wanted(&self, now: Time, era: u64, known: &ServiceVersions) -> Option<BaseDuty> {
        if !self.is_current {
            return None;
        }
        let has_lasted = |since: Option<Time>, span| since.is_some_and(|at| now.since(at) >= span);
        let most = &known.versions.first()?.0;
        let (version, is_settled, expected_revision) = match &self.item {
            None => (most, true, 0),
            Some((_, revision)) if has_lasted(self.absent_since, StreamBases::ABSENCE_TIME) => {
                (most, false, *revision)
            }
            Some((base, revision))
                if has_lasted(self.unsettled_since, known.life + StreamBases::SLACK) =>
            {
                (&base.version, true, *revision)
            }
            Some((base, revision))
                if has_lasted(self.restored_since, known.life + StreamBases::SLACK) =>
            {
                (&base.version, base.is_settled, *revision)
            }
            Some(_) => return None,
        };
        let (service, version) = (known.service.clone(), version.clone());
        let base = BaseVersion { service, version, is_settled, era };
        Some(BaseDuty::Write { base, expected_revision })
    }
}

impl ServiceVersions {
    /// Returns whether upstreams of a version serve.
    fn serves(&self, version: &Name) -> bool {
        self.versions.iter().any(|(serving, _)| serving == version)
    }
}
