//! Versions at which streams begin and may be taken up.

use std::rc::Rc;
use std::time::Duration;

use sapphirespur_core::edge::{
    BeginVerdict, RecordTicket, SendRecord, StreamKey, StreamOrigin, StreamSend, StreamVerdict,
};
use sapphirespur_core::name::Name;
use tokio::time::{Instant, timeout_at};

use super::response::ErrorResponse;
use super::send::Call;
use super::shared::Shared;

/// `Retry-After` of a stream whose origin cannot be read now.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time within which a stream must be on record; its client may be waiting for the first event.
const RECORD_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after the arrival of a resumption in which the other routers report, or the registry answers, so
/// that it is known whether another version serves.
const CURRENT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Interval between checks for that.
const CURRENT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Fraction of the time within which an event must be passed on that a first event waits for others to
/// share the write of its record.
const RECORD_WAIT_FRACTION: f64 = 0.5;

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
        None => sole_version(cx, call).await.ok_or(ErrorResponse::VersionGone),
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
            let is_newest = || cx.router.borrow().has_newest_registry(cx.now(), call.arrived_at);
            let sole = sole_version_if(cx, call, is_newest).await;
            sole.ok_or(ErrorResponse::NotRun(UNKNOWN_RETRY_AFTER.min(call.info.remaining / 3)))
        }
    }
}

/// Returns the version of the service if it has had no other one; asks the registry for changes.
async fn sole_version(cx: &Shared, call: &Call) -> Option<(Name, OriginSource)> {
    cx.request_registry_check();
    let is_current = || {
        cx.unverified_since.get().is_none()
            || cx.router.borrow().has_newest_registry(cx.now(), call.arrived_at)
    };
    sole_version_if(cx, call, is_current).await
}

/// Returns the version of the service if it has had no other one, once `is_current` holds: this router
/// knows the upstreams that others knew as the call arrived. One that is cut off or stood still may not
/// have heard of the version that began the stream.
async fn sole_version_if(
    cx: &Shared,
    call: &Call,
    is_current: impl Fn() -> bool,
) -> Option<(Name, OriginSource)> {
    cx.router.borrow().sole_version(&call.info.service)?;
    while !is_current() {
        if cx.now().since(call.arrived_at) >= CURRENT_TIMEOUT {
            return None;
        }
        tokio::time::sleep(CURRENT_CHECK_INTERVAL).await;
    }
    let version = cx.router.borrow().sole_version(&call.info.service)?;
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

/// Returns the version at which the stream of a call has to begin because it cannot be recorded now; none
/// when it may begin at any.
pub(super) fn begin_version(cx: &Shared, call: &Call) -> Option<Name> {
    if !call.route.kind.is_retryable() {
        return None;
    }
    cx.router.borrow().begin_version(cx.now(), &call.info.service)
}

/// Returns the send of a call to an upstream of a version; none when its stream cannot be taken up.
pub(super) fn stream_send(
    call: &Call,
    version: &Name,
    ordinal: u8,
    has_record: bool,
) -> Option<StreamSend> {
    call.route.kind.is_retryable().then(|| StreamSend {
        service: call.info.service.clone(),
        key: stream_key(call, &call.head.attempt_id),
        version: version.clone(),
        ordinal,
        has_record,
    })
}

/// Returns whether a stream may be passed on whose upstream has responded, once it is on record if it
/// has to be.
pub(super) async fn begin_stream(
    cx: &Shared,
    call: &Call,
    send: &StreamSend,
    record: &SendRecord,
) -> BeginVerdict {
    if let SendRecord::Waiting(ticket) = record {
        wait_for_record(cx, call, ticket).await;
    }
    let verdict = cx.router.borrow_mut().begin_stream(cx.now(), send, record);
    if cx.router.borrow().streams().log.due_at().is_some() {
        cx.records_due.notify_one();
    }
    if (verdict, record) == (BeginVerdict::PassOn, &SendRecord::Impossible) {
        cx.metrics.record_unrecorded_stream();
    }
    verdict
}

/// Waits until the version of a stream is on record, for as long as its client may wait.
async fn wait_for_record(cx: &Shared, call: &Call, ticket: &RecordTicket) {
    if cx.router.borrow().streams().log.is_written(ticket) {
        return;
    }
    let started = cx.now();
    let at = started + cx.settings().delivery.mul_f64(RECORD_WAIT_FRACTION);
    cx.router.borrow_mut().streams_mut().log.request_write(at);
    cx.records_due.notify_one();
    let deadline = Instant::now() + RECORD_TIMEOUT.min(call.time_left(started));
    loop {
        let written = cx.records_written.notified();
        if cx.router.borrow().streams().log.is_written(ticket) {
            cx.metrics.record_stream_recorded(cx.now().since(started));
            return;
        }
        if timeout_at(deadline, written).await.is_err() {
            if cx.may_log_failure() {
                log::warn!(request = call.head.attempt_id.as_str(); "stream not recorded in time");
            }
            return;
        }
    }
}
