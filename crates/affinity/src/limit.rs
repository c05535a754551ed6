//! A limit that a backend server names: the requests that it takes from all entry VMs
//! together. Each entry VM computes its own part of it from what all of them know, so
//! that the parts add up to the limit without a message for each request.

use std::time::Duration;

use discovery::finding::LIMIT_LIFETIME;
use tokio::time::Instant;
use world::unit::ms;

use crate::cold::SendWindow;

/// Shortest window in which requests are counted. A shorter one would leave an entry VM
/// with fractions of requests, a longer one lets it send more of them at once.
const WINDOW_MIN: Duration = Duration::from_secs(4);

/// Fewest requests in a window: with a lower limit the window is longer.
const WINDOW_REQUESTS_MIN: u64 = 4;

/// The limit of a server.
#[derive(Clone, Debug)]
pub(crate) struct Limit {
    /// Requests from all entry VMs together, in 1,000 s.
    pub per_1000_s: u64,
    /// When a response to any entry VM last named it.
    pub named_at: Instant,
    /// Requests that this entry VM may send in a window.
    pub quota: usize,
    sends: SendWindow,
}

impl Limit {
    /// Creates a limit of which this entry VM has no part yet.
    pub fn new(per_1000_s: u64, named_at: Instant) -> Self {
        Self {
            per_1000_s,
            named_at,
            quota: 0,
            sends: SendWindow::default(),
        }
    }

    /// Returns the window in which requests are counted.
    fn window(&self) -> Duration {
        let slow_ms = WINDOW_REQUESTS_MIN * 1_000_000 / self.per_1000_s.max(1);
        ms(slow_ms).max(WINDOW_MIN)
    }

    /// Returns the requests that all entry VMs together may send in a window.
    pub fn total(&self) -> f64 {
        let per_1000_s = f64::from(u32::try_from(self.per_1000_s).unwrap_or(u32::MAX));
        per_1000_s / 1_000.0 * self.window().as_secs_f64()
    }

    /// Returns the time until this entry VM may send another request: at most until the
    /// limit ends, if it has no part of it.
    pub fn wait(&self, now: Instant) -> Duration {
        let wait = self.sends.wait(self.quota, self.window(), now);
        wait.min(LIMIT_LIFETIME)
    }

    /// Records a request.
    pub fn record(&mut self, now: Instant) {
        self.sends.forget(self.window(), now);
        self.sends.record(now);
    }

    /// Returns whether no response has named the limit for long.
    pub fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.named_at) > LIMIT_LIFETIME
    }
}

/// Entry VMs of one region.
#[derive(Clone, Copy, Debug)]
pub struct RegionDemand {
    /// Number of entry VMs.
    pub entry_vms: usize,
    /// Share of each one's requests that falls to the server's region.
    pub weight: f64,
}

/// Returns the requests per window that an entry VM of region `own` may send, of `total`
/// that all entry VMs together may send.
///
/// The entry VMs of a region get equal parts, rounded down; the first ones, by `rank` in
/// an order that differs by server, get one more as far as the region's part allows.
#[must_use]
pub fn quota(total: f64, regions: &[RegionDemand], own: RegionDemand, rank: usize) -> usize {
    let demand = |region: &RegionDemand| count(region.entry_vms) * region.weight;
    let all: f64 = regions.iter().map(demand).sum();
    if all <= 0.0 {
        return 0;
    }
    let part = total * own.weight / all;
    let more = count(own.entry_vms) * part.fract();
    whole(part) + usize::from(rank < whole(more))
}

fn count(things: usize) -> f64 {
    f64::from(u32::try_from(things).unwrap_or(u32::MAX))
}

/// Whole part of a number of requests.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and a number of requests is not negative"
)]
fn whole(requests: f64) -> usize {
    requests as usize
}
