//! Keeps the bytes of large answers under the rate of this machine's link, so
//! that short messages never wait behind a queue of them.

use std::time::Duration;

use tokio::time::Instant;
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
    /// When all that was counted so far has passed the link.
    free_at: Ranked<Instant>,
}

impl Pace {
    /// A link of this rate.
    #[must_use]
    pub fn new(bytes_per_s: f64) -> Self {
        Self {
            bytes_per_s: bytes_per_s * USED_SHARE,
            free_at: Ranked::new(Rank::Budgets, Instant::now()),
        }
    }

    /// Counts bytes; gives when the next ones may go.
    pub fn count(&self, bytes: usize) -> Instant {
        let now = Instant::now();
        let bytes = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        let takes = Duration::from_secs_f64(bytes / self.bytes_per_s);
        let mut free_at = self.free_at.lock();
        *free_at = (*free_at).max(now) + takes;
        free_at.checked_sub(BURST).map_or(now, |at| at.max(now))
    }
}
