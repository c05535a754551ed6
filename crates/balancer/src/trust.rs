//! Trust in pooled connections, which can go silent for good.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use world::ServerName;
use world::unit::ms;

use crate::work::Work;

/// Settings of [`Trust`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TrustSettings {
    /// Time after its last byte for which a connection is trusted, milliseconds.
    pub idle_ms: u64,
    /// The same for work that may run only once, milliseconds.
    pub idle_once_ms: u64,
    /// Least time without a first byte after which a connection counts as silent, milliseconds.
    pub silent_min_ms: u64,
    /// The same time, in typical latencies.
    pub silent_factor: f64,
}

impl Default for TrustSettings {
    fn default() -> Self {
        Self {
            idle_ms: 2_000,
            idle_once_ms: 100,
            silent_min_ms: 500,
            silent_factor: 10.0,
        }
    }
}

/// When a connection was opened and when its last byte came in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionAge {
    /// When it was opened.
    pub opened_at: Instant,
    /// When the last byte came in.
    pub last_byte_at: Instant,
}

/// Decides whether a pooled connection may carry a request.
#[derive(Debug)]
pub struct Trust {
    settings: TrustSettings,
    silent_since: HashMap<ServerName, Instant>,
}

impl Trust {
    /// No silent connection is known.
    #[must_use]
    pub fn new(settings: TrustSettings) -> Self {
        Self {
            settings,
            silent_since: HashMap::new(),
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
        now < age.last_byte_at + ms(idle_ms) && !self.is_suspect(server, age)
    }

    /// Time for which a reused connection may keep a request without a first
    /// byte; idempotent work is then sent again over a new connection.
    #[must_use]
    pub fn patience(&self, typical: Duration) -> Duration {
        let bound = typical.mul_f64(self.settings.silent_factor);
        bound.max(ms(self.settings.silent_min_ms))
    }

    /// Whether a sibling went silent after this connection's last byte.
    #[must_use]
    pub fn is_suspect(&self, server: &ServerName, age: ConnectionAge) -> bool {
        self.silent_since
            .get(server)
            .is_some_and(|since| age.last_byte_at <= *since && age.opened_at <= *since)
    }

    /// Takes in that a connection to `server` has been silent since it was
    /// given a request at `since`: every sibling without a later byte is suspect.
    pub fn silent(&mut self, server: &ServerName, since: Instant) {
        let held = self.silent_since.entry(server.clone()).or_insert(since);
        *held = (*held).max(since);
    }

    /// Forgets marks that no trusted connection can be old enough for.
    pub fn expire(&mut self, now: Instant) {
        let idle = ms(self.settings.idle_ms.max(self.settings.idle_once_ms));
        self.silent_since.retain(|_, since| now < *since + idle);
    }
}
