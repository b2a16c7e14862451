//! Pool of idle connections to upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use sapphirespur_core::collections::HashMap;
use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;

use super::connect::HttpConnection;

/// Time that a connection stays idle before it is reused, so that stray bytes that an upstream
/// sends after the end of a response are detected.
const MIN_IDLE: Duration = Duration::from_millis(15);

/// Fraction of the upstream's advertised idle timeout within which a connection is reused.
const IDLE_TIMEOUT_FRACTION: f64 = 0.5;

/// Time within which a connection is reused when the upstream advertises no idle timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Process instance of an upstream that a connection leads to.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct PoolKey {
    /// Name of the instance.
    pub instance: Name,
    /// Start time of the instance, in milliseconds since the Unix epoch; absent when not reported.
    pub started_ms: Option<u64>,
    /// Address of the upstream's HTTP server.
    pub address: SocketAddr,
}

/// Connection without a request in flight.
#[derive(Debug)]
struct IdleConnection {
    connection: HttpConnection,
    idle_since: Time,
    expires_at: Time,
}

/// Idle connections by upstream instance, the most recently used last.
#[derive(Debug, Default)]
pub(super) struct Pool {
    idle: HashMap<PoolKey, Vec<IdleConnection>>,
}

impl Pool {
    /// Removes and returns the most recently used connection that can be reused.
    pub fn take(&mut self, now: Time, key: &PoolKey) -> Option<HttpConnection> {
        let idle = self.idle.get_mut(key)?;
        idle.retain(|idle| idle.expires_at > now && idle.connection.is_ready());

        let index = idle.iter().rposition(|idle| now.since(idle.idle_since) >= MIN_IDLE)?;
        Some(idle.remove(index).connection)
    }

    /// Adds a connection whose response has ended; `upstream_timeout` is the idle timeout that the
    /// upstream advertises.
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

    /// Closes connections that were idle for too long, and drops closed ones.
    pub fn remove_expired(&mut self, now: Time) {
        self.idle.retain(|_, idle| {
            idle.retain(|idle| idle.expires_at > now && !idle.connection.is_closed());
            !idle.is_empty()
        });
    }

    /// Closes all idle connections to an address.
    pub fn close(&mut self, address: SocketAddr) {
        self.idle.retain(|key, _| key.address != address);
    }

    /// Closes all idle connections.
    pub fn clear(&mut self) {
        self.idle.clear();
    }
}
