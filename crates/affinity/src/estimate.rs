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

/// Time until a server could begin to work on a request, and the way there and
/// back, milliseconds.
pub(crate) fn start_ms(server: &Server, standing: Standing, now: Instant) -> f64 {
    standing.way_ms + wait_ms(server, standing.typical_ms, now)
}

/// Time that work waits for a slot, by what is at the server now.
fn wait_ms(server: &Server, typical_ms: f64, now: Instant) -> f64 {
    let slots = f64::from(server.slots.max(1));
    let ahead = (server.busy(now) + 1.0 - slots).max(0.0) / slots;
    ahead * work_ms(server, typical_ms, now)
}

fn work_ms(server: &Server, typical_ms: f64, now: Instant) -> f64 {
    let slowed = if server.is_cold(now) { COLD } else { 1.0 };
    typical_ms * server.pace(now) * slowed
}

/// What an answer from the server costs, in milliseconds: the time until it
/// comes, and what it takes away from other requests. For choice only.
pub(crate) fn cost_ms(server: &Server, standing: Standing, now: Instant) -> f64 {
    let Standing {
        typical_ms,
        way_ms,
        remembers,
    } = standing;
    let wait = wait_ms(server, typical_ms, now);
    let mut work = work_ms(server, typical_ms, now);
    if !remembers {
        work *= FORGOTTEN + DISPLACED;
    }
    let silent = (server.silence_ms(now) - SILENT_AFTER * typical_ms).max(0.0);
    (way_ms + work + wait + silent) * (1.0 + FAILURES * server.failures(now))
}
