//! Pacing: keeps large responses below the rate of this machine's link, so that
//! short messages never wait behind a queue of them.

use std::time::Duration;

use tokio::time::Instant;
use world::unit::as_ms;
use world::{LockRank, RankedMutex};

/// Share of the link's rate that is used; the rest is for packet headers and
/// for traffic that is not counted here.
const USED_SHARE: f64 = 0.85;

/// Burst that may be sent at once, as transmission time: short against latency
/// objectives, and long against the timer's resolution.
const BURST: Duration = Duration::from_millis(60);

/// Bodies up to this size are sent at once; they are counted but not paced.
pub const SHORT_MAX_BYTES: usize = 16 * 1024;

/// Size of the chunks in which a large body is sent.
pub const CHUNK_BYTES: usize = 8 * 1024;

/// Rate limiter for one direction of the link.
#[derive(Debug)]
pub struct Pacer {
    bytes_per_s: f64,
    usage: RankedMutex<Usage>,
}

#[derive(Debug)]
struct Usage {
    /// When the link will have transmitted all counted bytes.
    free_at: Instant,
    /// Transmission time of the bytes counted since `measured_since`.
    used: Duration,
    measured_since: Instant,
}

impl Pacer {
    /// A limiter for a link with this rate.
    #[must_use]
    pub fn new(bytes_per_s: f64) -> Self {
        let now = Instant::now();
        let usage = Usage {
            free_at: now,
            used: Duration::ZERO,
            measured_since: now,
        };
        Self {
            bytes_per_s: bytes_per_s * USED_SHARE,
            usage: RankedMutex::new(LockRank::Budgets, usage),
        }
    }

    /// Counts bytes; returns when the next ones may be sent.
    pub fn count(&self, bytes: usize) -> Instant {
        let now = Instant::now();
        let transmit_time = self.transmit_time(bytes);
        let mut usage = self.usage.lock();
        usage.used += transmit_time;
        usage.free_at = usage.free_at.max(now) + transmit_time;
        usage
            .free_at
            .checked_sub(BURST)
            .map_or(now, |at| at.max(now))
    }

    /// Subtracts bytes that were counted but not transmitted.
    pub fn refund(&self, bytes: usize) {
        let transmit_time = self.transmit_time(bytes);
        let mut usage = self.usage.lock();
        usage.used = usage.used.saturating_sub(transmit_time);
        if let Some(at) = usage.free_at.checked_sub(transmit_time) {
            usage.free_at = at;
        }
    }

    /// Time until the link will have transmitted all counted bytes.
    #[must_use]
    pub fn backlog(&self) -> Duration {
        let free_at = self.usage.lock().free_at;
        free_at.saturating_duration_since(Instant::now())
    }

    /// Share of the link used since the last call, percent.
    pub fn take_busy_percent(&self) -> u64 {
        let now = Instant::now();
        let mut usage = self.usage.lock();
        let used = std::mem::take(&mut usage.used);
        let since = now.saturating_duration_since(usage.measured_since);
        usage.measured_since = now;
        100 * as_ms(used) / as_ms(since).max(1)
    }

    /// Returns how long the link takes for these bytes.
    #[must_use]
    pub fn transmit_time(&self, bytes: usize) -> Duration {
        let bytes = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        Duration::from_secs_f64(bytes / self.bytes_per_s)
    }
}
