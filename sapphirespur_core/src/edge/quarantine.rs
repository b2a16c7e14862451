//! Quarantine of requests and prompt segments that crash upstreams.

use std::cmp::Reverse;
use std::time::Duration;

use crate::collections::HashMap;
use crate::edge::exchange::take_in_turn;
use crate::edge::recent_keys::RecentKeys;
use crate::edge::suspect_record::SuspectRecord;
use crate::edge::{
    FleetNews, InFlightRequest, QuarantineChange, QuarantineKey, RequestIdentity, SuspectReport,
};
use crate::time::Time;

/// What the quarantine allows for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum QuarantineVerdict {
    /// Nothing of it is quarantined.
    Admitted,
    /// It may be sent, to find out whether this key still crashes upstreams.
    Trial(QuarantineKey),
    /// It is refused; the time until such a request is tried again.
    Refused(Duration),
}

/// Requests and prompt segments under which upstreams were lost, over the whole fleet.
///
/// What crashes every upstream is never part of a whole response, and each crash hits a request with
/// it. Other segments of the same requests, and other requests that were beginning at the same
/// upstreams, are answered whole elsewhere, which clears them.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: HashMap<QuarantineKey, SuspectRecord>,
    /// Keys of whole responses.
    answered: RecentKeys,
    /// Changes that were not taken yet.
    changes: Vec<QuarantineChange>,
    /// Number of reports so far.
    reports: u32,
    /// Number of records of requests.
    requests: usize,
}

impl Quarantine {
    /// Largest number of keys under which upstreams were lost.
    const MAX_RECORDS: usize = 4_096;

    /// Largest number of keys of one kind in a report: those most suspected, changed ones in turn, and
    /// others in turn, for routers that have just started.
    const SUSPECTED_PER_REPORT: usize = 4;
    const NEWS_PER_REPORT: usize = 4;
    const OTHERS_PER_REPORT: usize = 2;

    /// Returns whether requests under which upstreams were lost are known, so that the identity of
    /// each request is needed.
    pub fn watches_requests(&self) -> bool {
        self.requests > 0
    }

    /// Returns whether a request with these keys may be sent. `rank` returns the rank of this router
    /// for a key: the first one makes the trials.
    pub(super) fn check(
        &mut self,
        now: Time,
        keys: impl Iterator<Item = QuarantineKey>,
        rank: impl Fn(u64) -> usize,
    ) -> QuarantineVerdict {
        let held: Vec<_> = keys
            .filter(|key| self.records.get(key).is_some_and(SuspectRecord::is_quarantined))
            .collect();
        if let [key] = held.as_slice()
            && self.records.get(key).is_some_and(|record| record.may_try(now, rank(key.id())))
        {
            return QuarantineVerdict::Trial(*key);
        }

        // With several such keys, another crash would not tell which one is the cause.
        let mut due_at = None;
        for key in &held {
            if let Some(record) = self.records.get_mut(key) {
                record.refused_at = now;
                due_at = due_at.max(Some(record.trial_due_at()));
            }
        }
        due_at.map_or(QuarantineVerdict::Admitted, |due_at| {
            QuarantineVerdict::Refused(due_at.since(now))
        })
    }

    /// Records that a trial of a key was sent.
    pub(super) fn on_tried(&mut self, now: Time, key: QuarantineKey) {
        self.update(key, |record| record.on_tried(now));
    }

    /// Records the loss of an upstream that was beginning to respond to a request.
    pub(super) fn on_lost(&mut self, now: Time, request: &InFlightRequest) {
        let evidence = request.loss_evidence();
        for key in request.quarantine_keys() {
            self.insert_if_new(key);
            self.update(key, |record| record.on_lost(now, request.placed_at, evidence));
        }
    }

    /// Records a whole response to a request with these keys.
    pub(super) fn on_answered(&mut self, now: Time, keys: impl Iterator<Item = QuarantineKey>) {
        for key in keys {
            self.answered.insert(key);
            self.update(key, |record| record.on_answered(now));
        }
    }

