//! When a request that no server takes should come back.

use tokio::time::Instant;
use world::unit::as_ms;

use crate::request::{Full, Request};
use crate::server::Server;
use crate::service::{Context, Service, is_open, whole_ms};

/// Lower bound of the retry time in [`Full`], milliseconds.
const RETRY_AFTER_MIN_MS: f64 = 50.0;

/// Upper bound of the retry time in [`Full`], milliseconds.
const RETRY_AFTER_MAX_MS: f64 = 1_000.0;

impl Service {
    /// Returns the error for a request that no server can take.
    pub fn full(
        &self,
        candidates: usize,
        request: &Request<'_>,
        context: &Context<'_>,
        now: Instant,
    ) -> Full {
        let open = self.servers.values().filter(|s| is_open(s, context));
        let allowed = open.filter(|s| request.allows(&s.place.region));
        Full {
            retry_after_ms: self.retry_after_ms(allowed, now),
            candidates,
        }
    }

    /// Returns when one of the servers is expected to take requests again: after the
    /// average response time, or when the first one that limits its requests allows one.
    fn retry_after_ms<'a>(
        &'a self,
        servers: impl Iterator<Item = &'a Server>,
        now: Instant,
    ) -> u32 {
        let busy_ms = self
            .mean_response_ms
            .clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
        let barred = servers.map(|s| s.barred_for(now)).min();
        let barred_ms = barred.map_or(0, as_ms);
        let retry_ms = whole_ms(busy_ms).max(barred_ms);
        u32::try_from(retry_ms).unwrap_or(u32::MAX)
    }

    /// Returns when a request that servers have just turned away should come back,
    /// milliseconds.
    pub fn retry_after_shed_ms(&self, context: &Context<'_>, now: Instant) -> u32 {
        let open = self.servers.values().filter(|s| is_open(s, context));
        self.retry_after_ms(open, now)
    }
}
