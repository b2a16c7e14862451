//! Kept connections to upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use sapphirespur_core::collections::HashMap;
use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;

use super::connect::HttpConnection;

/// Time that a connection rests before it is used again: bytes that an upstream sends after the
/// end of an answer come to light by then.
const MIN_IDLE: Duration = Duration::from_millis(15);

/// Part of the idle time that an upstream allows in which a connection is used again.
const IDLE_TIMEOUT_FRACTION: f64 = 0.5;

/// Idle time when the upstream does not tell what it allows.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Connections to one start of an upstream.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct PoolKey {
    /// Name of the upstream's start.
    pub instance: Name,
    /// Start time, in milliseconds since the Unix epoch.
    pub started_ms: Option<u64>,
    /// Address.
    pub address: SocketAddr,
}

/// Connection that waits for a request.
#[derive(Debug)]
struct IdleConnection {
    connection: HttpConnection,
    idle_since: Time,
    expires_at: Time,
}

/// Kept connections.
#[derive(Debug, Default)]
pub(super) struct Pool {
    idle: HashMap<PoolKey, Vec<IdleConnection>>,
}

impl Pool {
    /// Takes the connection that was used last and can be used again.
    pub fn take(&mut self, now: Time, key: &PoolKey) -> Option<HttpConnection> {
        let idle = self.idle.get_mut(key)?;
        idle.retain(|idle| idle.expires_at > now && idle.connection.is_ready());

        let index = idle.iter().rposition(|idle| now.since(idle.idle_since) >= MIN_IDLE)?;
        Some(idle.remove(index).connection)
    }

    /// Keeps a connection whose answer has ended.
    pub fn put(
        &mut self,
        now: Time,
        key: PoolKey,
        connection: HttpConnection,
        upstream_timeout: Option<Duration>,
    ) {
        let idle_timeout = upstream_timeout
            .map_or(DEFAULT_IDLE_TIMEOUT, |timeout| timeout.mul_f64(IDLE_TIMEOUT_FRACTION));
        let idle = IdleConnection { connection, idle_since: now, expires_at: now + idle_timeout };
        self.idle.entry(key).or_default().push(idle);
    }

    /// Closes connections that were idle for too long or have failed.
    pub fn remove_expired(&mut self, now: Time) {
        self.idle.retain(|_, idle| {
            idle.retain(|idle| idle.expires_at > now && !idle.connection.is_closed());
            !idle.is_empty()
        });
    }

    /// Closes all idle connections of an address.
    pub fn close(&mut self, address: SocketAddr) {
        self.idle.retain(|key, _| key.address != address);
    }

    /// Closes all idle connections.
    pub fn clear(&mut self) {
        self.idle.clear();
    }
}
