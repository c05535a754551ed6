//! Ledger time: milliseconds during which the ledger was led.
//!
//! It advances by the leader's own monotonic clock, starting from the last
//! stamp that the leader applied. No VM's wall clock enters, so a wrong one can
//! neither drop answers early nor keep them for good; without a leader ledger
//! time stands still, which only keeps answers longer.

use tokio::time::Instant;
use world::unit;

/// The clock of one leader during one term of leadership.
#[derive(Clone, Copy, Debug)]
pub struct LedgerClock {
    start_ms: u64,
    started: Instant,
}

impl LedgerClock {
    /// Starts from the stamp of the last command applied, milliseconds.
    #[must_use]
    pub fn new(start_ms: u64, now: Instant) -> Self {
        Self {
            start_ms,
            started: now,
        }
    }

    /// Ledger time, milliseconds.
    #[must_use]
    pub fn now_ms(&self, now: Instant) -> u64 {
        self.start_ms + unit::as_ms(now.saturating_duration_since(self.started))
    }
}
