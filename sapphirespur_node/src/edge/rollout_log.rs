//! Log lines about roll-outs.

use std::time::Duration;

use sapphirespur_core::edge::{RolloutEvent, RolloutNotice, RolloutOrder, RolloutRecord};
use sapphirespur_core::name::Name;

use super::record_store::StateWrite;
use super::registry::RegistryError;

/// Reason why a router no longer leads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LeaveReason {
    /// It gave up the lease, as there is nothing to lead.
    Released,
    /// The store says that the lease has ended.
    Ended,
    /// The lease was not renewed in time.
    NotRenewed,
}

impl LeaveReason {
    fn as_str(self) -> &'static str {
        match self {
            Self::Released => "released",
            Self::Ended => "ended",
            Self::NotRenewed => "not-renewed",
        }
    }
}

/// Logs an order of an operator.
pub(super) fn log_order(order: &RolloutOrder) {
    log::info!(
        service = order.service.as_str(),
        to_version = order.target.as_str(),
        duration_ms = millis(order.duration),
        revision = order.revision;
        "roll-out ordered"
    );
}

/// Logs that an order is gone.
pub(super) fn log_order_removed(service: &Name, revision: u64) {
    log::info!(service = service.as_str(), revision = revision; "roll-out order removed");
}

/// Logs a change of phase or a verdict, with the figures that decided it.
pub(super) fn log_notice(notice: &RolloutNotice) {
    let (message, phase, reason) = match notice.event {
        RolloutEvent::Phase(phase, reason) => ("roll-out phase", phase.as_str(), reason.as_str()),
        RolloutEvent::Stopped => ("target stopped by this router", "", ""),
        RolloutEvent::OrderLost => ("roll-out without an order", "", ""),
    };
    log::info!(
        service = notice.service.as_str(),
        to_version = notice.target.as_str(),
        phase = phase,
        reason = reason,
        elapsed_ms = millis(notice.elapsed),
        answered = notice.answered,
        bad = notice.bad,
        old_answered = notice.old_answered,
        old_bad = notice.old_bad;
        "{message}"
    );
}

/// Logs that this router leads.
pub(super) fn log_leads(lease: u64, fencing: u64) {
    log::info!(lease = lease, fencing = fencing; "leader of roll-outs");
}

/// Logs that this router leads no more.
pub(super) fn log_leads_no_more(lease: u64, reason: LeaveReason) {
    log::info!(lease = lease, reason = reason.as_str(); "leader of roll-outs no more");
}

/// Logs a record that was written, with the state for the operator.
pub(super) fn log_written(record: &RolloutRecord, write: &StateWrite, revision: u64) {
    log::info!(
        service = record.service.as_str(),
        to_version = write.target.as_str(),
        state = write.state.as_str(),
        phase = record.phase.as_str(),
        reason = record.reason.as_str(),
        elapsed_ms = record.elapsed_ms,
        fencing = record.fencing,
        revision = revision;
        "roll-out state written"
    );
}

/// Logs a record that the store refused to write.
pub(super) fn log_refused(record: &RolloutRecord, expected: u64, leader: u64) {
    log::warn!(
        service = record.service.as_str(),
        phase = record.phase.as_str(),
        expected_revision = expected,
        leader_revision = leader;
        "roll-out write refused"
    );
}

/// Logs a call that failed, with the number of failures in a row.
pub(super) fn log_failure(duty: &'static str, error: &RegistryError, failures: u32) {
    log::warn!(duty = duty, error = error.to_string().as_str(), failures = failures; "roll-out call failed");
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}
