//! Quarantine of prompt segments that crash upstreams.

use std::time::Duration;

use crate::collections::HashMap;
use crate::edge::exchange::take_in_turn;
use crate::edge::recent_segments::RecentSegments;
use crate::edge::segment_record::SegmentRecord;
use crate::edge::{FleetNews, InFlightRequest, QuarantineChange, SegmentReport};
use crate::time::Time;

/// What the quarantine allows for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum QuarantineVerdict {
    /// None of its segments is quarantined.
    Admitted,
    /// It may be sent, to find out whether this segment still crashes upstreams.
    Trial(u64),
    /// It is refused; the time until a request with its segments is tried again.
    Refused(Duration),
}

/// Prompt segments under which upstreams were lost, over the whole fleet.
///
/// A segment that crashes every upstream is never part of a whole response, and each crash hits a
/// request with it. Other segments of the same requests, and of those that were beginning at the same
/// upstreams, are part of whole responses elsewhere, which clears them.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: HashMap<u64, SegmentRecord>,
    /// Segments of whole responses.
    answered: RecentSegments,
    /// Changes that were not taken yet.
    changes: Vec<QuarantineChange>,
    /// Number of reports so far.
    reports: u32,
}

impl Quarantine {
    /// Largest number of segments under which upstreams were lost.
    const MAX_RECORDS: usize = 4_096;

    /// Time after the last loss after which a segment is forgotten.
    const LOSS_TTL: Duration = Duration::from_secs(900);

    /// Time for which a segment that is cleared is remembered, so that all other routers hear of it.
    const CLEARED_TTL: Duration = Duration::from_secs(10);

    /// Largest number of changed segments in a report.
    const NEWS_PER_REPORT: usize = 8;

    /// Segments in a report beyond the changed ones, in turn, for routers that have just started.
    const OTHERS_PER_REPORT: usize = 2;

    /// Returns whether a request with the shared segments `segments` may be sent. `rank` returns the
    /// rank of this router for a segment: the first one makes the trials.
    pub(super) fn check(
        &self,
        now: Time,
        segments: &[u64],
        rank: impl Fn(u64) -> usize,
    ) -> QuarantineVerdict {
        let held = segments.iter().filter_map(|segment| {
            let record = self.records.get(segment)?;
            record.is_quarantined().then_some((*segment, record))
        });
        let held: Vec<_> = held.collect();

        // With several such segments, another crash would not tell which one is the cause.
        match held.as_slice() {
            [] => QuarantineVerdict::Admitted,
            [(segment, record)] if record.may_try(now, rank(*segment)) => {
                QuarantineVerdict::Trial(*segment)
            }
            held => {
                let due_at = held.iter().map(|(_, record)| record.trial_due_at()).max();
                QuarantineVerdict::Refused(due_at.unwrap_or(now).since(now))
            }
        }
    }

    /// Records that a trial of a segment was sent.
    pub(super) fn on_tried(&mut self, now: Time, segment: u64) {
        self.update(segment, |record| record.on_tried(now));
    }

    /// Records the loss of an upstream that was beginning to respond to a request.
    pub(super) fn on_lost(&mut self, now: Time, request: &InFlightRequest) {
        let evidence = request.loss_evidence();
        for segment in request.segments.iter() {
            if !self.records.contains_key(segment) {
                let is_proven = self.answered.contains(*segment);
                self.insert(*segment, SegmentRecord { is_proven, ..SegmentRecord::default() });
            }
            self.update(*segment, |record| record.on_lost(now, request.placed_at, evidence));
        }
    }

    /// Records a whole response to a request with `segments`.
    pub(super) fn on_answered(&mut self, now: Time, segments: &[u64]) {
        for segment in segments {
            self.answered.insert(*segment);
            self.update(*segment, |record| record.on_answered(now));
        }
    }

    /// Takes over what another router reports.
    pub(super) fn merge(&mut self, now: Time, reports: &[SegmentReport]) {
        for report in reports {
            if report.is_proven {
                self.answered.insert(report.segment);
            }
            let is_known = self.records.contains_key(&report.segment);
            if !is_known && report.suspicion == 0 {
                continue;
            }
            if !is_known {
                let is_proven = self.answered.contains(report.segment);
                let record = SegmentRecord { is_proven, ..SegmentRecord::default() };
                self.insert(report.segment, record);
            }
            self.update(report.segment, |record| record.merge(now, report));
        }
    }

    /// Returns what to tell the other routers: recent changes, and the other segments in turn.
    pub(super) fn reports(&mut self, now: Time) -> Vec<SegmentReport> {
        self.reports = self.reports.wrapping_add(1);
        let is_new = |record: &SegmentRecord| now.since(record.changed_at) < FleetNews::CHANGE_TIME;
        let (mut news, mut others): (Vec<_>, Vec<_>) =
            self.records.iter().partition(|(_, record)| is_new(record));
        others.retain(|(_, record)| record.suspicion > 0);

        news.sort_unstable_by_key(|(segment, record)| {
            let is_decided = record.is_quarantined() || record.suspicion == 0;
            (!is_decided, record.is_proven, **segment)
        });
        others.sort_unstable_by_key(|(segment, _)| **segment);
        let in_turn = take_in_turn(&others, self.reports, Self::OTHERS_PER_REPORT);
        let told = news.into_iter().take(Self::NEWS_PER_REPORT).chain(in_turn);
        told.map(|(segment, record)| record.report(now, *segment)).collect()
    }

    /// Forgets segments whose last loss was long ago.
    pub(super) fn expire(&mut self, now: Time) {
        self.records.retain(|_, record| {
            let (since, ttl) = if record.suspicion > 0 {
                (record.lost_at, Self::LOSS_TTL)
            } else {
                (record.changed_at, Self::CLEARED_TTL)
            };
            now.since(since) < ttl
        });
    }

    /// Returns the quarantined segments, sorted.
    pub fn quarantined(&self) -> Vec<u64> {
        let held = self.records.iter().filter(|(_, record)| record.is_quarantined());
        let mut held: Vec<_> = held.map(|(segment, _)| *segment).collect();
        held.sort_unstable();
        held
    }

    /// Returns the segments that were quarantined or released since the last call.
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// Changes the record of a segment, if there is one.
    fn update(&mut self, segment: u64, change: impl FnOnce(&mut SegmentRecord)) {
        let Some(record) = self.records.get_mut(&segment) else { return };
        let was_quarantined = record.is_quarantined();
        change(record);
        let is_quarantined = record.is_quarantined();
        if is_quarantined != was_quarantined {
            self.changes.push(QuarantineChange { segment, is_quarantined });
        }
    }

    /// Adds a record; drops the one with the least suspicion when there are too many.
    fn insert(&mut self, segment: u64, record: SegmentRecord) {
        if self.records.len() >= Self::MAX_RECORDS {
            let weight = |record: &SegmentRecord| (record.suspicion, record.lost_at);
            let least = self.records.iter().min_by_key(|(_, record)| weight(record));
            if let Some(least) = least.map(|(segment, _)| *segment) {
                self.records.remove(&least);
            }
        }
        self.records.insert(segment, record);
    }
}
