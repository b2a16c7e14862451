//! Versions at which streams begin and may be taken up.

use std::rc::Rc;
use std::time::Duration;

use sapphirespur_core::edge::{RecordTicket, StreamKey, StreamOrigin, StreamVerdict};
use sapphirespur_core::name::Name;
use tokio::time::{Instant, timeout_at};

use super::response::ErrorResponse;
use super::send::Call;
use super::shared::Shared;

/// `Retry-After` of a stream whose origin cannot be read now.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time within which a stream must be on record; its client may be waiting for the first event.
const RECORD_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Where the version that began a stream is known from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OriginSource {
    /// This router began the stream, or took it up before.
    Memory,
    /// A record in the store, or that there is none.
    Store,
    /// The service has had one version only.
    Sole,
}

impl OriginSource {
    /// Returns a short name for logs and metrics.
    fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Store => "store",
            Self::Sole => "sole",
        }
    }
}

/// Whether a stream that begins may be passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum BeginVerdict {
    /// It can be taken up at any router, or no other version could take it up.
    PassOn,
    /// It has no record, and may begin at another version.
    Elsewhere,
    /// Whether it has a record is not known, so it must not be passed on at any version.
    Unknown,
}

/// Returns the key of the stream that a call begins, or goes on with.
fn stream_key(call: &Call, attempt_id: &str) -> StreamKey {
    StreamKey::new(call.info.workspace.as_ref(), attempt_id)
}

/// Returns the version at which a stream that a client takes up may go on.
///
/// # Errors
///
/// Returns the error response when that cannot be known, now or at all.
pub(super) async fn resolve(cx: &Rc<Shared>, call: &Call) -> Result<Name, ErrorResponse> {
    let result = match &call.head.resumes {
        Some(resumes) => find_version(cx, call, stream_key(call, resumes)).await,
        None => sole_version(cx, call).ok_or(ErrorResponse::VersionGone),
    };
    match &result {
        Ok((_, source)) => cx.metrics.record_taken_up(source.as_str()),
        Err(_) => cx.metrics.record_taken_up("unknown"),
    }
    log_resolved(cx, call, &result);
    let (version, _) = result?;
    if let Some(resumes) = &call.head.resumes {
        let (now, key) = (cx.now(), stream_key(call, resumes));
        cx.router.borrow_mut().remember_stream(now, &call.info.service, key, &version);
    }
    Ok(version)
}

/// Finds the version that began a stream: in memory, in the store, or without it.
async fn find_version(
    cx: &Rc<Shared>,
    call: &Call,
    key: StreamKey,
) -> Result<(Name, OriginSource), ErrorResponse> {
    let remembered = cx.router.borrow().streams().memory.get(key).cloned();
    if let Some(origin) = remembered {
        return match origin {
            StreamOrigin::Version(version) => Ok((version, OriginSource::Memory)),
            StreamOrigin::Ambiguous => Err(ErrorResponse::VersionGone),
        };
    }

    match cx.stream_lookups.find(&call.info.service, key).await {
        Ok(lookup) => {
            cx.check_record_era(lookup.era);
            match lookup.verdict(key) {
                StreamVerdict::Version(version) => Ok((version, OriginSource::Store)),
                StreamVerdict::Unknowable => Err(ErrorResponse::VersionGone),
            }
        }
        Err(e) => {
            if cx.may_log_failure() {
                log::warn!(request = call.head.attempt_id.as_str(), error = e.to_string().as_str(); "origin of a stream cannot be read");
            }
            let is_newest = cx.router.borrow().has_newest_registry(cx.now());
            let sole = is_newest.then(|| cx.router.borrow().sole_version(&call.info.service));
            let sole = sole.flatten().map(|version| (version, OriginSource::Sole));
            sole.ok_or(ErrorResponse::NotRun(UNKNOWN_RETRY_AFTER.min(call.info.remaining / 3)))
        }
    }
}

/// Returns the version of the service if it has had no other one.
fn sole_version(cx: &Shared, call: &Call) -> Option<(Name, OriginSource)> {
    let version = cx.router.borrow().sole_version(&call.info.service);
    let version = version.filter(|_| cx.is_registry_fresh())?;
    Some((version, OriginSource::Sole))
}

