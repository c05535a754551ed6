//! How a stand-in backend server behaves.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};

/// Thousandths in a whole.
const PER_MILLE: u32 = 1_000;

/// What a server says about its load.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Report {
    /// The truth of now.
    #[default]
    Fresh,
    /// The truth of `report_late_ms` ago.
    Late,
    /// Always nothing running.
    Zero,
}

/// What a server says about its health.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// Always fine.
    #[default]
    Fine,
    /// Always dead.
    Dead,
}

/// Every knob of a stand-in backend server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Least service time, microseconds.
    pub base_us: u64,
    /// Mean of the exponential part of the service time, microseconds.
    pub spread_us: u64,
    /// Share of requests that are stragglers, thousandths.
    pub straggler_per_mille: u32,
    /// Times longer that a straggler runs.
    pub straggler_factor: u32,
    /// Times longer that requests run while the server is slowed.
    pub slow_factor: u32,
    /// Length of a slow spell, milliseconds.
    pub slow_for_ms: u64,
    /// Time from one slow spell to the next, milliseconds; 0: slow for good.
    pub slow_every_ms: u64,
    /// Requests that find the cache cold after a start.
    pub cold_requests: u64,
    /// Times longer that a request runs while the cache is cold.
    pub cold_factor: u32,
    /// Size of the body of a download; 0: a small JSON answer.
    pub body_bytes: u64,
    /// Rate of a download; 0: as fast as it goes.
    pub body_bytes_per_s: u64,
    /// Requests that may wait for a slot; more are shed.
    pub queue: u32,
    /// What the load report says.
    pub report: Report,
    /// Age of a late load report, milliseconds.
    pub report_late_ms: u64,
    /// What `/health` says.
    pub health: Health,
    /// Share of requests that fail with 500, thousandths.
    pub fail_per_mille: u32,
    /// Share of answers that carry another request's id and content, thousandths.
    pub cross_per_mille: u32,
    /// Share of answers whose body ends early, thousandths.
    pub cut_per_mille: u32,
    /// Share of answers that are held back after the run, thousandths.
    pub late_per_mille: u32,
    /// Time that a late answer is held back, milliseconds.
    pub late_ms: u64,
    /// Whether the server announces that it is leaving.
    pub draining: bool,
    /// Whether announcements stop, as when their sender hangs.
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
            late_per_mille: 0,
            late_ms: 0,
            draining: false,
            mute: false,
        }
    }
}

/// What chance decided for one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fate {
    /// How long it runs.
    pub service: Duration,
    /// How long its answer is held back.
    pub late: Duration,
    /// Whether it fails with 500.
    pub failed: bool,
    /// Whether its answer is another request's.
    pub crossed: bool,
    /// Whether its body ends early.
    pub cut: bool,
}

impl Behaviour {
    /// Decides the fate of the `started`-th request, `age` after the server's start.
    pub fn fate(&self, rng: &mut StdRng, started: u64, age: Duration) -> Fate {
        let unit: f64 = rng.random();
        let spread = -(1.0 - unit).ln();
        let straggler = hit(rng, self.straggler_per_mille);
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
        let once = Duration::from_micros(self.base_us)
            + Duration::from_micros(self.spread_us).mul_f64(spread);
        let late = hit(rng, self.late_per_mille);
        Fate {
            service: once * factor,
            late: Duration::from_millis(if late { self.late_ms } else { 0 }),
            failed: hit(rng, self.fail_per_mille),
            crossed: hit(rng, self.cross_per_mille),
            cut: hit(rng, self.cut_per_mille),
        }
    }

    /// Whether a slow spell is on.
    fn is_slow(&self, age: Duration) -> bool {
        if self.slow_every_ms == 0 {
            return true;
        }
        let age_ms = world::unit::as_ms(age);
        age_ms % self.slow_every_ms < self.slow_for_ms
    }
}

fn hit(rng: &mut StdRng, per_mille: u32) -> bool {
    rng.random_range(0..PER_MILLE) < per_mille
}
