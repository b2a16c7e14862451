//! Versions at which streams began and may go on.

use std::time::Duration;

use crate::edge::{
    BeginVerdict, Router, SendRecord, ServiceVersions, Snapshot, StreamKey, StreamOrigins,
    StreamSend,
};
use crate::name::Name;
use crate::time::Time;

impl Router {
    /// Number of times that the longest timeout of a service's routes fits into the time in which one
    /// of its streams can be taken up: it begins in one and goes on in another.
    const TIMEOUTS_PER_STREAM: u32 = 2;

    /// Returns the origins of streams.
    pub fn streams(&self) -> &StreamOrigins {
        &self.streams
    }

    /// Returns the origins of streams for modification.
    pub fn streams_mut(&mut self) -> &mut StreamOrigins {
        &mut self.streams
    }

    /// Returns the time for which a stream of a service can be taken up after it began.
    pub fn stream_life(&self, service: &Name) -> Duration {
        let timeouts = self.registry.routes(service).map(|routes| routes.timeouts.values());
        let longest = timeouts.and_then(|timeouts| timeouts.max()).copied().unwrap_or_default();
        longest * Self::TIMEOUTS_PER_STREAM
    }

    /// Returns the services with streams that can be taken up, and the versions that serve.
    pub fn stream_services(&self) -> Vec<ServiceVersions> {
        let services = self.registry.resumable_services();
        services.map(|service| self.service_versions(service)).collect()
    }

    fn service_versions(&self, service: &Name) -> ServiceVersions {
        let mut versions: Vec<(Name, usize)> = Vec::new();
        for upstream in self.registry.upstreams().present(service) {
            match versions.iter_mut().find(|(version, _)| *version == upstream.entry.version) {
                Some((_, count)) => *count += 1,
                None => versions.push((upstream.entry.version.clone(), 1)),
            }
        }
        versions.sort_by(|(a, more), (b, less)| less.cmp(more).then_with(|| a.cmp(b)));
        let life = self.stream_life(service);
        ServiceVersions { service: service.clone(), versions, life }
    }

    /// Returns whether a stream that begins at a version must be on record before its first event is
    /// passed on.
    pub fn needs_record(&self, service: &Name, version: &Name) -> bool {
        self.streams.bases.needs_record(service, version, self.registry.version().era)
    }

    /// Returns whether the other routers have reported since `since`, and none of them knew more of the
    /// registry than this one.
    ///
    /// Reports that may have been sent before do not count: another router may have learned of an
    /// upstream since then, and a process that stood still reads old reports first.
    pub fn has_newest_registry(&self, now: Time, since: Time) -> bool {
        let sent_since = since + self.exchange.report_lag();
        let newest = self.peers().newest_version_since(now, sent_since);
        newest.is_some_and(|newest| newest <= self.registry.version())
    }

    /// Returns the version of a service if it has had no other one for a while, as far as this router
    /// knows.
    pub fn sole_version(&self, service: &Name) -> Option<Name> {
        let upstreams = self.registry.upstreams();
        let departed = upstreams.departed().filter(|entry| entry.service == *service);
        let present = upstreams.present(service).map(|upstream| &upstream.entry);
        let mut versions = present.chain(departed).map(|entry| &entry.version);
        let first = versions.next()?;
        let base = self.streams.bases.get(service);
        let is_sole = versions.all(|version| version == first)
            && base.is_none_or(|base| base.version == *first);
        is_sole.then(|| first.clone())
    }

    /// Returns a copy of the registry state for other routers, with base versions and roll-outs; none without a
    /// configuration.
    pub fn snapshot(&self, now: Time) -> Option<Snapshot> {
        let bases = self.streams.bases.iter().cloned().collect();
        let rollouts = self.rollouts.snapshot();
        Some(Snapshot { bases, rollouts, ..self.registry.snapshot(now)? })
    }

    /// Begins to record the version of the upstream to which a stream is sent, unless other routers infer
    /// it; most upstreams respond after the write is done. After a recorded send of an attempt, each
    /// further one is recorded.
    pub fn record_send(&mut self, now: Time, send: &StreamSend) -> SendRecord {
        if !send.has_record && !self.needs_record(&send.service, &send.version) {
            return SendRecord::NotNeeded;
        }
        if !self.may_record(now) {
            return SendRecord::Impossible;
        }
        let life = self.stream_life(&send.service);
        let ticket = self.streams.log.append(now, send, life);
        ticket.map_or(SendRecord::Impossible, SendRecord::Waiting)
    }

    /// Returns whether a stream may be passed on whose upstream has responded, and remembers it if so.
    pub fn begin_stream(
        &mut self,
        now: Time,
        send: &StreamSend,
        record: &SendRecord,
    ) -> BeginVerdict {
        match record {
            SendRecord::NotNeeded => self.record_base_stream(now, send),
            SendRecord::Waiting(ticket) if self.streams.log.is_written(ticket) => {}
            SendRecord::Waiting(_) => return BeginVerdict::Unknown,
            SendRecord::Impossible if send.has_record => return BeginVerdict::Unknown,
            SendRecord::Impossible => {
                let only = self.unrecorded_version(&send.service);
                if only.is_some_and(|only| only != send.version) {
                    return BeginVerdict::Elsewhere;
                }
            }
        }
        self.remember_stream(now, &send.service, send.key, &send.version);
        BeginVerdict::PassOn
    }

    /// Records a stream at the base version whose upstream has responded, if the store was restored since
    /// it was sent. Without the record it would go on nowhere, so it need not wait.
    fn record_base_stream(&mut self, now: Time, send: &StreamSend) {
        if self.needs_record(&send.service, &send.version) {
            let life = self.stream_life(&send.service);
            self.streams.log.append(now, send, life);
            self.streams.log.request_write(now);
        }
    }

    /// Returns the version at which a stream has to begin that cannot be recorded now; none when it may
    /// begin at any.
    pub fn begin_version(&self, now: Time, service: &Name) -> Option<Name> {
        if self.may_record(now) { None } else { self.unrecorded_version(service) }
    }

    /// Returns the version at which other routers will take a stream without a record to have begun, if
    /// they let it go on; none when that is not known.
    fn unrecorded_version(&self, service: &Name) -> Option<Name> {
        Some(self.streams.bases.get(service)?.version.clone())
    }

    /// Returns whether the store takes records, as far as is known.
    fn may_record(&self, now: Time) -> bool {
        !self.streams.is_store_failing && self.streams.log.may_record(now)
    }

    /// Remembers a stream that began at a version, or goes on there.
    pub fn remember_stream(&mut self, now: Time, service: &Name, key: StreamKey, version: &Name) {
        let life = self.stream_life(service);
        self.streams.memory.insert(now, service, key, version, life);
    }

    /// Records all streams that this router knows, after the store was restored from an older copy: the
    /// absence of a record tells nothing until the streams from before are gone.
    pub fn on_store_restored(&mut self, now: Time) {
        self.streams.log.on_lost(now);
        for send in self.streams.memory.sends() {
            let life = self.stream_life(&send.service);
            self.streams.log.append(now, &send, life);
        }
    }
}