    /// Takes over what another router reports.
    pub(super) fn merge(&mut self, now: Time, news: &FleetNews) {
        for report in &news.requests {
            let key = QuarantineKey::Request(RequestIdentity::from_bits(report.id));
            self.merge_report(now, key, report);
        }
        for report in &news.segments {
            self.merge_report(now, QuarantineKey::Segment(report.id), report);
        }
    }

    fn merge_report(&mut self, now: Time, key: QuarantineKey, report: &SuspectReport) {
        if report.is_proven {
            self.answered.insert(key);
        }
        if report.suspicion > 0 {
            self.insert_if_new(key);
        }
        self.update(key, |record| record.merge(now, report));
    }

    /// Adds to the news for the other routers what to tell them: the most suspected keys, recent
    /// changes in turn, and the other keys in turn.
    pub(super) fn write_news(&mut self, now: Time, news: &mut FleetNews) {
        self.reports = self.reports.wrapping_add(1);
        news.requests = self.reports_of(now, QuarantineKey::is_request);
        news.segments = self.reports_of(now, |key| !key.is_request());
    }

    fn reports_of(
        &self,
        now: Time,
        is_of_kind: impl Fn(&QuarantineKey) -> bool,
    ) -> Vec<SuspectReport> {
        let is_new = |record: &SuspectRecord| now.since(record.changed_at) < FleetNews::CHANGE_TIME;
        let of_kind = self.records.iter().filter(|(key, _)| is_of_kind(key));
        let (mut news, mut others): (Vec<_>, Vec<_>) =
            of_kind.partition(|(_, record)| is_new(record));
        others.retain(|(_, record)| record.suspicion > 0);

        news.sort_unstable_by_key(|(key, record)| (Reverse(record.suspicion), **key));
        others.sort_unstable_by_key(|(key, _)| **key);
        let rest = news.split_off(news.len().min(Self::SUSPECTED_PER_REPORT));
        let changed = take_in_turn(&rest, self.reports, Self::NEWS_PER_REPORT);
        let in_turn = take_in_turn(&others, self.reports, Self::OTHERS_PER_REPORT);
        let told = news.into_iter().chain(changed).chain(in_turn);
        told.map(|(_, record)| record.report(now)).collect()
    }

    /// Forgets keys whose last loss was long ago.
    pub(super) fn expire(&mut self, now: Time) {
        self.records.retain(|_, record| !record.has_expired(now));
        self.requests = self.records.keys().filter(|key| key.is_request()).count();
    }

    /// Returns what is quarantined, sorted.
    pub fn quarantined(&self) -> Vec<QuarantineKey> {
        let held = self.records.iter().filter(|(_, record)| record.is_quarantined());
        let mut held: Vec<_> = held.map(|(key, _)| *key).collect();
        held.sort_unstable();
        held
    }

    /// Returns what was quarantined or released since the last call.
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// Changes the record of a key, if there is one.
    fn update(&mut self, key: QuarantineKey, change: impl FnOnce(&mut SuspectRecord)) {
        let Some(record) = self.records.get_mut(&key) else { return };
        let was_quarantined = record.is_quarantined();
        change(record);
        let is_quarantined = record.is_quarantined();
        if is_quarantined != was_quarantined {
            self.changes.push(QuarantineChange { key, is_quarantined });
        }
    }

    /// Adds a record if there is none; drops the one with the least suspicion when there are too many.
    fn insert_if_new(&mut self, key: QuarantineKey) {
        if self.records.contains_key(&key) {
            return;
        }
        if self.records.len() >= Self::MAX_RECORDS {
            let weight = |record: &SuspectRecord| (record.suspicion, record.lost_at);
            let least = self.records.iter().min_by_key(|(_, record)| weight(record));
            if let Some(least) = least.map(|(key, _)| *key) {
                self.records.remove(&least);
                self.requests -= usize::from(least.is_request());
            }
        }
        let is_proven = self.answered.contains(key);
        self.records.insert(key, SuspectRecord::new(key, is_proven));
        self.requests += usize::from(key.is_request());
    }
}
