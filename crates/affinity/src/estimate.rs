//! Estimates the cost of sending a request to a server, from its load, network
//! delay, failures and whether it has the object cached.

use tokio::time::Instant;

use crate::server::Server;

/// Processing time for an object that the server has not cached, relative to the
/// average response time, which is mostly for cached objects.
const UNCACHED_FACTOR: f64 = 2.5;

/// Added to [`UNCACHED_FACTOR`] for the time to load the evicted object again,
/// relative to the average response time.
const EVICTION_FACTOR: f64 = 1.0;

/// Processing time on a cold server, relative to a warm one.
const COLD_FACTOR: f64 = 2.0;

/// Factor on the failure rate in the cost.
const FAILURE_FACTOR: f64 = 5.0;

/// Time without a response, in average response times, after which more of it
/// adds to the cost.
const UNRESPONSIVE_TOLERANCE: f64 = 4.0;

/// What the cost of a server depends on besides the server's own state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CostInputs {
    /// Average response time of the service, milliseconds.
    pub mean_response_ms: f64,
    /// Round-trip time to the server, milliseconds.
    pub rtt_ms: f64,
    /// Whether the server likely has the object cached.
    pub cached: bool,
}

/// Returns the round-trip time plus the expected wait for a slot, milliseconds.
pub(crate) fn expected_start_ms(server: &Server, inputs: CostInputs, now: Instant) -> f64 {
    inputs.rtt_ms + wait_ms(server, inputs.mean_response_ms, now)
}

/// Returns the expected wait for a slot at the server's present load, milliseconds.
fn wait_ms(server: &Server, mean_response_ms: f64, now: Instant) -> f64 {
    let slots = f64::from(server.slots.max(1));
    let ahead = (server.load(now) + 1.0 - slots).max(0.0) / slots;
    ahead * processing_ms(server, mean_response_ms, now)
}

/// Returns the processing time at the server's present speed, milliseconds.
fn processing_ms(server: &Server, mean_response_ms: f64, now: Instant) -> f64 {
    let cold_factor = if server.is_cold(now) {
        COLD_FACTOR
    } else {
        1.0
    };
    mean_response_ms * server.slowdown(now) * cold_factor
}

/// Returns the cost of a response from the server, in milliseconds: the
/// expected time, plus the time lost by other requests. It is only for
/// comparing servers.
pub(crate) fn cost_ms(server: &Server, inputs: CostInputs, now: Instant) -> f64 {
    let CostInputs {
        mean_response_ms,
        rtt_ms,
        cached,
    } = inputs;
    let wait = wait_ms(server, mean_response_ms, now);
    let mut processing = processing_ms(server, mean_response_ms, now);
    if !cached {
        processing *= UNCACHED_FACTOR + EVICTION_FACTOR;
    }
    let excess_ms =
        (server.unresponsive_ms(now) - UNRESPONSIVE_TOLERANCE * mean_response_ms).max(0.0);
    (rtt_ms + processing + wait + excess_ms) * (1.0 + FAILURE_FACTOR * server.failure_rate(now))
}
