//! Checks whether a pooled connection is still usable.
//!
//! A connection can become unresponsive without being closed, so a connection
//! that was idle for too long carries no new request.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use world::ServerName;
use world::unit::ms;

use crate::work::Work;

/// Settings of [`ConnectionTrust`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConnectionTrustSettings {
    /// Idle time up to which a connection is reused for idempotent work, milliseconds.
    pub idle_ms: u64,
    /// Idle time up to which a connection is reused for other work, milliseconds.
    pub idle_once_ms: u64,
    /// Shortest wait for the first byte on a reused connection, milliseconds.
    pub silent_min_ms: u64,
    /// Wait for the first byte on a reused connection, as a multiple of the
    /// service's mean latency.
    pub silent_factor: f64,
}

impl Default for ConnectionTrustSettings {
    fn default() -> Self {
        Self {
            idle_ms: 2_000,
            idle_once_ms: 100,
            silent_min_ms: 500,
            silent_factor: 10.0,
        }
    }
}

/// When a connection was opened and last received a byte.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionAge {
    /// When the connection was opened.
    pub opened_at: Instant,
    /// When the last byte was received.
    pub last_byte_at: Instant,
}

/// Decides whether a pooled connection may carry a request, from its idle time and
/// from unresponsive connections to the same server.
#[derive(Debug)]
pub struct ConnectionTrust {
    settings: ConnectionTrustSettings,
    /// Latest time since which a connection to the server has been unresponsive.
    unresponsive_since: HashMap<ServerName, Instant>,
}

impl ConnectionTrust {
    /// Creates a table without unresponsive connections.
    #[must_use]
    pub fn new(settings: ConnectionTrustSettings) -> Self {
        Self {
            settings,
            unresponsive_since: HashMap::new(),
        }
    }

    /// Whether a connection to `server` may carry `work`.
    #[must_use]
    pub fn allows(
        &self,
        now: Instant,
        server: &ServerName,
        age: ConnectionAge,
        work: &Work,
    ) -> bool {
        let idle_ms = if work.idempotent {
            self.settings.idle_ms
        } else {
            self.settings.idle_once_ms
        };
        now < age.last_byte_at + ms(idle_ms) && !self.may_be_unresponsive(server, age)
    }

    /// Timeout for the first byte of a response on a reused connection.
    ///
    /// Idempotent work is then retried over a new connection.
    #[must_use]
    pub fn first_byte_timeout(&self, typical: Duration) -> Duration {
        let timeout = typical.mul_f64(self.settings.silent_factor);
        timeout.max(ms(self.settings.silent_min_ms))
    }

    /// Whether a connection to `server` became unresponsive after the connection with
    /// this `age` was opened and last received a byte.
    #[must_use]
    pub fn may_be_unresponsive(&self, server: &ServerName, age: ConnectionAge) -> bool {
        self.unresponsive_since
            .get(server)
            .is_some_and(|since| age.last_byte_at <= *since && age.opened_at <= *since)
    }

    /// Records that a connection to `server` has been unresponsive since it was
    /// sent a request at `since`.
    ///
    /// Connections to the same server without a later byte count as unresponsive.
    pub fn mark_unresponsive(&mut self, server: &ServerName, since: Instant) {
        let latest = self
            .unresponsive_since
            .entry(server.clone())
            .or_insert(since);
        *latest = (*latest).max(since);
    }

    /// Removes records that are older than the idle time of any reusable connection.
    pub fn expire(&mut self, now: Instant) {
        let idle = ms(self.settings.idle_ms.max(self.settings.idle_once_ms));
        self.unresponsive_since
            .retain(|_, since| now < *since + idle);
    }
}
