//! Detects suspensions of this machine: the boot-time clock counts them, the
//! runtime's clock does not.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Time since the machine was started, with suspensions; 0 when the clock can't be read.
#[must_use]
pub fn boot_time() -> Duration {
    read().unwrap_or_default()
}

fn read() -> Option<Duration> {
    let read = clock_gettime(ClockId::CLOCK_BOOTTIME).inspect_err(
        |error| log::warn!(target: "peers", error:% = error; "could not read the boot-time clock"),
    );
    read.ok().map(Duration::from)
}

/// A reading of the boot-time clock.
#[derive(Clone, Copy, Debug)]
pub struct BootClock(Option<Duration>);

impl BootClock {
    /// Reads the clock.
    #[must_use]
    pub fn now() -> Self {
        Self(read())
    }

    /// Reads the clock again; returns the time since the last reading, or zero if
    /// a reading failed.
    pub fn advance(&mut self) -> Duration {
        let before = self.0;
        *self = Self::now();
        match (before, self.0) {
            (Some(before), Some(now)) => now.saturating_sub(before),
            _ => Duration::ZERO,
        }
    }
}
