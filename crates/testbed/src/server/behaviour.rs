//! Settings of a stand-in backend server's behaviour, and the random draw that
//! applies them to each request.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};

/// Denominator of shares that are given in thousandths.
const PER_MILLE: u32 = 1_000;

/// Load that a server reports in its announcements.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Report {
    /// The current load.
    #[default]
    Fresh,
    /// The load `report_late_ms` ago.
    Late,
    /// Always zero, whatever runs.
    Zero,
}

/// Response of a server to health checks.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// Always 200.
    #[default]
    Fine,
    /// Always 503.
    Dead,
}

/// Settings of a stand-in backend server's behaviour.
///
/// Whether a share applies is drawn for each request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Shortest service time, microseconds.
    pub base_us: u64,
    /// Mean of the exponentially distributed time added to `base_us`, microseconds.
    pub spread_us: u64,
    /// Share of requests that run much longer than usual, thousandths.
    pub straggler_per_mille: u32,
    /// Factor on the service time of stragglers.
    pub straggler_factor: u32,
    /// Factor on the service time while the server is slowed.
    pub slow_factor: u32,
    /// Length of each slow period, milliseconds.
    pub slow_for_ms: u64,
    /// Time between the starts of two slow periods, milliseconds; 0: always slowed.
    pub slow_every_ms: u64,
    /// Number of first requests that run with a cold cache.
    pub cold_requests: u64,
    /// Factor on the service time while the cache is cold.
    pub cold_factor: u32,
    /// Size of the response body, bytes; 0: a small JSON response.
    pub body_bytes: u64,
    /// Rate at which a response body is sent, bytes per second; 0: not limited.
    pub body_bytes_per_s: u64,
    /// Maximum number of requests that wait for a slot; further requests are refused.
    pub queue: u32,
    /// Load that announcements report.
    pub report: Report,
    /// Age of a late load report, milliseconds.
    pub report_late_ms: u64,
    /// Response of `/health`.
    pub health: Health,
    /// Share of requests that fail with status 500, thousandths.
    pub fail_per_mille: u32,
    /// Share of responses with another request's id and content, thousandths.
    pub cross_per_mille: u32,
    /// Share of responses with a truncated body, thousandths.
    pub cut_per_mille: u32,
    /// Share of responses with status 600, which HTTP does not have, thousandths.
    pub odd_status_per_mille: u32,
    /// Share of responses that are delayed after the run, thousandths.
    pub late_per_mille: u32,
    /// Delay of a late response, milliseconds.
    pub late_ms: u64,
    /// Whether the server announces that it is draining.
    pub draining: bool,
    /// Whether the server sends no announcements, as when its announcer hangs.
    pub mute: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            base_us: 1_000,
            spread_us: 0,
            straggler_per_mille: 0,
            straggler_factor: 20,
            slow_factor: 1,
            slow_for_ms: 0,
            slow_every_ms: 0,
            cold_requests: 0,
            cold_factor: 5,
            body_bytes: 0,
            body_bytes_per_s: 0,
            queue: 16,
            report: Report::Fresh,
            report_late_ms: 2_000,
            health: Health::Fine,
            fail_per_mille: 0,
            cross_per_mille: 0,
            cut_per_mille: 0,
            odd_status_per_mille: 0,
            late_per_mille: 0,
            late_ms: 0,
            draining: false,
            mute: false,
        }
    }
}

/// Behaviour drawn for one request.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent faults of one response"
)]
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DrawnBehaviour {
    /// Service time.
    pub service_time: Duration,
    /// Delay of the response after the run.
    pub late: Duration,
    /// Whether the request fails with status 500.
    pub failed: bool,
    /// Whether the response has another request's id and content.
    pub crossed: bool,
    /// Whether the response body is truncated.
    pub cut: bool,
    /// Whether the response has a status that HTTP does not have.
    pub odd_status: bool,
}

impl Behaviour {
    /// Draws the behaviour of one request.
    ///
    /// `started` is the number of requests that ran before it, `age` the time since
    /// the server's start.
    pub fn draw(&self, rng: &mut StdRng, started: u64, age: Duration) -> DrawnBehaviour {
        let unit: f64 = rng.random();
        let spread = -(1.0 - unit).ln();
        let straggler = random_bool(rng, self.straggler_per_mille);
        let mut factor = 1;
        if straggler {
            factor *= self.straggler_factor;
        }
        if self.is_slow(age) {
            factor *= self.slow_factor;
        }
        if started < self.cold_requests {
            factor *= self.cold_factor;
        }
        let normal_time = Duration::from_micros(self.base_us)
            + Duration::from_micros(self.spread_us).mul_f64(spread);
        let late = random_bool(rng, self.late_per_mille);
        DrawnBehaviour {
            service_time: normal_time * factor,
            late: Duration::from_millis(if late { self.late_ms } else { 0 }),
            failed: random_bool(rng, self.fail_per_mille),
            crossed: random_bool(rng, self.cross_per_mille),
            cut: random_bool(rng, self.cut_per_mille),
            odd_status: random_bool(rng, self.odd_status_per_mille),
        }
    }

    /// Whether the server is in a slow period at this age.
    fn is_slow(&self, age: Duration) -> bool {
        if self.slow_every_ms == 0 {
            return true;
        }
        let age_ms = world::unit::as_ms(age);
        age_ms % self.slow_every_ms < self.slow_for_ms
    }
}

fn random_bool(rng: &mut StdRng, per_mille: u32) -> bool {
    rng.random_range(0..PER_MILLE) < per_mille
}
