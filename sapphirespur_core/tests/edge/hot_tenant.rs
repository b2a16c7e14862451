//! Workspaces share the capacity of the upstreams fairly over all routers.

use std::time::Duration;

use sapphirespur_core::collections::HashMap;
use sapphirespur_core::edge::{
    DeclineReason, Placement, Router, Shares, UsageKey, WorkspaceUsage, water_fill,
};

use crate::support::{START, answer, call, ms, router};

macro_rules! water_fill_cases {
    ($($name:ident: $demands:expr, $capacity:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(water_fill(&$demands, $capacity), $expected);
            }
        )*
    };
}

water_fill_cases! {
    level_is_unlimited_when_the_capacity_covers_all_demands: [10, 20], 100 => u64::MAX;
    equal_demands_get_equal_shares: [100, 100], 100 => 50;
    capacity_unused_by_a_small_demand_goes_to_the_others: [10, 100, 100], 110 => 50;
    level_is_unlimited_without_demands: [], 10 => u64::MAX;
    level_is_zero_without_capacity: [1, 2], 0 => 0;
}

/// Sends the given number of requests per workspace every 100 ms, and returns the admitted tokens
/// by workspace.
fn simulate(routers: &mut [Router], loads: &[(&str, u32)], steps: u64) -> HashMap<String, u64> {
    let mut admitted: HashMap<String, u64> = HashMap::default();
    let mut running: Vec<(usize, Placement)> = Vec::new();
    for step in 0..steps {
        let now = START + ms(100 * step);
        for (index, placement) in running.drain(..) {
            answer(&mut routers[index], &placement, ms(90));
        }
        let reports: Vec<_> = routers.iter_mut().map(|router| router.report(now)).collect();
        for (index, router) in routers.iter_mut().enumerate() {
            for (other, report) in reports.iter().enumerate() {
                if other != index {
                    router.apply_report(now, report.clone());
                }
            }
            router.tick(now);
        }
        for (workspace, count) in loads {
            for request in 0..*count {
                let index = (request as usize) % routers.len();
                let segment = u64::from(request) + 100;
                if let Ok(placement) =
                    routers[index].admit(now, &call(workspace, segment, 10, 2_000))
                {
                    *admitted.entry((*workspace).to_owned()).or_default() += 2_000;
                    running.push((index, placement));
                }
            }
        }
    }
    admitted
}

#[test]
fn flooding_workspace_leaves_others_their_share() {
    let mut routers = vec![router("r1", 4), router("r2", 4)];
    let loads = [("flood", 60), ("small", 1), ("middle", 2)];
    let admitted = simulate(&mut routers, &loads, 100);
    // 1 and 2 requests of 2,000 tokens per 100 ms are below a third of 100,000 tokens per second.
    for (workspace, asked) in [("small", 100 * 2_000), ("middle", 200 * 2_000)] {
        let got = admitted.get(workspace).copied().unwrap_or(0);
        assert!(got * 10 >= asked * 9, "{workspace} got {got} of {asked}");
    }
}

#[test]
fn equal_floods_get_similar_service() {
    let mut routers = vec![router("r1", 4), router("r2", 4)];
    let admitted = simulate(&mut routers, &[("a", 30), ("b", 30), ("c", 15)], 150);
    let (least, most) =
        (admitted.values().min().expect("served"), admitted.values().max().expect("served"));
    assert!(least * 2 >= *most, "{admitted:?}");
}

#[test]
fn workspace_above_its_share_is_served_while_upstreams_are_idle() {
    let mut routers = vec![router("r1", 4)];
    // 1.5 times the configured capacity, while the upstreams respond immediately.
    let admitted = simulate(&mut routers, &[("only", 8)], 50);
    assert!(admitted["only"] >= 8 * 50 * 2_000 / 2, "{admitted:?}");
}

#[test]
fn route_with_fewer_admissions_has_lower_share_usage() {
    let mut shares = Shares::new(ms(4_000), 1);
    let large = UsageKey { workspace: 1, route: 1 };
    let small = UsageKey { workspace: 1, route: 2 };
    for _ in 0..10 {
        shares.charge(START, large, 1_000, false);
        shares.charge(START, small, 1_000, true);
    }
    let mut share_usage =
        |key| shares.share_usage(START, key, 1_000, 2_000, std::iter::empty(), ms(0));
    assert!(share_usage(large) < share_usage(small));
}