/// Logs which version began a stream that a client takes up, and where that is known from.
fn log_resolved(cx: &Shared, call: &Call, result: &Result<(Name, OriginSource), ErrorResponse>) {
    if !cx.may_log_failure() {
        return;
    }
    let (request, resumes) = (call.head.attempt_id.as_str(), call.head.resumes.as_deref());
    let (resumes, service) = (resumes.unwrap_or_default(), call.info.service.as_str());
    match result {
        Ok((version, source)) => {
            log::info!(request = request, resumes = resumes, service = service, version = version.as_str(), source = source.as_str(); "stream taken up");
        }
        Err(e) => {
            log::info!(request = request, resumes = resumes, service = service, status = e.status().as_u16(); "stream not taken up: version unknown");
        }
    }
}

/// Returns the version at which a stream that can be taken up has to begin, because it cannot be
/// recorded now; none when it may begin at any.
pub(super) fn unrecorded_version(cx: &Shared, call: &Call) -> Option<Name> {
    let now = cx.now();
    if !call.route.kind.is_retryable() || may_record(cx) {
        return None;
    }
    cx.router.borrow().serving_base(now, &call.info.service)
}

/// Returns whether the store takes records, as far as is known.
fn may_record(cx: &Shared) -> bool {
    !cx.is_registry_failing.get() && cx.router.borrow().streams().log.may_record(cx.now())
}

/// Whether the version of a stream that is sent to an upstream will be known at other routers.
#[derive(Clone, Debug)]
pub(super) enum SendRecord {
    /// They infer it.
    NotNeeded,
    /// It is being recorded.
    Waiting(RecordTicket),
    /// It cannot be recorded.
    Impossible,
}

/// Begins to record the version of the upstream to which a stream is sent, unless other routers infer
/// it. The write is done before most upstreams respond. `ordinal` is the number of sends of the same
/// attempt before; after a recorded one, each is recorded.
pub(super) fn record_send(
    cx: &Shared,
    call: &Call,
    version: &Name,
    ordinal: u8,
    has_record: bool,
) -> SendRecord {
    let (now, service) = (cx.now(), &call.info.service);
    let mut router = cx.router.borrow_mut();
    if !call.route.kind.is_retryable() || !(has_record || router.needs_record(service, version)) {
        return SendRecord::NotNeeded;
    }
    if cx.is_registry_failing.get() || !router.streams().log.may_record(now) {
        return SendRecord::Impossible;
    }
    let life = router.stream_life(service);
    let send = (stream_key(call, &call.head.attempt_id), ordinal);
    let ticket = router.streams_mut().log.append(now, service, send, version, life);
    cx.records_due.notify_one();
    ticket.map_or(SendRecord::Impossible, SendRecord::Waiting)
}

/// Remembers that a stream has begun at a version, once it is on record if it has to be.
pub(super) async fn on_begun(
    cx: &Rc<Shared>,
    call: &Call,
    version: &Name,
    record: &SendRecord,
) -> BeginVerdict {
    let service = &call.info.service;
    match record {
        SendRecord::NotNeeded => {}
        SendRecord::Waiting(ticket) if wait_for_record(cx, call, ticket).await => {}
        SendRecord::Waiting(_) => return BeginVerdict::Unknown,
        SendRecord::Impossible => {
            let base = cx.router.borrow().serving_base(cx.now(), service);
            if base.is_some_and(|base| base != *version) {
                return BeginVerdict::Elsewhere;
            }
            cx.metrics.record_unrecorded_stream();
        }
    }
    if call.route.kind.is_retryable() {
        let key = stream_key(call, &call.head.attempt_id);
        cx.router.borrow_mut().remember_stream(cx.now(), service, key, version);
    }
    BeginVerdict::PassOn
}

/// Waits until the version of a stream is on record. Returns whether it is in time.
async fn wait_for_record(cx: &Rc<Shared>, call: &Call, ticket: &RecordTicket) -> bool {
    let started = cx.now();
    let deadline = Instant::now() + RECORD_TIMEOUT.min(call.time_left(started));
    loop {
        let written = cx.records_written.notified();
        if cx.router.borrow().streams().log.is_written(ticket) {
            cx.metrics.record_stream_recorded(cx.now().since(started));
            return true;
        }
        if timeout_at(deadline, written).await.is_err() {
            if cx.may_log_failure() {
                log::warn!(request = call.head.attempt_id.as_str(); "stream not recorded in time");
            }
            return false;
        }
    }
}
