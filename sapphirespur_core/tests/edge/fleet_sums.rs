//! What other routers report is summed up alike however their reports come and grow old.

use quickcheck::quickcheck;
use sapphirespur_core::collections::HashMap;
use sapphirespur_core::edge::{PeerReport, Peers, UpstreamLoad, WorkspaceUsage};

use crate::support::{START, ms};

/// Age at which a report no longer counts.
const LIFE_MS: u64 = 1_000;

fn report(router: u64, sequence: u64, figure: u32) -> PeerReport {
    let load = |upstream: u32| UpstreamLoad {
        upstream,
        in_flight: figure % 7,
        pending_tokens: u64::from(figure) * 100,
        event_ms: figure % 3 * 10,
        unshared_tokens: figure,
    };
    let used = |workspace| WorkspaceUsage {
        workspace,
        asked: u64::from(figure) * 2,
        admitted: u64::from(figure),
    };
    PeerReport {
        router,
        started_ms: 1,
        sequence,
        upstreams: vec![load(figure % 2), load(2)],
        workspaces: vec![used(figure % 3), used(3)],
        ..PeerReport::default()
    }
}

quickcheck! {
    fn sums_are_those_of_the_reports_that_are_not_old(steps: Vec<(u8, u8, u16)>) -> bool {
        let mut peers = Peers::default();
        let mut last: HashMap<u64, (u64, PeerReport)> = HashMap::default();
        let mut now_ms = 0;
        for (sequence, (router, figure, pause_ms)) in steps.into_iter().enumerate() {
            now_ms += u64::from(pause_ms) % 700;
            let now = START + ms(now_ms);
            let report = report(u64::from(router % 4), sequence as u64 + 1, u32::from(figure));
            peers.insert(now, report.clone());
            last.insert(report.router, (now_ms, report));
            peers.expire(now);

            let fresh: Vec<_> = last
                .values()
                .filter(|(received_ms, _)| now_ms - received_ms < LIFE_MS)
                .map(|(_, report)| report)
                .collect();
            let loads = |upstream| {
                let loads = fresh.iter().flat_map(|report| &report.upstreams);
                loads.filter(move |load| load.upstream == upstream).copied()
            };
            for upstream in 0..3 {
                let sum = peers.load(now, upstream);
                let in_flight: u32 = loads(upstream).map(|load| load.in_flight).sum();
                let pending: u64 = loads(upstream).map(|load| load.pending_tokens).sum();
                if (sum.in_flight, sum.pending_tokens) != (in_flight, pending) {
                    return false;
                }
            }
            for workspace in 0..4 {
                let of = |used: &&WorkspaceUsage| used.workspace == workspace;
                let asked: u64 =
                    fresh.iter().flat_map(|r| &r.workspaces).filter(of).map(|u| u.asked).sum();
                let sum: u64 =
                    peers.usage().filter(|used| of(&used)).map(|used| used.asked).sum();
                if sum != asked {
                    return false;
                }
            }
        }
        true
    }
}
