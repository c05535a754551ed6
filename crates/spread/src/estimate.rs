//! Expected time to an answer.

use tokio::time::Instant;

use crate::server::Server;

/// Work on an object that a server does not remember, relative to typical
/// work, which is mostly on remembered objects.
const FORGOTTEN: f64 = 2.5;

/// Added to that for what the server forgets instead, relative to typical work.
const DISPLACED: f64 = 1.0;

/// Work on a cold server, relative to usual work.
const COLD: f64 = 2.0;

/// Weight of the share of failures on the expected time.
const FAILURES: f64 = 5.0;

/// Typical answers that a server may take before its silence counts.
const SILENT_AFTER: f64 = 4.0;

/// How a server stands for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Standing {
    /// Typical time of an answer of the service, milliseconds.
    pub typical_ms: f64,
    /// Time to the server and back, milliseconds.
    pub way_ms: f64,
    /// Whether the server likely remembers the object.
    pub remembers: bool,
}

/// Expected time to an answer, milliseconds; for choice, not for promises.
pub(crate) fn cost_ms(server: &Server, standing: Standing, now: Instant) -> f64 {
    let Standing {
        typical_ms,
        way_ms,
        remembers,
    } = standing;
    let mut work = typical_ms * server.pace(now);
    if server.is_cold(now) {
        work *= COLD;
    }
    let slots = f64::from(server.slots.max(1));
    let ahead = (server.busy(now) + 1.0 - slots).max(0.0) / slots;
    let wait = ahead * work;
    if !remembers {
        work *= FORGOTTEN + DISPLACED;
    }
    let silent = (server.silence_ms(now) - SILENT_AFTER * typical_ms).max(0.0);
    (way_ms + work + wait + silent) * (1.0 + FAILURES * server.failures(now))
}
