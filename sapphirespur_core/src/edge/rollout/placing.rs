//! Where requests may go while a version is rolled out.

use crate::collections::HashSet;
use crate::edge::rollout::service_rollout::ServiceRollout;
use crate::edge::rollout::service_view::ServiceView;
use crate::edge::rollout::version_plan::{Fallback, VersionPlan};
use crate::edge::{CallInfo, RolloutPhase, RolloutRecord, RolloutVerdict, Shares, VersionChoice};
use crate::name::Name;
use crate::time::Time;

impl ServiceRollout {
    /// Fewest upstreams that canary requests go to.
    const MIN_SUBSET: usize = 2;

    /// Credit that is left to routes with too few responses for a verdict.
    const NEEDY_RESERVE: f64 = 1.0;

    /// Returns whether this router sends nothing to the target of a roll-out that is running: its
    /// verdict is bad, or the order is gone or names another one.
    fn is_stopped(&self, now: Time, record: &RolloutRecord) -> bool {
        self.judge.verdict() == RolloutVerdict::Bad
            || self.active_order(now).is_none_or(|order| order.target != record.target)
    }

    /// Returns whether a request that was placed on a version may still go there: it may whenever
    /// [`plan`](Self::plan) could choose the version.
    pub fn allows(&self, version: &Name, view: ServiceView<'_>) -> bool {
        if self.withdrawn().contains(version) || self.held_back(view) == Some(version) {
            return false;
        }
        match &self.record {
            Some(record) if record.phase == RolloutPhase::Completed => {
                *version == record.target || !view.has(&record.target)
            }
            Some(record) if !record.phase.is_terminal() && *version == record.target => {
                !self.is_stopped(view.now, record) || self.is_only(record, view)
            }
            _ => true,
        }
    }

    /// Returns whether the target of a roll-out that is running is the only version, and nothing speaks
    /// against it.
    fn is_only(&self, record: &RolloutRecord, view: ServiceView<'_>) -> bool {
        !view.has_other(&record.target, &record.withdrawn)
            && self.judge.verdict() != RolloutVerdict::Bad
    }

    /// Returns whether a stream cannot go on: its version was withdrawn, or replaced.
    pub fn is_gone(&self, version: &Name) -> bool {
        self.record.as_ref().is_some_and(|record| {
            record.withdrawn.contains(version)
                || record.phase == RolloutPhase::Completed && record.target != *version
        })
    }

    /// Returns where a request may go.
    pub fn plan(&self, call: &CallInfo, view: ServiceView<'_>) -> VersionPlan {
        let excluded = self.excluded(view);
        let Some(record) = &self.record else { return not_in(excluded).into() };
        match record.phase {
            RolloutPhase::Reverted => not_in(excluded).into(),
            RolloutPhase::Completed if view.has(&record.target) => target_at(record, None).into(),
            RolloutPhase::Completed => not_in(excluded).into(),
            RolloutPhase::Canary | RolloutPhase::Shifting => {
                self.running_plan(call, view, record, excluded)
            }
        }
    }

    /// Returns the versions that get no requests whatever the phase.
    fn excluded(&self, view: ServiceView<'_>) -> Vec<Name> {
        self.withdrawn().iter().chain(self.held_back(view)).cloned().collect()
    }

    /// Returns the version of an order for which there is no record yet, if it gets no requests before. A
    /// version that no order has moved yet serves on if it is the only one.
    fn held_back(&self, view: ServiceView<'_>) -> Option<&Name> {
        let target = &self.order.as_ref()?.order.target;
        if self.record.as_ref().is_some_and(|record| record.target == *target) {
            return None;
        }
        // A version that is being rolled out may be given up for the one of a later order.
        let running = self.running().map(|record| &record.target);
        let others: Vec<Name> = self.withdrawn().iter().chain(running).cloned().collect();
        view.has_other(target, &others).then_some(target)
    }

    fn running_plan(
        &self,
        call: &CallInfo,
        view: ServiceView<'_>,
        record: &RolloutRecord,
        mut excluded: Vec<Name>,
    ) -> VersionPlan {
        let now = view.now;
        if self.is_only(record, view) {
            return not_in(excluded).into();
        }
        excluded.push(record.target.clone());
        let old = not_in(excluded.clone());
        let is_bound_elsewhere =
            call.version.as_ref().is_some_and(|version| *version != record.target);
        if self.is_stopped(now, record) || is_bound_elsewhere {
            return old.into();
        }

        let is_bound = call.version.is_some();
        let subset = |count: usize| Some(view.subset(&record.target, count));
        if record.phase == RolloutPhase::Canary {
            if is_bound && self.credit.may_borrow() {
                return target_at(record, None).into();
            }
            if is_bound || !self.may_try_canary(call) {
                return old.into();
            }
            let first = target_at(record, subset(self.canary_size(view, &excluded)));
            return VersionPlan { first, fallback: Fallback::IfDeclined(old) };
        }

        if is_bound {
            return target_at(record, None).into();
        }
        if !self.is_ramping(now) {
            let first = target_at(record, None);
            return VersionPlan { first, fallback: Fallback::IfNoneAvailable(old) };
        }
        if !self.ramp_credit.covers(0.0) {
            return old.into();
        }
        let first = target_at(record, subset(self.ramp.upstreams));
        VersionPlan { first, fallback: Fallback::IfDeclined(old) }
    }

    /// Returns whether a request of the route may take canary credit. Some is left to routes with too
    /// few responses for a verdict.
    fn may_try_canary(&self, call: &CallInfo) -> bool {
        let is_needy = self.judge.is_needy(Shares::name_hash(&call.route));
        let reserve =
            if is_needy || !self.judge.is_any_needy() { 0.0 } else { Self::NEEDY_RESERVE };
        self.credit.covers(reserve)
    }

    /// Returns the number of upstreams that canary requests go to: as many as give each of them the
    /// load of an old one. `excluded` are the versions that are not old ones.
    pub fn canary_size(&self, view: ServiceView<'_>, excluded: &[Name]) -> usize {
        let load = self.canary_part * view.count_others(excluded) as f64;
        (load.ceil() as usize).max(Self::MIN_SUBSET)
    }
}

fn not_in(versions: Vec<Name>) -> VersionChoice {
    VersionChoice::NotIn(versions)
}

fn target_at(record: &RolloutRecord, subset: Option<HashSet<u32>>) -> VersionChoice {
    VersionChoice::Target { target: record.target.clone(), subset }
}