#[test]
fn flood_over_many_routers_gets_a_fair_share() {
    let mut routers: Vec<Router> = (0..12).map(|index| router(&format!("r{index}"), 6)).collect();
    // Each router admits few requests of the flood, so it has little data on the flood's routes.
    let admitted = simulate(&mut routers, &[("flood", 240), ("a", 30), ("b", 30)], 100);
    let most = admitted.values().max().expect("served");
    assert!(admitted["flood"] * 2 >= *most, "{admitted:?}");
}

#[test]
fn route_without_admissions_at_one_router_stays_over_share() {
    let mut shares = Shares::new(ms(4_000), 1);
    let admitted_route = UsageKey { workspace: 1, route: 1 };
    let declined_route = UsageKey { workspace: 1, route: 2 };
    for request in 0..14 {
        shares.charge(START, admitted_route, 1_000, request < 2);
        shares.charge(START, declined_route, 1_000, false);
    }
    // At the other routers, the workspace has used almost three times its share, which is 8,000
    // tokens: half of the capacity over the window.
    let others = [
        WorkspaceUsage { workspace: 1, asked: 400_000, admitted: 22_000 },
        WorkspaceUsage { workspace: 2, asked: 400_000, admitted: 8_000 },
    ];
    let share_usage =
        shares.share_usage(START, declined_route, 1_000, 4_000, others.into_iter(), ms(0));
    assert!(share_usage > 2.0, "{share_usage}");
}

#[test]
fn workspace_far_above_its_share_is_declined_as_over_share() {
    let mut router = router("r", 1);
    router.registry_mut().apply_table(crate::support::table(2, 1_000));
    let reasons: Vec<_> = (0..40)
        .filter_map(|_| router.admit(START, &call("flood", 1, 10, 3_000)).err())
        .map(|decline| decline.reason)
        .collect();
    assert!(reasons.contains(&DeclineReason::OverShare), "{reasons:?}");
}

/// Returns the share usage of a workspace that was admitted 6,000 tokens, beside one that asked for
/// 9,000 tokens and was admitted `admitted`. The capacity is 8,000 tokens.
fn usage_beside(admitted: u64) -> f64 {
    let mut shares = Shares::new(Duration::from_secs(4), 1);
    let ahead = UsageKey { workspace: 1, route: 1 };
    for _ in 0..6 {
        shares.charge(START, ahead, 1_000, true);
    }
    let other = WorkspaceUsage { workspace: 2, asked: 9_000, admitted };
    shares.share_usage(START, ahead, 1_000, 2_000, [other].into_iter(), ms(0))
}

#[test]
fn workspace_beyond_its_share_does_not_run_away_from_one_that_does_not_get_its_own() {
    assert!(usage_beside(1_000).is_infinite());
    assert!(usage_beside(5_000).is_finite(), "the lead is small");
    assert!(usage_beside(8_000).is_finite(), "the other one is served");
}

/// Window in which the users compare what workspaces get.
const FAIRNESS_WINDOW: usize = 60;

/// Returns the tokens that two equal floods are admitted in each step of 100 ms, where the second
/// one begins `delay` steps after the first.
fn staggered_floods(delay: usize, steps: usize) -> [Vec<u64>; 2] {
    let mut shares = Shares::new(Duration::from_secs(4), 1);
    let mut admitted = [vec![0; steps], vec![0; steps]];
    for step in 0..steps {
        let now = START + ms(100 * step as u64);
        for (index, sums) in admitted.iter_mut().enumerate().filter(|(i, _)| step >= i * delay) {
            let key = UsageKey { workspace: index as u32, route: 1 };
            for _ in 0..20 {
                let usage = shares.share_usage(now, key, 1_000, 40_000, std::iter::empty(), ms(0));
                shares.charge(now, key, 1_000, usage <= 1.0);
                sums[step] += if usage <= 1.0 { 1_000 } else { 0 };
            }
        }
    }
    admitted
}

