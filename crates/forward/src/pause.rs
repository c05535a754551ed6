//! Notices that this machine stood still: the runtime's clock does not count
//! a suspension, the boot-time clock does.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// A reading of the boot-time clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Option<Duration>);

impl Clock {
    /// Reads the clock.
    #[must_use]
    pub fn now() -> Self {
        let read = clock_gettime(ClockId::CLOCK_BOOTTIME).inspect_err(
            |error| log::warn!(target: "forward", error:% = error; "no boot-time clock"),
        );
        Self(read.ok().map(Duration::from))
    }

    /// Reads the clock again; gives the time since the last reading.
    pub fn advance(&mut self) -> Duration {
        let before = self.0;
        *self = Self::now();
        match (before, self.0) {
            (Some(before), Some(now)) => now.saturating_sub(before),
            _ => Duration::ZERO,
        }
    }
}
