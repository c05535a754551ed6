//! Keeps the bytes of large answers under the rate of this machine's link, so
//! that short messages never wait behind a queue of them.

use std::time::Duration;

use tokio::time::Instant;
use world::unit::as_ms;
use world::{Rank, Ranked};

/// Share of the link's rate that is used; the rest is for headers of packets
/// and for what is not counted here.
const USED_SHARE: f64 = 0.85;

/// Time of the rate that may be sent at once: short against the aims of
/// answers, and long against the clock's ticks.
const BURST: Duration = Duration::from_millis(60);

/// Bodies up to this size go at once; they are only counted.
pub const SHORT_MAX_BYTES: usize = 16 * 1024;

/// Bytes of a large body that go in one piece.
pub const PIECE_BYTES: usize = 8 * 1024;

/// One direction of a link.
#[derive(Debug)]
pub struct Pace {
    bytes_per_s: f64,
    table: Ranked<Table>,
}

#[derive(Debug)]
struct Table {
    /// When all that was counted so far has passed the link.
    free_at: Instant,
    /// Time of the link that was counted since `asked_at`.
    used: Duration,
    asked_at: Instant,
}

impl Pace {
    /// A link of this rate.
    #[must_use]
    pub fn new(bytes_per_s: f64) -> Self {
        let now = Instant::now();
        let table = Table {
            free_at: now,
            used: Duration::ZERO,
            asked_at: now,
        };
        Self {
            bytes_per_s: bytes_per_s * USED_SHARE,
            table: Ranked::new(Rank::Budgets, table),
        }
    }

    /// Counts bytes; gives when the next ones may go.
    pub fn count(&self, bytes: usize) -> Instant {
        let now = Instant::now();
        let takes = self.takes(bytes);
        let mut table = self.table.lock();
        table.used += takes;
        table.free_at = table.free_at.max(now) + takes;
        table
            .free_at
            .checked_sub(BURST)
            .map_or(now, |at| at.max(now))
    }

    /// Takes back bytes that were counted and did not come.
    pub fn give_back(&self, bytes: usize) {
        let takes = self.takes(bytes);
        let mut table = self.table.lock();
        table.used = table.used.saturating_sub(takes);
        if let Some(at) = table.free_at.checked_sub(takes) {
            table.free_at = at;
        }
    }

    /// Time until all that was counted so far has passed the link.
    #[must_use]
    pub fn ahead(&self) -> Duration {
        let free_at = self.table.lock().free_at;
        free_at.saturating_duration_since(Instant::now())
    }

    /// Share of the link that was used since the last call, percent.
    pub fn take_busy_percent(&self) -> u64 {
        let now = Instant::now();
        let mut table = self.table.lock();
        let used = std::mem::take(&mut table.used);
        let since = now.saturating_duration_since(table.asked_at);
        table.asked_at = now;
        100 * as_ms(used) / as_ms(since).max(1)
    }

    fn takes(&self, bytes: usize) -> Duration {
        let bytes = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        Duration::from_secs_f64(bytes / self.bytes_per_s)
    }
}