macro_rules! staggered_floods_are_alike {
    ($($name:ident: $delay:expr;)*) => {
        $(
            // Guards against usage that is forgotten all at once: a flood then gets the share of the whole
            // window in one burst and nothing until that is forgotten, and in some windows twice as much as
            // another one.
            #[test]
            fn $name() {
                let admitted = staggered_floods($delay, 300);
                for from in 100..300 - FAIRNESS_WINDOW {
                    let [one, other] =
                        [0, 1].map(|i| admitted[i][from..from + FAIRNESS_WINDOW].iter().sum::<u64>());
                    assert!(one * 3 >= other * 2 && other * 3 >= one * 2, "{from}: {one} {other}");
                }
            }
        )*
    };
}

staggered_floods_are_alike! {
    floods_that_begin_a_second_apart_get_similar_service_in_any_window: 10;
    floods_that_begin_two_seconds_apart_get_similar_service_in_any_window: 20;
    floods_that_begin_three_seconds_apart_get_similar_service_in_any_window: 30;
}

// Guards against a workspace that is let half a share ahead of its own, however little another one gets:
// it then got more than three times as much as one whose router was short of time.
#[test]
fn workspace_beyond_its_share_stays_within_reach_of_one_that_gets_far_less() {
    let mut shares = Shares::new(Duration::from_secs(4), 1);
    let ahead = UsageKey { workspace: 1, route: 1 };
    for _ in 0..4 {
        shares.charge(START, ahead, 1_000, true);
    }
    // The share is 4,000 tokens.
    let mut usage_with = |admitted| {
        let other = WorkspaceUsage { workspace: 2, asked: 9_000, admitted };
        shares.share_usage(START, ahead, 1_000, 2_000, [other].into_iter(), ms(0))
    };
    assert!(usage_with(1_500).is_infinite());
    assert!(usage_with(3_500).is_finite(), "the lead is small");
}

#[test]
fn workspace_within_its_share_is_not_held_back_by_an_unserved_one() {
    let mut shares = Shares::new(Duration::from_secs(4), 1);
    let within = UsageKey { workspace: 1, route: 1 };
    shares.charge(START, within, 2_000, true);
    let other = WorkspaceUsage { workspace: 2, asked: 9_000, admitted: 0 };
    let usage = shares.share_usage(START, within, 1_000, 2_000, [other].into_iter(), ms(0));
    assert!(usage <= 1.0, "{usage}");
}

// Guards against a workspace within its share that is held back for what others may have admitted of it
// since their reports, although they were not asked for so much.
#[test]
fn workspace_within_its_share_is_not_held_back_for_late_reports() {
    let mut shares = Shares::new(ms(4_000), 1);
    let within = UsageKey { workspace: 1, route: 1 };
    shares.charge(START, within, 1_000, true);
    let others = [
        WorkspaceUsage { workspace: 1, asked: 5_000, admitted: 4_000 },
        WorkspaceUsage { workspace: 2, asked: 50_000, admitted: 3_000 },
    ];
    let usage = shares.share_usage(START, within, 1_000, 4_000, others.into_iter(), ms(750));
    assert!(usage <= 1.0, "{usage}");
}

// Guards against requests that are refused by the pressure at an earlier choice without saying why, or
// for longer than that pressure lasts.
#[test]
fn request_refused_without_a_choice_says_why_until_the_pressure_is_gone() {
    let mut router = router("r", 1);
    router.registry_mut().apply_table(crate::support::table(2, 1_000));
    let admissions: Vec<_> =
        (0..40).map(|_| router.admit(START, &call("flood", 1, 10, 3_000))).collect();
    let declines: Vec<_> =
        admissions.iter().filter_map(|admission| admission.as_ref().err()).collect();
    assert!(declines.len() > 10, "{declines:?}");
    for decline in declines {
        assert_eq!(decline.reason, DeclineReason::OverShare);
        assert!(decline.pressure > 0.0 && decline.share_usage > 1.0 && decline.retry_after > ms(0));
        assert!(decline.expected_delay.is_some_and(|delay| delay > ms(0)));
    }

    for placement in admissions.into_iter().flatten() {
        answer(&mut router, &placement, ms(50));
    }
    let other = router.admit(START + ms(150), &call("calm", 1, 10, 10));
    assert!(other.is_ok(), "{other:?}");
    let back = router.admit(START + ms(160), &call("flood", 1, 10, 10));
    assert!(back.is_ok(), "{back:?}");
}
