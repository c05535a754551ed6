//! Ledger time: the milliseconds during which the ledger had a leader.
//!
//! Ledger time starts from the timestamp of the last command that the leader
//! applied and advances by the leader's monotonic clock. No wall clock is used,
//! so a wrong one can neither drop responses early nor keep them forever.
//! Without a leader ledger time stands still, which only keeps responses longer.

use tokio::time::Instant;
use world::unit;

/// Clock of one leader during its term.
#[derive(Clone, Copy, Debug)]
pub struct LedgerClock {
    start_ms: u64,
    started: Instant,
}

impl LedgerClock {
    /// Starts the clock at `start_ms`, the timestamp of the last applied command.
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
