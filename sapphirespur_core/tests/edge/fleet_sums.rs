//! The incremental sums match the unexpired reports, in whatever order reports arrive and expire.

use sapphirespur_core::collections::HashMap;
use sapphirespur_core::edge::{PeerReport, Peers, UpstreamLoad, WorkspaceUsage};

use crate::support::{START, ms};

/// Age at which a report no longer counts.
const REPORT_TTL_MS: u64 = 1_000;

fn report(router: u64, sequence: u64, seed: u32) -> PeerReport {
    let load = |upstream: u32| UpstreamLoad {
        upstream,
        in_flight: seed % 7,
        pending_tokens: u64::from(seed) * 100,
        event_ms: seed % 3 * 10,
        unshared_tokens: seed,
        decode_tokens: u64::from(seed) * 30,
        memory_tokens: u64::from(seed) * 900,
    };
    let usage = |workspace| WorkspaceUsage {
        workspace,
        asked: u64::from(seed) * 2,
        admitted: u64::from(seed),
    };
    PeerReport {
        router,
        started_ms: 1,
        sequence,
        upstreams: vec![load(seed % 2), load(2)],
        workspaces: vec![usage(seed % 3), usage(3)],
        ..PeerReport::default()
    }
}

properties! {
    fn sums_match_the_unexpired_reports(steps: Vec<(u8, u8, u16)>) -> bool {
        let mut peers = Peers::default();
        let mut last: HashMap<u64, (u64, PeerReport)> = HashMap::default();
        let mut now_ms = 0;
        for (sequence, (router, seed, pause_ms)) in steps.into_iter().enumerate() {
            now_ms += u64::from(pause_ms) % 700;
            let now = START + ms(now_ms);
            let report = report(u64::from(router % 4), sequence as u64 + 1, u32::from(seed));
            peers.insert(now, report.clone());
            last.insert(report.router, (now_ms, report));
            peers.expire(now);

            let unexpired: Vec<_> = last
                .values()
                .filter(|(received_ms, _)| now_ms - received_ms < REPORT_TTL_MS)
                .map(|(_, report)| report)
                .collect();
            let loads = |upstream| {
                let loads = unexpired.iter().flat_map(|report| &report.upstreams);
                loads.filter(move |load| load.upstream == upstream).copied()
            };
            for upstream in 0..3 {
                let sum = peers.load(now, upstream);
                let in_flight: u32 = loads(upstream).map(|load| load.in_flight).sum();
                let pending: u64 = loads(upstream).map(|load| load.pending_tokens).sum();
                if (sum.in_flight, sum.pending_tokens) != (in_flight, pending) {
                    return false;
                }
                let decode: u64 = loads(upstream).map(|load| load.decode_tokens).sum();
                let memory: u64 = loads(upstream).map(|load| load.memory_tokens).sum();
                if (sum.decode_tokens, sum.memory_tokens) != (decode, memory) {
                    return false;
                }
            }
            for workspace in 0..4 {
                let matches = |usage: &&WorkspaceUsage| usage.workspace == workspace;
                let asked: u64 =
                    unexpired.iter().flat_map(|r| &r.workspaces).filter(matches).map(|u| u.asked).sum();
                let sum: u64 =
                    peers.usage().filter(|usage| matches(&usage)).map(|usage| usage.asked).sum();
                if sum != asked {
                    return false;
                }
            }
        }
        true
    }
}
