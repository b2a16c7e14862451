//! Small deployment like the one of the sheet `katharotis-rounds`: four routers, nine model runners
//! and three runners of the plain service in three zones.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use crate::fleet::{Place, Router, Sheet};
use crate::runner::Runner;
use crate::store::Store;

/// Zones of the sheet, and how many routers each has.
pub const ZONES: [(&str, u8); 3] = [("piraeus", 2), ("marousi", 1), ("glyfada", 1)];

/// Machines whose addresses are seeds, counted from the first.
pub const SEEDS: u8 = 3;

/// Host of all routes.
pub const HOST: &str = "ficu95.example";

/// Key of the tenant `hule930`.
pub const KEY: &str = "asnmgkcuyj8pjbvk9m68";

/// Headers of a request for a model, as whole lines; the last part of the prompt is its own.
pub fn model_headers(own_part: u64) -> String {
    format!(
        "Api-Key: {KEY}\r\nX-Sapphirespur-Model-Name: m\r\nX-Sapphirespur-Token-Usage: 826,288\r\n\
         X-Sapphirespur-Prompt-Prefix-Hash: 5c1e07a2:119,91bd3f06:79,{own_part:08x}:628\r\n"
    )
}

/// Returns a configuration with the routes of the sheet:
/// `/plan/` (stream, runs once), `/quote/` (stream that may be resumed), `/book/` (may not be
/// repeated) and `/lookup/` (may be repeated).
pub fn config(version: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u64, more: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeout_ms\":{timeout},\"service\":\"{service}\",{more}}}"
        )
    };
    let routes = [
        route(
            "plan",
            "streaming",
            "drafting",
            15_000,
            "\"target_latency_ms\":800,\"priority\":1,\
            \"attempts\":1,\"anonymous_access\":false,\"session_affinity\":true,\
            \"stream_resumption\":false,\"gap_target_ms\":400",
        ),
        route(
            "quote",
            "streaming",
            "drafting",
            12_000,
            "\"target_latency_ms\":400,\"priority\":1,\
            \"attempts\":2,\"anonymous_access\":false,\"session_affinity\":true,\
            \"stream_resumption\":true,\"gap_target_ms\":400",
        ),
        route(
            "book",
            "non_idempotent",
            "office-app",
            15_000,
            "\"target_latency_ms\":150,\
            \"priority\":2,\"attempts\":1,\"anonymous_access\":true",
        ),
        route(
            "lookup",
            "idempotent",
            "office-app",
            15_000,
            "\"target_latency_ms\":150,\
            \"priority\":2,\"attempts\":2,\"anonymous_access\":true",
        ),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"drafting\",\"health_path\":\"/health\",\"connection_limit\":360,\
         \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":10.0,\
         \"inference_engine\":{{\"slots\":64,\"kv_cache_tokens\":392589,\"token_bytes\":18432,\
         \"link_bandwidth_mbps\":370000.0,\"stride\":6,\"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"office-app\",\"health_path\":\"/health\",\"connection_limit\":100,\
         \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tokens_per_s\":190000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

/// Store and routers of a case.
pub struct Scene {
    pub routers: Vec<Router>,
    pub store: Store,
    pub place: Place,
}

impl Scene {
    /// Starts a store with the configuration and the runners' entries, and the routers; waits until all
    /// of them are ready.
    pub fn start(place: Place, runners: &[Arc<Runner>], sheet: &Sheet) -> io::Result<Self> {
        let seeds: Vec<String> = (1..=SEEDS).map(|host| place.ip(host)).collect();
        Self::start_with_seeds(place, runners, sheet, &seeds)
    }

    /// Starts the same with other seeds, which may be stale or down.
    pub fn start_with_seeds(
        place: Place,
        runners: &[Arc<Runner>],
        sheet: &Sheet,
        seeds: &[String],
    ) -> io::Result<Self> {
        let store = Store::start(&place.ip(200))?;
        store.put("op/config", &config(7));
        for runner in runners {
            store.put(&runner.key(), &runner.entry("ready"));
        }
        let mut routers = Vec::new();
        for (zone, count) in ZONES {
            for _ in 0..count {
                let host = routers.len() as u8 + 1;
                routers.push(Router::start(&place, (host, zone), seeds, store.address, sheet)?);
            }
        }
        if !routers.iter().all(Router::wait_until_ready) {
            return Err(io::Error::other("a router did not become ready"));
        }
        Ok(Self { routers, store, place })
    }

    /// Writes the runners' entries once a heartbeat, as long as they are `ready`.
    pub fn keep_entries(&self, runners: &[Arc<Runner>]) {
        let (store, runners) = (self.store.clone(), runners.to_vec());
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(1_200));
                for runner in &runners {
                    if runner.is_listed() {
                        store.put(&runner.key(), &runner.entry("ready"));
                    }
                }
            }
        });
    }
}
