//! Status codes of backend servers' responses.

use std::ops::RangeInclusive;

/// Statuses that the final response to a request may have (RFC 9110, section 15). The HTTP
/// library also takes 600 to 999, and 101 in reply to a request that asked for no other
/// protocol; a response with one of those is broken, and its request may have run.
pub const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
