//! Adapters between settings and the runtime's types of time.

use std::time::Duration;

/// A duration from whole milliseconds.
#[must_use]
pub const fn ms(value_ms: u64) -> Duration {
    Duration::from_millis(value_ms)
}

/// Whole milliseconds of a duration, at most `u64::MAX`.
#[must_use]
pub fn as_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Whole microseconds of a duration, at most `u64::MAX`.
#[must_use]
pub fn as_us(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
