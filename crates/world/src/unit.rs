//! Conversions between [`Duration`] and the whole milliseconds or microseconds that
//! settings, messages and metrics use.

use std::time::Duration;

/// Creates a duration from milliseconds.
#[must_use]
pub const fn ms(value_ms: u64) -> Duration {
    Duration::from_millis(value_ms)
}

/// Returns a duration in whole milliseconds, capped at `u64::MAX`.
#[must_use]
pub fn as_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns a duration in whole microseconds, capped at `u64::MAX`.
#[must_use]
pub fn as_us(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
