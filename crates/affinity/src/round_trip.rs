//! Round-trip time to the servers of a region, and how long to wait for a connection.
//!
//! Load pattern: large responses fill this machine's own link for seconds. Then connections
//! to all servers take longer, and a timeout from the mean alone takes servers for
//! unreachable that are not; their requests go to servers that have not cached the object,
//! over the same link, and time out there. As for the retransmission timeout of TCP
//! (RFC 6298), the timeout follows the deviation and doubles with each timeout in a row.

use std::time::Duration;

/// Weight of a new measurement in the mean, by RFC 6298.
const MEAN_WEIGHT: f64 = 0.125;

/// Weight of a new measurement in the deviation, by RFC 6298.
const DEVIATION_WEIGHT: f64 = 0.25;

/// Deviations above the mean at which a connection counts as not established, by RFC 6298.
const TIMEOUT_DEVIATIONS: f64 = 4.0;

/// Least timeout as a factor of the mean.
const TIMEOUT_MEANS: f64 = 2.0;

/// Added to the timeout for the machines at both ends.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(200);

/// Longest timeout: clients wait a second for a connection of theirs.
const TIMEOUT_MAX: Duration = Duration::from_secs(1);

/// Timeouts in a row that double the timeout: enough to reach [`TIMEOUT_MAX`].
const DOUBLINGS_MAX: u32 = 3;

/// Moving mean and deviation of the round-trip time to a region.
#[derive(Clone, Copy, Debug)]
pub struct RoundTrip {
    mean_ms: f64,
    deviation_ms: f64,
    /// Connections in a row that were not established in time.
    timeouts: u32,
}

impl RoundTrip {
    /// Starts with an assumed time, milliseconds.
    #[must_use]
    pub fn new(mean_ms: f64) -> Self {
        Self {
            mean_ms,
            deviation_ms: 0.0,
            timeouts: 0,
        }
    }

    /// Adds a measurement, milliseconds.
    pub fn record(&mut self, rtt_ms: f64) {
        let error_ms = rtt_ms - self.mean_ms;
        self.deviation_ms += (error_ms.abs() - self.deviation_ms) * DEVIATION_WEIGHT;
        self.mean_ms += error_ms * MEAN_WEIGHT;
        self.timeouts = 0;
    }

    /// Records that a connection was not established in time.
    pub fn record_timeout(&mut self) {
        self.timeouts = (self.timeouts + 1).min(DOUBLINGS_MAX);
    }

    /// Returns the mean, milliseconds.
    #[must_use]
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    /// Returns how long to wait for a new connection.
    #[must_use]
    pub fn connect_timeout(&self) -> Duration {
        let by_deviation_ms = self.mean_ms + self.deviation_ms * TIMEOUT_DEVIATIONS;
        let timeout_ms = by_deviation_ms.max(self.mean_ms * TIMEOUT_MEANS);
        let timeout = Duration::from_secs_f64(timeout_ms.max(0.0) / 1_000.0) + TIMEOUT_MARGIN;
        (timeout * (1 << self.timeouts)).min(TIMEOUT_MAX)
    }
}
